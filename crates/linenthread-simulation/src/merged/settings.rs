//! The configuration of the decision module.

use linenthread_core::interface::{
    CoordinatorConfig, IndexConfig, Permissions, RetryBudget, ShardLayout, SlowStart, ValueGrowth,
};

/// The number of replica groups. Each has one replica, and each shard is placed in two of them.
pub(super) const REPLICA_GROUPS: usize = 4;
/// The number of shards of each index.
pub(super) const SHARDS: usize = 12;
/// The maximum number of attempts of a sub-request.
pub(super) const MAX_ATTEMPTS: usize = 3;
/// The retry budget shared by all queries.
const RETRY_BUDGET: RetryBudget = RetryBudget {
    reserve: 20.0,
    ratio: 0.5,
    window: 100_000,
};

/// Returns the configuration with the given indexes.
pub(super) fn coordinator_config(indexes: Vec<IndexConfig>) -> CoordinatorConfig {
    CoordinatorConfig {
        coordinator_number: 0,
        coordinator_count: 1,
        indexes,
        customer_quotas: Vec::new(),
        over_quota_value: 1.0,
        value_growth: ValueGrowth::Constant,
        layout: ShardLayout {
            replica_groups: REPLICA_GROUPS,
            replication_factor: 2,
        },
        permissions: Permissions {
            max_attempts: MAX_ATTEMPTS,
            hedging: true,
            cancellation: true,
            health_probes: true,
            max_retry_after: None,
        },
        slow_start: SlowStart {
            initial_share: 0.5,
            duration: 10_000,
            budget_multiple: 2.0,
            window: 10_000,
        },
        reports_queue_depth: true,
        bounded_queues: false,
        drain_grace: 20_000,
        retry_budget: Some(RETRY_BUDGET),
        watch_membership: false,
    }
}
