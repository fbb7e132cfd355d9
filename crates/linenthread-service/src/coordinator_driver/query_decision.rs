//! What the coordinator decides on one query.

use linenthread_core::interface::{Completeness, ReplicaIndex, SubRequestIndex, TenthMillis};

/// A decision on one query.
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
    /// Answer with what has arrived.
    Respond { completeness: Completeness },
    /// Reject the query; it may be retried, after this time where it is given.
    Reject { retry_after: Option<TenthMillis> },
    /// Answer that the query has failed.
    Fail,
}
