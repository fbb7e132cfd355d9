//! The decisions of a step.

use super::TenthMillis;

/// Why a query is rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
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

/// Where decisions go, in the order they are taken.
pub trait DecisionSink {
    /// The cause of the [`reject`](Self::reject) or [`fail`](Self::fail) that comes next.
    fn failure_cause(&mut self, _query: usize, _cause: FailureCause) {}
    /// Send the next attempt of a sub-request to a replica.
    fn send(&mut self, query: usize, sub_request: usize, replica: usize, timeout: TenthMillis);
    /// Cancel an attempt in flight.
    fn cancel(&mut self, query: usize, sub_request: usize, attempt: usize);
    /// Respond from the sub-requests that have succeeded. With a fetch phase to come this is not yet the final
    /// response.
    fn respond(&mut self, query: usize, complete: bool);
    /// Reject the query: sending it again is harmless.
    fn reject(&mut self, query: usize, retry_after: Option<TenthMillis>);
    /// Fail the query without such a promise.
    fn fail(&mut self, query: usize);
    /// The query has ended and no attempt of it is in flight: its index may be reused.
    fn release(&mut self, query: usize);
    /// Probe a replica.
    fn probe(&mut self, replica: usize);
    /// Close the idle connections to a replica.
    fn close_idle(&mut self, replica: usize);
    /// Watch service discovery for changes.
    fn watch_membership(&mut self);
    /// Run a step at this time at the latest.
    fn wake_at(&mut self, at: TenthMillis);
}
