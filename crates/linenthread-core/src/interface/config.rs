//! The configuration of a co-ordinator.

use super::TenthMillis;

/// The condition under which a sub-request, or a whole query, may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Replicas drop repeats for this long after the first attempt that may have run.
    Deduplicated(TenthMillis),
    /// It must not be sent again once an attempt may have run.
    AtMostOnce,
}

/// The settings of one search index: idempotency, deadlines, value and completeness.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexConfig {
    /// Whether its sub-requests may be retried.
    pub idempotency: Idempotency,
    /// The time from a query's arrival within which a response earns the full value.
    pub soft_deadline: TenthMillis,
    /// The value of a complete response within the soft deadline.
    pub value: f64,
    /// Share of the value that is earned by a response after the soft deadline.
    pub late_value_share: f64,
    /// Minimum share of the sub-requests' weight for a complete response.
    pub complete_share: f64,
    /// Minimum share of the sub-requests' weight for any response.
    pub min_share: f64,
    /// The value of a partial response is this times the share of the weight that succeeded.
    pub partial_value: f64,
    /// Number of sub-requests of the fetch phase, which follows the first response; 0 if there is only one phase.
    pub fetch_sub_requests: usize,
}

/// The placement of shards on replica groups.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardLayout {
    /// Number of replica groups.
    pub replica_groups: usize,
    /// Number of consecutive groups that hold a shard: shard s is on the groups s, s + 1, ..., modulo the number of
    /// groups.
    pub replication_factor: usize,
}

impl ShardLayout {
    /// Reports whether the replicas of a group hold a shard.
    pub fn holds(&self, replica_group: usize, shard: usize) -> bool {
        (replica_group + self.replica_groups - shard % self.replica_groups) % self.replica_groups
            < self.replication_factor
    }
}

/// The actions that a co-ordinator may take towards its replicas and clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Permissions {
    /// Maximum number of attempts for one sub-request, including the first.
    pub max_attempts: usize,
    /// Whether a second attempt may be in flight alongside the first.
    pub hedging: bool,
    /// Whether attempts in flight may be cancelled.
    pub cancellation: bool,
    /// Whether replicas may be probed.
    pub health_probes: bool,
    /// The longest `Retry-After` that clients respect; `None` if they receive none.
    pub max_retry_after: Option<TenthMillis>,
}

/// The limits on load for a replica that has recently started.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of its full capacity that a replica has when it starts; it grows linearly to 1.
    pub initial_share: f64,
    /// The time from the start until the replica has its full capacity.
    pub duration: TenthMillis,
    /// Attempts within any window are limited to this multiple of the replica's current capacity.
    pub budget_multiple: f64,
    /// The length of a window.
    pub window: TenthMillis,
}

/// The limit on retries and hedged requests within any window.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts permitted regardless of the load.
    pub reserve: f64,
    /// Additional attempts permitted for each query and sub-request accepted within the window.
    pub ratio: f64,
    /// The length of a window.
    pub window: TenthMillis,
}

/// The dependence of a query's value on its size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueGrowth {
    /// The value does not depend on the number of sub-requests.
    Constant,
    /// The value grows with the work of the sub-requests.
    WithWork,
}

/// The initial configuration of a co-ordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorConfig {
    /// The number of this co-ordinator, from 0; in an ingress node, the number of that node.
    pub coordinator_number: usize,
    /// Number of co-ordinators that share the replicas; in an ingress node, the number of ingress nodes.
    pub coordinator_count: usize,
    /// The search indexes, by [`SearchIndex`](super::SearchIndex).
    pub indexes: Vec<IndexConfig>,
    /// Each customer's quota, in queries per second over all co-ordinators.
    pub customer_quotas: Vec<f64>,
    /// The value of a query of a customer over its quota, as a share of the query's regular value.
    pub over_quota_value: f64,
    /// How a query's value depends on its size.
    pub value_growth: ValueGrowth,
    /// The placement of shards on replica groups.
    pub layout: ShardLayout,
    /// The actions that this co-ordinator may take.
    pub permissions: Permissions,
    /// The limits for replicas that have recently started.
    pub slow_start: SlowStart,
    /// Whether replicas report their queue depth, in responses or to probes.
    pub reports_queue_depth: bool,
    /// Whether replicas keep their queues short and reject further sub-requests, so that no backlog builds up there.
    pub bounded_queues: bool,
    /// The time after a replica was reported as draining or removed within which new attempts may still be sent to it.
    pub drain_grace: TenthMillis,
    /// The budget for retries and hedged requests; `None` if they are unlimited.
    pub retry_budget: Option<RetryBudget>,
    /// Whether service discovery sends changes only to clients that watch it.
    pub watch_membership: bool,
}
