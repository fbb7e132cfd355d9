//! A run from start to end, event by event.

use linenthread_core::interface::{AttemptOutcome, TenthMillis};

use super::SECOND;
use super::event::Event;
use super::statistics::Totals;
use super::world::World;

/// The duration of a run.
const DURATION: TenthMillis = 60 * SECOND;
/// The interval between steps of the decision modules.
const STEP: TenthMillis = 10;
/// The interval between routing decisions.
const DECISION_INTERVAL: TenthMillis = 5_000;

impl World {
    /// Runs the simulation to its end and returns what was counted.
    pub(super) fn run(mut self) -> Totals {
        for coordinator in 0..self.coordinators.len() {
            self.schedule_query(coordinator);
        }
        let mut decide_at = self.now + DECISION_INTERVAL;
        let end = self.now + DURATION;
        while self.now < end {
            self.now += STEP;
            self.handle_events();
            self.update_fault();
            if self.now >= decide_at {
                decide_at += DECISION_INTERVAL;
                self.decide();
            }
            for coordinator in 0..self.coordinators.len() {
                if self.coordinators[coordinator].has_work(self.now) {
                    self.run_coordinator(coordinator);
                }
            }
        }
        self.totals
    }

    fn handle_events(&mut self) {
        while let Some((_, event)) = self.events.pop_by(self.now) {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Query { coordinator } => self.on_query(coordinator),
            Event::Arrive { attempt } => self.on_arrival(attempt),
            Event::Processed {
                replica,
                attempt,
                incarnation,
            } => {
                if self.replicas[replica].incarnation == incarnation {
                    self.on_processed(replica, attempt);
                }
            }
            Event::Respond { attempt, outcome } => self.end_attempt(attempt, outcome),
            Event::TimeOut { attempt } => self.end_attempt(attempt, AttemptOutcome::TimedOut),
            Event::HealthChecked {
                coordinator,
                replica,
                outcome,
            } => self.on_health_checked(coordinator, replica, outcome),
            Event::Membership { update } => self.on_membership_update(update),
        }
    }
}
