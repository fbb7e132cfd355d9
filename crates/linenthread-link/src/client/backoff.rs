//! The wait between two attempts to connect.

use linenthread_core::conversion::to_tenth_millis;
use linenthread_core::interface::TenthMillis;
use oorandom::Rand64;

use super::ClientConfig;

/// The wait doubles so many times at most.
const MAX_DOUBLINGS: u32 = 16;

/// An exponential backoff with jitter.
pub(super) struct Backoff {
    min: TenthMillis,
    max: TenthMillis,
    /// Failures in a row: a connection that has lasted or was of use ends the row.
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

    /// Counts a failure. Returns the wait before the next attempt, of which half is random, so that clients don't
    /// reconnect in step.
    pub(super) fn next(&mut self, rng: &mut Rand64) -> TenthMillis {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        let wait = (self.min << doublings).min(self.max).max(1);
        wait / 2 + to_tenth_millis(rng.rand_float() * wait as f64)
    }

    /// A connection was of use: the next failure is not one in a row.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }

    /// An established connection has ended after so long.
    pub(super) fn on_connection_lasted(&mut self, length: TenthMillis) {
        if length > self.max {
            self.reset();
        }
    }
}
