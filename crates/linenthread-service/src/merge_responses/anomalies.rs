//! Counts and logs response values that differ between replicas or cannot be merged.

use std::cell::Cell;

use tracing::warn;

use crate::log::LogRateLimit;

const MAX_LOGGED_REASON_CHARS: usize = 160;

/// The origin of a response, for the log.
pub(crate) struct ResponseSource {
    /// The replica's id.
    pub replica: String,
    pub shard: usize,
}

/// Counters of anomalous response values, and the rate limits of their log lines.
#[derive(Default)]
pub(crate) struct Anomalies {
    /// Responses that differ from an earlier response to the same sub-request.
    differing: Cell<u64>,
    /// Values that cannot be merged.
    invalid: Cell<u64>,
    differing_lines: LogRateLimit,
    invalid_lines: LogRateLimit,
}

impl Anomalies {
    pub(super) fn on_differing(&self, source: impl Fn() -> ResponseSource) {
        let total = increment(&self.differing);
        if let Some(suppressed) = self.differing_lines.admit() {
            let ResponseSource { replica, shard } = source();
            warn!(
                replica,
                shard,
                total,
                suppressed,
                "replicas gave different values for a sub-request, using the first"
            );
        }
    }

    pub(super) fn on_invalid(&self, reason: &str, source: impl Fn() -> ResponseSource) {
        let total = increment(&self.invalid);
        if let Some(suppressed) = self.invalid_lines.admit() {
            let ResponseSource { replica, shard } = source();
            let reason: String = reason.chars().take(MAX_LOGGED_REASON_CHARS).collect();
            warn!(
                replica,
                shard, total, suppressed, "value of a sub-request cannot be merged: {reason}"
            );
        }
    }
}

/// Adds one to the counter and returns the new count.
fn increment(counter: &Cell<u64>) -> u64 {
    counter.set(counter.get() + 1);
    counter.get()
}
