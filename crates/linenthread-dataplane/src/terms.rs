//! What a route and the limits of the settings say, in the terms of the decision module.

use linenthread_config::{Destination, Mode, ResolvedRoute, Settings};
use linenthread_core::interface::{
    CoordinatorConfig, Idempotency, IndexConfig, Permissions, RetryBudget, ShardLayout, SlowStart,
    TenthMillis,
};
use linenthread_core::policy::{
    BUDGET_UTILIZATION, DEFAULT_LATE_VALUE_SHARE, DEFAULT_PARTIAL_VALUE,
};

fn tenths(ms: f64) -> TenthMillis {
    (ms.clamp(1.0, 1e9) * 10.0) as TenthMillis
}

pub(crate) fn index(planned: &ResolvedRoute) -> IndexConfig {
    let route = &planned.route;
    let floor = match planned.destination {
        Destination::FanOut(_) if route.min_coverage > 0.0 => route.min_coverage.min(1.0),
        _ => 1.0,
    };
    IndexConfig {
        idempotency: if route.mode == Mode::Mutating {
            Idempotency::AtMostOnce
        } else {
            Idempotency::Idempotent
        },
        soft_deadline: tenths(route.latency_target_ms.unwrap_or(route.timeout_ms)),
        value: 1.0 / (1.0 + route.priority.clamp(0, 1_000) as f64),
        late_value_share: DEFAULT_LATE_VALUE_SHARE,
        complete_share: 1.0,
        min_share: floor,
        partial_value: DEFAULT_PARTIAL_VALUE,
        fetch_sub_requests: 0,
    }
}

/// For so many services that are asked together, each part of which may go to so many replicas. The budget is
/// kept at each service: that all further calls went to one of them is allowed for.
pub(crate) fn deployment(services: usize, tries: usize, settings: &Settings) -> CoordinatorConfig {
    CoordinatorConfig {
        coordinator_number: 0,
        coordinator_count: 1,
        indexes: Vec::new(),
        customer_quotas: Vec::new(),
        over_quota_value: 1.0,
        value_by_work: false,
        layout: ShardLayout {
            replica_groups: services,
            replication_factor: 1,
        },
        permissions: Permissions {
            max_attempts: tries,
            hedging: tries > 1,
            cancellation: false,
            health_probes: false,
            max_retry_after: Some(TenthMillis::MAX),
        },
        // Replicas say when they are slow after their start; nothing says that they fall over.
        slow_start: SlowStart {
            initial_share: 1.0,
            duration: 0,
            budget_multiple: 1.0,
            window: 10_000,
        },
        reports_queue: false,
        short_queues: true,
        drain_grace: 0,
        retry_budget: Some(RetryBudget {
            reserve: 0.0,
            ratio: BUDGET_UTILIZATION * settings.retry_ratio / (1 + services) as f64,
            window: tenths(settings.retry_window.as_millis() as f64),
        }),
        watch_membership: false,
    }
}
