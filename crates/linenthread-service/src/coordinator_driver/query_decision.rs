//! The coordinator's decisions on one query.

use linenthread_core::interface::{Completeness, ReplicaIndex, SubRequestIndex, TenthMillis};

/// A decision on one query, which the query's task performs.
#[derive(Clone, Copy, Debug)]
pub(crate) enum QueryDecision {
    /// Make the next attempt at a sub-request.
    Send {
        sub_request: SubRequestIndex,
        replica: ReplicaIndex,
        timeout: TenthMillis,
    },
    /// Cancel an attempt.
    Cancel {
        sub_request: SubRequestIndex,
        attempt: usize,
    },
    /// Respond with the results that have arrived.
    Respond { completeness: Completeness },
    /// Reject the query. The client may retry it, after `retry_after` if that is given.
    Reject { retry_after: Option<TenthMillis> },
    /// Respond that the query has failed.
    Fail,
}
