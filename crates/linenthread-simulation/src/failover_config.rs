//! The configuration of failover controllers in simulations.

use linenthread_zones::FailoverConfig;

use crate::number::SECOND;

/// Returns a configuration with ejections short enough that a zone is ejected and returns several times in a schedule.
pub(crate) fn failover_config() -> FailoverConfig {
    FailoverConfig {
        capacity_margin: 0.8,
        ejection_time: 5 * SECOND,
        max_ejection_time: 60 * SECOND,
        return_step: 3 * SECOND,
    }
}
