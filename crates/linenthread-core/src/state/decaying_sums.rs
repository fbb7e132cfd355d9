//! Exponentially decaying sums.

use crate::interface::TenthMillis;

/// Returns the share of an observation made at `since` that still counts at `now`.
pub(crate) fn decay_factor(since: TenthMillis, now: TenthMillis, time_constant: f64) -> f64 {
    (-((now - since).max(0) as f64) / time_constant).exp()
}

/// The mean and spread of observed values.
#[derive(Clone, Copy, Default)]
pub(crate) struct Distribution {
    pub mean: f64,
    /// The standard deviation.
    pub deviation: f64,
}

/// Sums over recent values, which decay exponentially. They are as of `updated_at` until [`decay`](Self::decay) or
/// [`record`](Self::record) is called.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSums {
    /// The time up to which the sums have decayed.
    pub updated_at: TenthMillis,
    /// The decayed number of values.
    pub weight: f64,
    /// The sum of the values.
    pub sum: f64,
    /// The sum of their squares.
    pub square_sum: f64,
}

impl DecayingSums {
    /// Decays the sums up to `now`.
    pub(crate) fn decay(&mut self, now: TenthMillis, time_constant: f64) {
        let factor = decay_factor(self.updated_at, now, time_constant);
        self.weight *= factor;
        self.sum *= factor;
        self.square_sum *= factor;
        self.updated_at = self.updated_at.max(now);
    }

    pub(crate) fn record(&mut self, now: TenthMillis, time_constant: f64, value: f64) {
        self.decay(now, time_constant);
        self.weight += 1.0;
        self.sum += value;
        self.square_sum += value * value;
    }

    /// Returns the distribution of the values if their weight exceeds `min_weight`.
    pub(crate) fn distribution(&self, min_weight: f64) -> Option<Distribution> {
        (self.weight > min_weight).then(|| {
            let mean = self.sum / self.weight;
            let variance = (self.square_sum / self.weight - mean * mean).max(0.0);
            Distribution {
                mean,
                deviation: variance.sqrt(),
            }
        })
    }

    /// Returns the mean of the values if their weight exceeds `min_weight`.
    pub(crate) fn mean(&self, min_weight: f64) -> Option<f64> {
        self.distribution(min_weight)
            .map(|distribution| distribution.mean)
    }

    /// Returns the mean of the values combined with a prior that counts as `prior_weight` values.
    pub(crate) fn mean_with_prior(&self, prior_weight: f64, prior_mean: f64) -> f64 {
        (self.sum + prior_weight * prior_mean) / (self.weight + prior_weight)
    }
}
