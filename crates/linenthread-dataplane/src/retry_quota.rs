//! This process's share of the retry budget of all ingress nodes.

use linenthread_time::Instant;

/// The number of retries that this process may send, as last granted by the leader of the control nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryQuota {
    /// Retries per window of the budget.
    pub retries_per_window: f64,
    /// When the grant expires; from then on the quota is zero.
    pub expires_at: Instant,
    /// The index of this process among the ingress nodes, from 0.
    pub ingress_index: usize,
    /// The number of ingress nodes; 0 while none is known.
    pub ingress_count: usize,
    /// The epoch of the leader lease under which the quota was granted.
    pub epoch: u64,
}

/// A quota of no retries, in force before the first grant.
impl Default for RetryQuota {
    fn default() -> RetryQuota {
        RetryQuota {
            retries_per_window: 0.0,
            expires_at: Instant::START,
            ingress_index: 0,
            ingress_count: 0,
            epoch: 0,
        }
    }
}
