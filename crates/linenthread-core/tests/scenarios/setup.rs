//! The configuration of a scenario's co-ordinator.

use linenthread_core::interface::{
    CoordinatorConfig, Idempotency, IndexConfig, Permissions, RetryBudget, ShardLayout, SlowStart,
    ValueGrowth,
};

use crate::values::{number, time};

/// The default configuration of a search index.
pub(crate) const DEFAULT_INDEX: IndexConfig = IndexConfig {
    idempotency: Idempotency::Idempotent,
    soft_deadline: 10_000,
    value: 1.0,
    late_value_share: 0.1,
    complete_share: 1.0,
    min_share: 1.0,
    partial_value: 0.9,
    fetch_sub_requests: 0,
};

/// The window of a retry budget, in tenths of a millisecond.
const RETRY_WINDOW: i64 = 100_000;

/// Returns the default configuration of the co-ordinator.
pub(crate) fn default_config() -> CoordinatorConfig {
    CoordinatorConfig {
        coordinator_number: 0,
        coordinator_count: 1,
        indexes: vec![DEFAULT_INDEX],
        customer_quotas: Vec::new(),
        over_quota_value: 0.1,
        value_growth: ValueGrowth::Constant,
        layout: ShardLayout {
            replica_groups: 4,
            replication_factor: 4,
        },
        permissions: Permissions {
            max_attempts: 3,
            hedging: true,
            cancellation: true,
            health_probes: false,
            max_retry_after: None,
        },
        slow_start: SlowStart {
            initial_share: 0.2,
            duration: 100_000,
            budget_multiple: 2.0,
            window: 10_000,
        },
        reports_queue_depth: true,
        bounded_queues: false,
        drain_grace: 0,
        retry_budget: None,
        watch_membership: false,
    }
}

/// Applies pairs of a name and a value; settings of a search index apply to the last one.
pub(crate) fn configure(config: &mut CoordinatorConfig, words: &[&str]) -> Result<(), String> {
    let permissions = &mut config.permissions;
    let index = config.indexes.last_mut().ok_or("no index to configure")?;
    for pair in words.chunks(2) {
        let value = pair.get(1);
        match (pair[0], value) {
            ("replica-groups", _) => config.layout.replica_groups = number(value)?,
            ("replication", _) => config.layout.replication_factor = number(value)?,
            ("attempts", _) => permissions.max_attempts = number(value)?,
            ("queues", Some(&"unreported")) => config.reports_queue_depth = false,
            ("queues", Some(&"short")) => config.bounded_queues = true,
            ("probes", Some(&"on")) => permissions.health_probes = true,
            ("hedging", Some(&"none")) => permissions.hedging = false,
            ("drain-grace", _) => config.drain_grace = time(value)?,
            ("retry-after", _) => permissions.max_retry_after = Some(time(value)?),
            ("coordinators", _) => config.coordinator_count = number(value)?,
            ("quota", _) => config.customer_quotas.push(number(value)?),
            ("membership", Some(&"watched")) => config.watch_membership = true,
            ("retries", _) => {
                config.retry_budget = Some(RetryBudget {
                    reserve: number(value)?,
                    ratio: 0.0,
                    window: RETRY_WINDOW,
                });
            }
            ("runs", Some(&"at-most-once")) => index.idempotency = Idempotency::AtMostOnce,
            ("deduplicated", _) => index.idempotency = Idempotency::Deduplicated(time(value)?),
            ("soft", _) => index.soft_deadline = time(value)?,
            ("late", _) => index.late_value_share = number(value)?,
            ("min", _) => index.min_share = number(value)?,
            ("complete", _) => index.complete_share = number(value)?,
            ("fetch", _) => index.fetch_sub_requests = number(value)?,
            (other, _) => return Err(format!("unknown setting: {other}")),
        }
    }
    Ok(())
}
