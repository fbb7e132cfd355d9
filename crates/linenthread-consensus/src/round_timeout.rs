//! Adaptive timeout of a phase of a proposal round.

use std::time::Duration;

use crate::timing::{MAX_ROUND_TIMEOUT, ROUND_TIMEOUT};

/// A prepare phase that completes in less than the timeout divided by this is short, and halves the timeout.
const SHORT_PHASE_DIVISOR: u32 = 4;

/// Timeout of a phase that adapts to the latency of the voters: it doubles when a phase times out, and is halved when
/// a prepare phase completes in a small fraction of it. With a fixed timeout shorter than the sync latency of the
/// voters' disks, no round would ever complete, since each new ballot invalidates the syncs for the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RoundTimeout(Duration);

impl RoundTimeout {
    pub(crate) const MIN: RoundTimeout = RoundTimeout(ROUND_TIMEOUT);

    pub(crate) fn get(self) -> Duration {
        self.0
    }

    /// Doubles the timeout after a phase without a majority in time, up to [`MAX_ROUND_TIMEOUT`].
    pub(crate) fn on_timed_out(&mut self) {
        self.0 = (self.0 * 2).min(MAX_ROUND_TIMEOUT);
    }

    /// Halves the timeout, down to [`ROUND_TIMEOUT`], if a prepare phase that reached its majority after `latency`
    /// was short.
    pub(crate) fn on_phase_completed(&mut self, latency: Duration) {
        if latency < self.0 / SHORT_PHASE_DIVISOR {
            self.0 = (self.0 / 2).max(ROUND_TIMEOUT);
        }
    }
}
