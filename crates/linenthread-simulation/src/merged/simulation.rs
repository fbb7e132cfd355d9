//! One run from its start to its end, event by event.

use super::decision::Decision;
use super::event::Event;
use super::statistics::Statistics;
use super::world::{CLIENTS, World};

impl World<'_> {
    pub(super) fn run(mut self) -> Statistics {
        let mut first_query_at = 0;
        for client in 0..CLIENTS {
            first_query_at += 1;
            self.fleet.schedule(first_query_at, Event::Client(client));
        }
        while self.statistics.queries < self.options.queries || !self.open.is_empty() {
            self.step();
        }
        self.statistics
    }

    fn step(&mut self) {
        for event in self.fleet.next() {
            match event {
                Event::Client(client) if self.statistics.queries < self.options.queries => {
                    self.make_query(client);
                }
                Event::AttemptEnded(query, sub_request, attempt, fate) => {
                    self.on_attempt_ended(query, sub_request, attempt, fate);
                }
                _ => {}
            }
        }
        for decision in self.fleet.step() {
            self.on_decision(&decision);
        }
    }

    fn on_decision(&mut self, decision: &Decision) {
        match *decision {
            Decision::Send {
                query,
                sub_request,
                attempt,
            } => self.on_attempt(query, sub_request, attempt),
            Decision::Release { query } => {
                self.free_indices.push(query);
                let open = self.open.remove(&query);
                if open.is_some_and(|open| !open.answered) {
                    self.violated(query, "released without a response");
                }
            }
            Decision::Respond { query, complete } => {
                if self.on_answered(query) {
                    self.check_response(query, complete);
                }
            }
            Decision::Reject { query } | Decision::Fail { query } => {
                if self.on_answered(query) {
                    self.statistics.rejected += 1;
                    let client = self.open[&query].client;
                    self.clients[client].cursor = None;
                }
            }
        }
    }
}
