//! The decisions of a step.

use super::{QueryIndex, ReplicaIndex, SubRequestIndex, TenthMillis};

/// Why a query is abandoned, which is to say rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonCause {
    /// Its time is up.
    DeadlineExceeded,
    /// It may be what makes replicas crash.
    QueryOfDeath,
    /// No further attempt can bring what a response needs.
    Unanswerable,
    /// Its slowest sub-request is expected too late.
    ExpectedLate,
    /// Too much is in flight from here, at a shard's replicas or in all.
    Saturated,
}

/// Whether a response has all that the query asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completeness {
    /// It has the share of the sub-requests that makes a complete response.
    Complete,
    /// It has at least the share under which no response may be given.
    Partial,
}

/// Where decisions go, in the order they are taken.
pub trait DecisionSink {
    /// The query is abandoned for this cause: its [`reject`](Self::reject) or [`fail`](Self::fail) comes next.
    fn abandon_cause(&mut self, _query: QueryIndex, _cause: AbandonCause) {}
    /// Send the next attempt of a sub-request to a replica.
    ///
    /// `timeout` is the time until the query is abandoned: a slow attempt is hedged, not timed out.
    fn send(
        &mut self,
        query: QueryIndex,
        sub_request: SubRequestIndex,
        replica: ReplicaIndex,
        timeout: TenthMillis,
    );
    /// Cancel an attempt in flight.
    fn cancel(&mut self, query: QueryIndex, sub_request: SubRequestIndex, attempt: usize);
    /// Respond from the sub-requests that have succeeded. With a fetch phase to come this is not yet the final
    /// response.
    fn respond(&mut self, query: QueryIndex, completeness: Completeness);
    /// Abandon the query; sending it again is harmless, at best after this time.
    fn reject(&mut self, query: QueryIndex, retry_after: Option<TenthMillis>);
    /// Abandon the query without such a promise: an attempt of it may have run, and a second run
    /// may do harm.
    fn fail(&mut self, query: QueryIndex);
    /// The query has ended and no attempt of it is in flight: its index may be reused.
    fn release(&mut self, query: QueryIndex);
    /// Probe a replica.
    fn probe(&mut self, replica: ReplicaIndex);
    /// Close the idle connections to a replica.
    fn close_idle(&mut self, replica: ReplicaIndex);
    /// Watch service discovery for changes.
    fn watch_membership(&mut self);
    /// Run a step at this time at the latest.
    fn wake_at(&mut self, at: TenthMillis);
}
