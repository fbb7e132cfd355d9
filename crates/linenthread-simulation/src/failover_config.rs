//! The settings of failover controllers in simulations.

use linenthread_zones::FailoverConfig;

use crate::number::SECOND;

/// Ejections so short that a schedule sees several of a zone, and its return.
pub(crate) fn failover_config() -> FailoverConfig {
    FailoverConfig {
        capacity_margin: 0.8,
        ejection_time: 5 * SECOND,
        max_ejection_time: 60 * SECOND,
        return_step: 3 * SECOND,
    }
}
