//! The values that leaders propose and processes report as committed.

use linenthread_fleet::{CommittedValue, ConditionalWrite};

use super::event::{Event, ProcessIndex};
use super::invariant::Invariant;
use super::process::name;
use super::world::World;
use crate::number;
use crate::random;

/// The topics that values are proposed for.
pub(super) const TOPICS: [&str; 2] = ["table", "orders"];

impl World {
    /// Makes each leader propose a value. There is at most one leader unless *one-leader* is violated.
    pub(super) fn propose(&mut self) {
        for index in 0..self.voters {
            if !self.is_running_leader(index) {
                continue;
            }
            self.proposals += 1;
            let topic = TOPICS[number::to_usize(self.proposals) % TOPICS.len()];
            let mut value = self.proposals.to_be_bytes().to_vec();
            value.resize(8 + random::index(&mut self.rng, 200), 7);
            self.call_process(index, |fleet, now, actions| {
                let write = ConditionalWrite {
                    topic: topic.to_owned(),
                    expected_number: fleet.table().number(topic),
                    value,
                };
                // A rejected proposal is not repeated; another value follows.
                let _ = fleet.propose(now, &write, actions);
            });
        }
        let wait = 500 + self.random_time(0..2_000);
        self.schedule(wait, Event::Propose);
    }

    /// Records a value that a process reports as committed. Checks *one-value-per-number*.
    pub(super) fn on_committed(&mut self, index: ProcessIndex, committed: CommittedValue) {
        let CommittedValue {
            topic,
            number,
            value,
        } = committed;
        let known = self
            .committed
            .entry((topic.clone(), number))
            .or_insert_with(|| value.clone());
        if *known == value {
            self.totals.committed += 1;
        } else {
            self.record_violation(
                Invariant::OneValuePerNumber,
                &format!("{topic} {number} has two values, at {}", name(index)),
            );
        }
    }
}
