//! How attempts of sub-requests and probes of replicas ended.

use super::{QueryIndex, ReplicaIndex, SubRequestIndex, TenthMillis};

/// How an attempt, or a probe, ended. What each outcome counts for at the replica is decided in
/// `policy::attempt_result`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The replica responded.
    Success,
    /// The replica was reached, and what it sent is of no use: an error, or not a response at all.
    ///
    /// It counts as one failure in the replica's score, and the attempt may have run. The replica is not marked down,
    /// as it is after [`ConnectFailed`](Self::ConnectFailed) and [`ConnectionLost`](Self::ConnectionLost).
    Error,
    /// The replica rejected it before it ran: it is full or draining.
    Rejected,
    /// No response arrived in time.
    TimedOut,
    /// The replica could not be reached. It is marked down.
    ConnectFailed,
    /// The connection was lost while the attempt was in flight. The replica is marked down and may have crashed.
    ConnectionLost,
    /// This co-ordinator cancelled it.
    Cancelled,
    /// It never left this process, for a reason that says nothing of the replica.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the attempt is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    }
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The query it belongs to.
    pub query: QueryIndex,
    /// The sub-request, by its number within the query.
    pub sub_request: SubRequestIndex,
    /// The attempt's number, from 0 in the order the sub-request's attempts were made.
    pub attempt: usize,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The time from its sending to its end.
    pub elapsed: TenthMillis,
    /// Sub-requests that the replica reports as queued, where it does.
    pub queue_depth: Option<f64>,
}

/// The end of a probe.
#[derive(Clone, Debug)]
pub struct ProbeResult {
    /// The replica that was probed.
    pub replica: ReplicaIndex,
    /// How the probe ended.
    pub outcome: AttemptOutcome,
    /// Sub-requests that the replica reports as queued, where it does.
    pub queue_depth: Option<f64>,
}
