//! Converts routes and settings to the decision module's types.

use linenthread_config::{Destination, Mode, ResolvedRoute, Settings};
use linenthread_core::interface::{
    CoordinatorConfig, Idempotency, IndexConfig, Permissions, RetryBudget, ShardLayout, SlowStart,
    TenthMillis, ValueGrowth,
};
use linenthread_core::policy::{
    BUDGET_UTILIZATION, DEFAULT_LATE_VALUE_SHARE, DEFAULT_PARTIAL_VALUE,
};

use crate::clock;

/// The shortest duration passed to the decision module, in milliseconds.
const MIN_TIME_MS: f64 = 1.0;
/// The longest duration passed to the decision module, in milliseconds.
const MAX_TIME_MS: f64 = 1e9;
/// Priority numbers above this, that is lower priorities, are treated like this one.
const MAX_PRIORITY: i64 = 1_000;
/// The window of the decision module's slow-start budget, in tenths of a millisecond (1 s).
const SLOW_START_WINDOW: TenthMillis = 10_000;

fn tenth_millis(ms: f64) -> TenthMillis {
    clock::ms_to_tenth_millis(ms.clamp(MIN_TIME_MS, MAX_TIME_MS))
}

/// Describes the requests of a route that have this priority as a kind of query.
pub(super) fn index_config(resolved: &ResolvedRoute, priority: i64) -> IndexConfig {
    let route = &resolved.route;
    let min_share = match resolved.destination {
        Destination::FanOut(_) if route.min_coverage > 0.0 => route.min_coverage.min(1.0),
        _ => 1.0,
    };
    IndexConfig {
        idempotency: if route.mode == Mode::Mutating {
            Idempotency::AtMostOnce
        } else {
            Idempotency::Idempotent
        },
        soft_deadline: tenth_millis(route.latency_target_ms.unwrap_or(route.timeout_ms)),
        value: 1.0 / (1.0 + priority.clamp(0, MAX_PRIORITY) as f64),
        late_value_share: DEFAULT_LATE_VALUE_SHARE,
        complete_share: 1.0,
        min_share,
        partial_value: DEFAULT_PARTIAL_VALUE,
        fetch_sub_requests: 0,
    }
}

/// Builds the configuration of the decision module for `backends` backends that are queried together, with up to
/// `max_attempts` attempts per sub-request.
pub(super) fn coordinator_config(
    backends: usize,
    max_attempts: usize,
    settings: &Settings,
) -> CoordinatorConfig {
    CoordinatorConfig {
        coordinator_number: 0,
        coordinator_count: 1,
        indexes: Vec::new(),
        customer_quotas: Vec::new(),
        over_quota_value: 1.0,
        value_growth: ValueGrowth::Constant,
        layout: ShardLayout {
            replica_groups: backends,
            replication_factor: 1,
        },
        permissions: Permissions {
            max_attempts,
            hedging: max_attempts > 1,
            cancellation: false,
            health_probes: false,
            max_retry_after: Some(TenthMillis::MAX),
        },
        // Slow start is off: the operators' pages state that replicas are slow after their start, but not that load
        // makes them crash then.
        slow_start: SlowStart {
            initial_share: 1.0,
            duration: 0,
            budget_multiple: 1.0,
            window: SLOW_START_WINDOW,
        },
        reports_queue_depth: false,
        bounded_queues: true,
        drain_grace: 0,
        retry_budget: Some(RetryBudget {
            // Set by each quota grant (`set_retry_quota`).
            reserve: 0.0,
            // The module permits `ratio` retries for each query and for each sub-request, of which a request has
            // `backends`. Dividing by their number keeps the retries of all backends together within the budget of the
            // settings, which therefore holds at each backend even if all retries go to one.
            ratio: BUDGET_UTILIZATION * settings.retry_ratio / (1 + backends) as f64,
            window: tenth_millis(settings.retry_window.as_millis() as f64),
        }),
        watch_membership: false,
    }
}
