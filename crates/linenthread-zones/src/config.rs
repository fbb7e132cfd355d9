//! How failover behaves.

use linenthread_core::interface::TenthMillis;
use snafu::{Snafu, ensure};

/// How failover behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverConfig {
    /// The share of a zone's capacity that may be used, for its own clients and for those that are moved there.
    pub capacity_margin: f64,
    /// How long a zone is ejected for the first time; each further time is twice as long.
    pub ejection_time: TenthMillis,
    /// How long it is ejected at most.
    pub max_ejection_time: TenthMillis,
    /// How long each step of a return takes: no less than a replica that starts cold needs to warm up.
    pub return_step: TenthMillis,
}

/// Why failover cannot be configured so.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum ConfigError {
    /// With this margin no zone could bear its own clients, or each is taken to bear more than it can.
    #[snafu(display("a capacity margin of {margin} is not above 0 and at most 1"))]
    CapacityMargin {
        /// The margin.
        margin: f64,
    },
    /// A zone that is ejected would return at once, or a step of its return would last no time.
    #[snafu(display("an ejection and a step of a return must be longer than 0"))]
    NoDuration,
    /// The longest ejection is shorter than the first.
    #[snafu(display("the longest ejection is shorter than the first"))]
    MaxEjectionTooShort,
}

impl FailoverConfig {
    /// Checks that the values can be right together.
    ///
    /// # Errors
    /// The margin is no share, a time is not positive, or the longest ejection is shorter than the first.
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
