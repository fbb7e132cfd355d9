//! What a machine that was started needs to have the newest value is bounded.

use std::time::Duration;

use linenthread_consensus::ValueNumber;
use linenthread_time::Instant;

use super::super::invariant::Invariant;
use super::super::world::World;

/// Messages that a machine may need.
const MAX_MESSAGES: usize = 400;
/// Bytes that it may need, beside those that go with the number of changes.
const MAX_BYTES: usize = 192 << 10;
/// Bytes that may be remembered of each committed change.
pub(super) const BYTES_PER_CHANGE: usize = 48;
/// How long it may take once the faults are over.
const MAX_TIME: Duration = Duration::from_millis(6_000);

impl World {
    /// [`Invariant::CatchesUp`]: with a bounded number of messages and bytes, and in time without faults.
    pub(super) fn check_catch_up(&mut self, node: usize, decided_number: ValueNumber) {
        let now = self.now();
        let machine = &mut self.machines[node];
        let Some(catch_up) = machine
            .catch_up
            .take_if(|catch_up| decided_number >= catch_up.target)
        else {
            return;
        };
        let (messages, bytes) = (catch_up.messages, catch_up.bytes);
        let elapsed = now.since(catch_up.started_at);
        let coverage = &mut self.report.coverage;
        coverage.max_catch_up_messages = coverage.max_catch_up_messages.max(messages);
        coverage.max_catch_up_bytes = coverage.max_catch_up_bytes.max(bytes);
        // During faults a machine may be partitioned off, and receives other messages meanwhile.
        let is_bounded = self
            .healed_at
            .is_some_and(|healed_at| catch_up.started_at >= healed_at);
        let max_bytes = MAX_BYTES + BYTES_PER_CHANGE * self.history.changes.len();
        if is_bounded && (messages > MAX_MESSAGES || bytes > max_bytes || elapsed > MAX_TIME) {
            let details = format!(
                "{node} needed {messages} messages, {bytes} bytes, {} ms",
                elapsed.as_millis()
            );
            self.violation(Invariant::CatchesUp, &details);
        }
    }

    /// [`Invariant::CatchesUp`]: of those that were started after the faults none is still behind.
    pub(super) fn check_all_caught_up(&mut self) {
        for node in 0..self.machines.len() {
            if let Some(target) = self.is_overdue(node) {
                let details = format!("{node} is still without value {target}");
                self.violation(Invariant::CatchesUp, &details);
            }
        }
    }

    /// The value that a machine should have by now and has not.
    fn is_overdue(&self, node: usize) -> Option<ValueNumber> {
        let catch_up = self.machines[node].catch_up.as_ref()?;
        let start: Instant = catch_up.started_at.max(self.healed_at?);
        (self.now() > start + MAX_TIME).then_some(catch_up.target)
    }
}
