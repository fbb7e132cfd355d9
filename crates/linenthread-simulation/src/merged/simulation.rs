//! A run from start to end, event by event.

use super::decision::Decision;
use super::event::Event;
use super::invariant::{Invariant, Violation};
use super::statistics::Statistics;
use super::world::{CLIENTS, World};

impl World<'_> {
    /// Makes all queries and runs until all of them are released.
    pub(super) fn run(mut self) -> Statistics {
        let mut first_query_at = 0;
        for client in 0..CLIENTS {
            first_query_at += 1;
            self.replicas
                .schedule(first_query_at, Event::NextQuery { client });
        }
        while self.statistics.queries < self.options.queries || !self.open_queries.is_empty() {
            self.step();
        }
        self.statistics
    }

    /// Handles the next events, and then the decisions that the decision module makes on them.
    fn step(&mut self) {
        for event in self.replicas.next_events() {
            match event {
                Event::NextQuery { client } if self.statistics.queries < self.options.queries => {
                    self.make_query(client);
                }
                Event::AttemptCompleted { attempt, drawn } => {
                    self.on_attempt_completed(attempt, drawn);
                }
                _ => {}
            }
        }
        for decision in self.replicas.step() {
            self.on_decision(&decision);
        }
    }

    /// Handles a decision of the decision module.
    fn on_decision(&mut self, decision: &Decision) {
        match *decision {
            Decision::Send(attempt) => self.on_attempt_sent(attempt),
            Decision::Release(query) => {
                self.free_indices.push(query);
                let open_query = self.open_queries.remove(&query);
                if open_query.is_some_and(|open_query| !open_query.is_completed) {
                    let violation =
                        Violation::new(Invariant::OneResponseInTime, "released without a response");
                    self.report_violation(query, &violation);
                }
            }
            Decision::Respond {
                query,
                completeness,
            } => {
                if self.on_completed(query) {
                    self.check_response(query, completeness);
                }
            }
            Decision::Reject(query) | Decision::Fail(query) => {
                if self.on_completed(query) {
                    self.statistics.rejected += 1;
                    let client = self.open_queries[&query].client;
                    self.clients[client].cursor = None;
                }
            }
        }
    }
}
