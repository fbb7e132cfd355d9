//! Durations and sizes of the scenarios.

use std::time::Duration;

/// The time within which an order, a read or an update of an ingress node succeeds after any single loss.
pub(super) const RECOVERY_TIMEOUT: Duration = Duration::from_secs(6);

/// The time after the acknowledgement of a configuration within which each connected ingress node applies it
/// (`limits_table.apply_ms` of the deployments).
pub(super) const APPLY_TIMEOUT: Duration = Duration::from_secs(4);

/// The length of the scenarios.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scale {
    /// How long processes stay paused.
    pub pause: Duration,
    /// The number of pairs of conflicting orders.
    pub conflicts: u64,
    /// The number of orders that are committed before earlier ones are sent again.
    pub later_orders: u64,
    /// The number of changes that a control node misses while it is down.
    pub changes: u64,
    /// The number of client requests while replicas respond with faults.
    pub requests: usize,
}

impl Scale {
    /// For tests: each scenario takes some seconds.
    pub const BRIEF: Scale = Scale {
        pause: Duration::from_secs(6),
        conflicts: 5,
        later_orders: 100,
        changes: 300,
        requests: 600,
    };
    /// For long runs.
    pub const LONG: Scale = Scale {
        pause: Duration::from_secs(20),
        conflicts: 30,
        later_orders: 500,
        changes: 1_000,
        requests: 4_000,
    };
}
