//! The backoff between attempts to connect.

use linenthread_core::conversion::to_tenth_millis;
use linenthread_core::interface::TenthMillis;
use oorandom::Rand64;

use super::ClientConfig;

/// The maximum number of times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 16;

/// Exponential backoff with jitter.
pub(super) struct Backoff {
    min: TenthMillis,
    max: TenthMillis,
    /// Consecutive failures. A connection that lasted longer than `max` or delivered an outcome resets them.
    failures: u32,
}

impl Backoff {
    pub(super) fn new(config: &ClientConfig) -> Backoff {
        Backoff {
            min: config.min_backoff,
            max: config.max_backoff,
            failures: 0,
        }
    }

    /// Counts a failure and returns the delay before the next attempt: a random time between 0.5 and 1.5 times the
    /// backoff, so that clients don't reconnect at the same time.
    pub(super) fn next(&mut self, rng: &mut Rand64) -> TenthMillis {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        let backoff = (self.min << doublings).min(self.max).max(1);
        backoff / 2 + to_tenth_millis(rng.rand_float() * backoff as f64)
    }

    /// Resets the count of consecutive failures.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Handles the end of an established connection that lasted for `duration`.
    pub(super) fn on_connection_ended(&mut self, duration: TenthMillis) {
        if duration > self.max {
            self.reset();
        }
    }
}
