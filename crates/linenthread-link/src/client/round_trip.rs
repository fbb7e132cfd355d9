//! An estimate of the round-trip time, smoothed as TCP does it (RFC 6298).

use linenthread_core::conversion::to_tenth_millis;
use linenthread_core::interface::TenthMillis;

/// Weight of a new sample in the mean: 1 / 8.
const MEAN_DIVISOR: f64 = 8.0;
/// Weight of a new sample in the deviation: 1 / 4.
const DEVIATION_DIVISOR: f64 = 4.0;
/// So many deviations above the mean a reply is considered overdue.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

/// The smoothed round-trip time and its mean deviation, in tenths of a millisecond; 0 before the first sample.
#[derive(Clone, Copy, Default)]
pub(super) struct RoundTripEstimate {
    mean: f64,
    deviation: f64,
}

impl RoundTripEstimate {
    /// Takes in one measured round trip.
    pub(super) fn add_sample(&mut self, elapsed: TenthMillis) {
        let sample = elapsed as f64;
        if self.mean == 0.0 {
            (self.mean, self.deviation) = (sample, sample / 2.0);
        } else {
            self.deviation += ((sample - self.mean).abs() - self.deviation) / DEVIATION_DIVISOR;
            self.mean += (sample - self.mean) / MEAN_DIVISOR;
        }
    }

    /// After a lost connection the next round trips may be quite different from the last.
    pub(super) fn widen(&mut self) {
        self.deviation = self.mean.max(self.deviation);
    }

    /// Half the round trip.
    pub(super) fn one_way(&self) -> TenthMillis {
        to_tenth_millis(self.mean / 2.0)
    }

    /// A reply that takes longer than this is overdue.
    pub(super) fn timeout(&self) -> TenthMillis {
        to_tenth_millis(self.mean + TIMEOUT_DEVIATIONS * self.deviation)
    }
}
