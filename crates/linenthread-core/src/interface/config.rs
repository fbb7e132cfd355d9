//! The configuration of a co-ordinator.

use super::TenthMillis;

/// Whether a sub-request, or a whole query, may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Replicas drop a repeat for this long after the first attempt that may have run.
    Deduplicated(TenthMillis),
    /// It must not be sent again once an attempt may have run.
    AtMostOnce,
}

/// One search index that queries name: their deadlines, value and completeness.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexConfig {
    /// Whether its sub-requests may be retried.
    pub idempotency: Idempotency,
    /// The time from a query's arrival within which its response earns the full value.
    pub soft_deadline: TenthMillis,
    /// What a complete response in time is worth.
    pub value: f64,
    /// Share of the value that a response after the soft deadline still earns.
    pub late_value_share: f64,
    /// Share of the sub-requests' weight that makes a complete response.
    pub complete_share: f64,
    /// Share of the sub-requests' weight under which no response may be given.
    pub min_share: f64,
    /// What a partial response earns, times the share of the weight that succeeded.
    pub partial_value: f64,
    /// Sub-requests of the fetch phase, which follows a first response; 0 where there is one phase only.
    pub fetch_sub_requests: usize,
}

/// How shards are placed on replica groups.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardLayout {
    /// Number of replica groups.
    pub replica_groups: usize,
    /// Shard s is held by this many consecutive groups s, s + 1, ..., modulo the number of groups.
    pub replication_factor: usize,
}

impl ShardLayout {
    /// Whether the replicas of a group hold a shard.
    pub fn holds(&self, replica_group: usize, shard: usize) -> bool {
        (replica_group + self.replica_groups - shard % self.replica_groups) % self.replica_groups
            < self.replication_factor
    }
}

/// What a co-ordinator may do to its replicas and clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Permissions {
    /// Attempts of one sub-request, the first included.
    pub max_attempts: usize,
    /// A second attempt may be in flight beside the first.
    pub hedging: bool,
    /// Attempts in flight may be cancelled.
    pub cancellation: bool,
    /// Replicas may be probed.
    pub health_probes: bool,
    /// The longest `Retry-After` that clients heed; `None` where they receive none.
    pub max_retry_after: Option<TenthMillis>,
}

/// How a replica that has just started is protected from load.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of its full capacity that a replica has at its start; it grows evenly to 1.
    pub initial_share: f64,
    /// How long the replica takes to reach its full capacity.
    pub duration: TenthMillis,
    /// A replica may be sent this multiple of its present capacity within any window.
    pub budget_multiple: f64,
    /// The length of that window.
    pub window: TenthMillis,
}

/// The retries and hedged requests permitted within any window.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts permitted whatever the load.
    pub reserve: f64,
    /// Further attempts permitted for each query and sub-request accepted within the window.
    pub ratio: f64,
    /// The length of the window.
    pub window: TenthMillis,
}

/// How the value of a query depends on its size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueGrowth {
    /// It is the same whatever the number of sub-requests.
    Constant,
    /// It grows with the work of the sub-requests.
    WithWork,
}

/// All that a co-ordinator is configured with at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorConfig {
    /// This co-ordinator's number among all of them, from 0. In an ingress node: the number of the ingress node.
    pub coordinator_number: usize,
    /// Number of co-ordinators that share the replicas. In an ingress node: the number of ingress nodes.
    pub coordinator_count: usize,
    /// The search indexes, by [`SearchIndex`](super::SearchIndex).
    pub indexes: Vec<IndexConfig>,
    /// Queries a second that each customer's quota allows, over all co-ordinators.
    pub customer_quotas: Vec<f64>,
    /// Share of its value that a query of a customer over its quota is worth.
    pub over_quota_value: f64,
    /// How a query's value depends on its size.
    pub value_growth: ValueGrowth,
    /// Where the shards are.
    pub layout: ShardLayout,
    /// What this co-ordinator may do.
    pub permissions: Permissions,
    /// How replicas that have just started are treated.
    pub slow_start: SlowStart,
    /// Replicas report the depth of their queue, in responses or to probes.
    pub reports_queue: bool,
    /// Replicas queue few sub-requests and reject the others, so that no backlog builds up there.
    pub short_queues: bool,
    /// Nothing new may be sent to a replica later than this after it was reported as draining or removed.
    pub drain_grace: TenthMillis,
    /// The budget for retries and hedged requests; `None` where there is no limit.
    pub retry_budget: Option<RetryBudget>,
    /// Service discovery sends changes only to those that watch it.
    pub watch_membership: bool,
}
