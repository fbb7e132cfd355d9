//! The share of hedged requests among recent attempts.

use super::DecayingSums;
use crate::interface::TenthMillis;

/// Decaying counts of all attempts and of the hedged requests among them.
#[derive(Clone, Copy, Default)]
pub(crate) struct HedgeShare {
    /// 1 for each hedged request, 0 for each other attempt.
    sums: DecayingSums,
}

impl HedgeShare {
    /// Decays the counts up to `now`.
    pub(crate) fn decay(&mut self, now: TenthMillis, time_constant: f64) {
        self.sums.decay(now, time_constant);
    }

    pub(crate) fn record_attempt(&mut self, now: TenthMillis, time_constant: f64, is_hedge: bool) {
        self.sums.record(now, time_constant, f64::from(is_hedge));
    }

    /// Counts one more hedged request without an attempt. The replacement for a cancelled attempt is counted as an
    /// attempt when it is sent, but no longer as a hedged request, since nothing else is in flight then.
    pub(crate) fn record_reissue(&mut self) {
        self.sums.sum += 1.0;
    }

    /// Subtracts from the number of hedged requests because one of them was needed. The number may become negative,
    /// which permits more hedged requests, but not less than minus the number of attempts.
    pub(crate) fn credit(&mut self, now: TenthMillis, time_constant: f64, hedges: f64) {
        self.sums.decay(now, time_constant);
        self.sums.sum = (self.sums.sum - hedges).max(-self.sums.weight);
    }

    /// Returns the number of attempts, including hedged requests.
    pub(crate) fn attempts(&self) -> f64 {
        self.sums.weight
    }

    /// Returns the number of hedged requests less the credits; it may be negative.
    pub(crate) fn hedges(&self) -> f64 {
        self.sums.sum
    }
}
