//! The checks after each event and at the end of a schedule.

use super::ends::{MAX_IN_FLIGHT, MAX_QUEUED_BYTES, MAX_SESSIONS, WINDOW_CALLS};
use super::invariant::Invariant;
use super::statistics::Statistics;
use super::world::World;

impl World {
    /// Checks the limits on what both ends retain; called after each event.
    pub(super) fn check_limits(&mut self) {
        let max_retained = usize::try_from(WINDOW_CALLS).unwrap_or(usize::MAX) * MAX_SESSIONS;
        if self.client.in_flight() > MAX_IN_FLIGHT
            || self.client.queued_bytes() > MAX_QUEUED_BYTES
            || self.server.retained_calls() > max_retained
        {
            self.record_violation(Invariant::Bounded, "more is retained than may be");
        }
    }

    /// Checks and counts all calls at the end of a schedule.
    pub(super) fn check_calls(&mut self, statistics: &mut Statistics) {
        if self.client.in_flight() == 0 && self.client.queued_bytes() > 0 {
            self.record_violation(
                Invariant::Bounded,
                "bytes are counted of calls that have completed",
            );
        }
        for (call, record) in &self.records {
            statistics.count(record.outcome);
            if self.violation.is_none() {
                self.violation = record.violation(*call);
            }
        }
    }
}
