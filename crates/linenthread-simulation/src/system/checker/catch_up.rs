//! Checks the bounds on messages, bytes and time until a started machine has the newest value.

use std::time::Duration;

use linenthread_consensus::ValueNumber;
use linenthread_time::Instant;

use super::super::invariant::Invariant;
use super::super::world::World;

/// Maximum number of messages until a machine has caught up.
const MAX_MESSAGES: usize = 400;
/// Maximum number of bytes until a machine has caught up, in addition to [`BYTES_PER_CHANGE`] for each change.
const MAX_BYTES: usize = 192 << 10;
/// Maximum number of bytes stored for each committed change.
pub(super) const BYTES_PER_CHANGE: usize = 48;
/// Maximum time to catch up after the end of the faults.
const MAX_TIME: Duration = Duration::from_millis(6_000);

impl World {
    /// Records the cost once a process has caught up, and checks [`Invariant::CatchesUp`] if it was started after the
    /// faults.
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
        // During faults a machine may be partitioned off, and receive unrelated messages meanwhile.
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

    /// Checks [`Invariant::CatchesUp`] at the end of a schedule: no machine is still behind after more than
    /// [`MAX_TIME`] without faults.
    pub(super) fn check_all_caught_up(&mut self) {
        for node in 0..self.machines.len() {
            if let Some(target) = self.overdue_value(node) {
                let details = format!("{node} is still without value {target}");
                self.violation(Invariant::CatchesUp, &details);
            }
        }
    }

    /// Returns the number of the value that a machine should have decided by now, if it has not.
    fn overdue_value(&self, node: usize) -> Option<ValueNumber> {
        let catch_up = self.machines[node].catch_up.as_ref()?;
        let start: Instant = catch_up.started_at.max(self.healed_at?);
        (self.now() > start + MAX_TIME).then_some(catch_up.target)
    }
}
