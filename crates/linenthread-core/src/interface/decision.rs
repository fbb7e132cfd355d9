//! The decisions of a step.

use super::{QueryIndex, ReplicaIndex, SubRequestIndex, TenthMillis};

/// The reason why a query is abandoned, that is, rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonCause {
    /// The query's deadline has passed.
    DeadlineExceeded,
    /// The process shuts down before the query's deadline.
    ShuttingDown,
    /// The query may be crashing replicas.
    QueryOfDeath,
    /// Further attempts cannot reach the minimum share that a response needs.
    Unanswerable,
    /// The query's slowest sub-request is expected to finish too late.
    ExpectedLate,
    /// Too many attempts of this co-ordinator are in flight, at the replicas of a shard or in total.
    Saturated,
}

/// The share of the query that a response covers: all that a complete response requires, or less.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completeness {
    /// The response reaches the share of the sub-requests that is required for a complete response.
    Complete,
    /// The response reaches only the minimum share that is required for any response.
    Partial,
}

/// The receiver of the decisions of a step, in the order in which they are made.
pub trait DecisionSink {
    /// Reports why a query is abandoned; called before the [`reject`](Self::reject) or [`fail`](Self::fail) of the
    /// query.
    fn report_abandon_cause(&mut self, _query: QueryIndex, _cause: AbandonCause) {}
    /// Sends the next attempt of a sub-request to a replica.
    ///
    /// `timeout` is the time until the query is abandoned: slow attempts are hedged, not timed out.
    fn send(
        &mut self,
        query: QueryIndex,
        sub_request: SubRequestIndex,
        replica: ReplicaIndex,
        timeout: TenthMillis,
    );
    /// Cancels an attempt in flight.
    fn cancel(&mut self, query: QueryIndex, sub_request: SubRequestIndex, attempt: usize);
    /// Responds with the results of the sub-requests that have succeeded. If a fetch phase follows, this is not the
    /// final response.
    fn respond(&mut self, query: QueryIndex, completeness: Completeness);
    /// Abandons the query. Sending it again is harmless; `retry_after` is the recommended delay.
    fn reject(&mut self, query: QueryIndex, retry_after: Option<TenthMillis>);
    /// Abandons the query when sending it again may be harmful, because an attempt may have run.
    fn fail(&mut self, query: QueryIndex);
    /// Releases the query's index for reuse: the query has ended and none of its attempts is in flight.
    fn release(&mut self, query: QueryIndex);
    /// Sends a probe to a replica.
    fn probe(&mut self, replica: ReplicaIndex);
    /// Closes the idle connections to a replica.
    fn close_idle(&mut self, replica: ReplicaIndex);
    /// Starts a watch for changes at service discovery.
    fn watch_membership(&mut self);
    /// Requests a step no later than this time.
    fn wake_at(&mut self, at: TenthMillis);
}
