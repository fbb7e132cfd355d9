//! How many of the recent attempts were hedged requests.

use super::DecayingSums;
use crate::interface::TenthMillis;

/// Decaying counts of all attempts, and of the hedged requests among them.
#[derive(Clone, Copy, Default)]
pub(crate) struct HedgeShare {
    /// 1 for each hedged request, 0 for each other attempt.
    sums: DecayingSums,
}

impl HedgeShare {
    /// Lets the counts decay up to now.
    pub(crate) fn decay(&mut self, now: TenthMillis, time_constant: f64) {
        self.sums.decay(now, time_constant);
    }

    /// Counts an attempt that is sent.
    pub(crate) fn record_attempt(&mut self, now: TenthMillis, time_constant: f64, is_hedge: bool) {
        self.sums.record(now, time_constant, f64::from(is_hedge));
    }

    /// Counts a hedged request more without an attempt: the attempt that takes the place of a cancelled one is counted
    /// when it is sent, and is then not beside another.
    pub(crate) fn add_reissue(&mut self) {
        self.sums.sum += 1.0;
    }

    /// Counts some hedged requests less, since one of them was needed. The count may fall below 0, which leaves room
    /// for the next ones, but not below minus the number of attempts.
    pub(crate) fn credit(&mut self, now: TenthMillis, time_constant: f64, hedges: f64) {
        self.sums.decay(now, time_constant);
        self.sums.sum = (self.sums.sum - hedges).max(-self.sums.weight);
    }

    /// All attempts, hedged requests among them.
    pub(crate) fn attempts(&self) -> f64 {
        self.sums.weight
    }

    /// Hedged requests, less what was credited; may be below 0.
    pub(crate) fn hedges(&self) -> f64 {
        self.sums.sum
    }
}
