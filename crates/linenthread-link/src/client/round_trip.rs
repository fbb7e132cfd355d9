//! Estimation of the round-trip time, smoothed as in TCP (RFC 6298).

use linenthread_core::conversion::to_tenth_millis;
use linenthread_core::interface::TenthMillis;

/// The weight of a new sample in the mean is 1 / 8.
const MEAN_DIVISOR: f64 = 8.0;
/// The weight of a new sample in the deviation is 1 / 4.
const DEVIATION_DIVISOR: f64 = 4.0;
/// A reply is overdue this many deviations above the mean.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

/// The smoothed round-trip time and its mean deviation, in tenths of a millisecond; 0 before the first sample.
#[derive(Clone, Copy, Default)]
pub(super) struct RoundTripEstimate {
    mean: f64,
    deviation: f64,
}

impl RoundTripEstimate {
    /// Adds a measured round trip.
    pub(super) fn add_sample(&mut self, elapsed: TenthMillis) {
        let sample = elapsed as f64;
        if self.mean == 0.0 {
            (self.mean, self.deviation) = (sample, sample / 2.0);
        } else {
            self.deviation += ((sample - self.mean).abs() - self.deviation) / DEVIATION_DIVISOR;
            self.mean += (sample - self.mean) / MEAN_DIVISOR;
        }
    }

    /// Raises the deviation to at least the mean, because round trips on the next connection may differ widely.
    pub(super) fn widen(&mut self) {
        self.deviation = self.mean.max(self.deviation);
    }

    /// Returns half the round-trip time.
    pub(super) fn one_way(&self) -> TenthMillis {
        to_tenth_millis(self.mean / 2.0)
    }

    /// Returns the time after which a reply is overdue.
    pub(super) fn timeout(&self) -> TenthMillis {
        to_tenth_millis(self.mean + TIMEOUT_DEVIATIONS * self.deviation)
    }
}
