//! Results of sub-request attempts and of replica probes.

use super::{QueryIndex, ReplicaIndex, SubRequestIndex, TenthMillis};

/// The outcome of an attempt or a probe. `policy::attempt_result` decides how each outcome affects the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The replica responded.
    Success,
    /// The replica was reached, but it sent an error or something that is not a response.
    ///
    /// It counts as one failure in the replica's score, and the attempt may have run. Unlike
    /// [`ConnectFailed`](Self::ConnectFailed) and [`ConnectionLost`](Self::ConnectionLost), it does not mark the
    /// replica down.
    Error,
    /// The replica rejected the request before running it, because it is full or draining.
    Rejected,
    /// No response arrived in time.
    TimedOut,
    /// The replica could not be reached. It is marked down.
    ConnectFailed,
    /// The connection was lost while the attempt was in flight. The replica is marked down and may have crashed.
    ConnectionLost,
    /// This co-ordinator cancelled the attempt.
    Cancelled,
    /// The request never left this process, for a reason unrelated to the replica.
    NotSent,
}

impl AttemptOutcome {
    /// Reports whether the attempt is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    }
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The query that the attempt belongs to.
    pub query: QueryIndex,
    /// The sub-request, by its number within the query.
    pub sub_request: SubRequestIndex,
    /// The attempt's number, from 0 in the order in which the sub-request's attempts were sent.
    pub attempt: usize,
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// The time from sending the attempt to its end.
    pub elapsed: TenthMillis,
    /// The number of queued sub-requests reported by the replica, if it reports one.
    pub queue_depth: Option<f64>,
}

/// The result of a probe.
#[derive(Clone, Debug)]
pub struct ProbeResult {
    /// The replica that was probed.
    pub replica: ReplicaIndex,
    /// The outcome of the probe.
    pub outcome: AttemptOutcome,
    /// The number of queued sub-requests reported by the replica, if it reports one.
    pub queue_depth: Option<f64>,
}
