//! Configuration of failover.

use linenthread_core::interface::TenthMillis;
use snafu::{Snafu, ensure};

/// The configuration of failover.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverConfig {
    /// The share of a zone's capacity that may be used, by its own clients and by those of other zones together.
    pub capacity_margin: f64,
    /// The duration of a zone's first ejection; each further ejection lasts twice as long.
    pub ejection_time: TenthMillis,
    /// The maximum duration of an ejection.
    pub max_ejection_time: TenthMillis,
    /// The duration of each step of a return; no shorter than the warm-up of a replica that starts cold.
    pub return_step: TenthMillis,
}

/// The reason why a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum ConfigError {
    /// The margin is no share: it would leave a zone no capacity, or assume more than the zone has.
    #[snafu(display("a capacity margin of {margin} is not above 0 and at most 1"))]
    CapacityMargin {
        /// The margin.
        margin: f64,
    },
    /// An ejection, or a step of a return, would have no duration.
    #[snafu(display("an ejection and a step of a return must be longer than 0"))]
    NoDuration,
    /// The longest ejection is shorter than the first.
    #[snafu(display("the longest ejection is shorter than the first"))]
    MaxEjectionTooShort,
}

impl FailoverConfig {
    /// Checks the values, each by itself and against each other.
    ///
    /// # Errors
    /// The margin is not a share, a duration is not positive, or the longest ejection is shorter than the first.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let margin = self.capacity_margin;
        ensure!(
            margin > 0.0 && margin <= 1.0,
            CapacityMarginSnafu { margin }
        );
        ensure!(
            self.ejection_time > 0 && self.return_step > 0,
            NoDurationSnafu
        );
        ensure!(
            self.max_ejection_time >= self.ejection_time,
            MaxEjectionTooShortSnafu
        );
        Ok(())
    }
}
