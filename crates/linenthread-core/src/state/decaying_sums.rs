//! Exponentially decaying sums.

use crate::interface::TenthMillis;

/// The share of what was observed at `since` that still counts at `now`.
pub(crate) fn decay_factor(since: TenthMillis, now: TenthMillis, time_constant: f64) -> f64 {
    (-((now - since).max(0) as f64) / time_constant).exp()
}

/// How values are distributed.
#[derive(Clone, Copy, Default)]
pub(crate) struct Distribution {
    pub mean: f64,
    /// The standard deviation.
    pub deviation: f64,
}

/// Sums over recent values, which decay with age and are brought up to date when they are read.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSums {
    /// The time up to which the sums have decayed.
    pub updated_at: TenthMillis,
    /// The number of values.
    pub weight: f64,
    /// The sum of the values.
    pub sum: f64,
    /// The sum of their squares.
    pub square_sum: f64,
}

impl DecayingSums {
    /// Lets the sums decay up to now.
    pub(crate) fn decay(&mut self, now: TenthMillis, time_constant: f64) {
        let factor = decay_factor(self.updated_at, now, time_constant);
        self.weight *= factor;
        self.sum *= factor;
        self.square_sum *= factor;
        self.updated_at = self.updated_at.max(now);
    }

    /// Adds a value.
    pub(crate) fn record(&mut self, now: TenthMillis, time_constant: f64, value: f64) {
        self.decay(now, time_constant);
        self.weight += 1.0;
        self.sum += value;
        self.square_sum += value * value;
    }

    /// How the values are distributed, where the weight exceeds a minimum.
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

    /// The mean, where the weight exceeds a minimum.
    pub(crate) fn mean(&self, min_weight: f64) -> Option<f64> {
        self.distribution(min_weight)
            .map(|distribution| distribution.mean)
    }

    /// The mean with a prior that counts as a number of values.
    pub(crate) fn mean_with_prior(&self, prior_weight: f64, prior_mean: f64) -> f64 {
        (self.sum + prior_weight * prior_mean) / (self.weight + prior_weight)
    }
}
