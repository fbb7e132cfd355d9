//! This process's part of the retry budget that all ingress nodes share.

use linenthread_time::Instant;

/// How many retries this process may send, as the leader among the control nodes last granted it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryQuota {
    /// Retries in each window of the budget.
    pub retries_per_window: f64,
    /// When the grant ends; the quota is zero from then on.
    pub expires_at: Instant,
    /// The index of this process among the ingress nodes, from 0.
    pub ingress_index: usize,
    /// How many ingress nodes there are; 0 while none is known.
    pub ingress_count: usize,
    /// The epoch of the leader lease under which it was granted.
    pub epoch: u64,
}

/// No retries, from before any grant.
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
