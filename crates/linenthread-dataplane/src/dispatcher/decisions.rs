//! Collects the decisions of one step of the decision module, for the dispatcher to carry out.

use linenthread_core::DecisionSink;
use linenthread_core::interface::{
    AbandonCause, Completeness, QueryIndex, ReplicaIndex, SubRequestIndex, TenthMillis,
};

/// An attempt of a sub-request that is to be sent.
pub(super) struct SendAttempt {
    pub(super) query: QueryIndex,
    pub(super) sub_request: SubRequestIndex,
    pub(super) replica: ReplicaIndex,
    /// The time until the query is abandoned.
    pub(super) timeout: TenthMillis,
}

pub(super) enum Decision {
    /// Send a sub-request to a replica.
    Send(SendAttempt),
    /// Respond with the responses received so far.
    Respond { query: QueryIndex },
    /// Abandon the query; the client may send it again, at the earliest after `retry_after`.
    Reject {
        query: QueryIndex,
        retry_after: Option<TenthMillis>,
    },
    /// Abandon the query without such advice.
    Fail { query: QueryIndex },
    /// No attempt of the query is in flight: free its index.
    Release { query: QueryIndex },
    /// Close the idle connections to a replica.
    CloseIdle { replica: ReplicaIndex },
}

/// The decisions of a step, in the order in which they were made.
#[derive(Default)]
pub(super) struct Decisions {
    pub(super) list: Vec<Decision>,
    /// When to run the next step, unless inputs arrive earlier.
    pub(super) wake_at: Option<TenthMillis>,
    /// Counts since the last log entry.
    pub(super) abandoned: AbandonedCounts,
}

/// The number of abandoned queries by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct AbandonedCounts {
    pub(super) deadline_exceeded: u64,
    pub(super) shutting_down: u64,
    pub(super) crash_suspected: u64,
    pub(super) unanswerable: u64,
    pub(super) too_slow: u64,
    pub(super) saturated: u64,
}

impl AbandonedCounts {
    pub(super) fn is_empty(&self) -> bool {
        *self == AbandonedCounts::default()
    }
}

impl DecisionSink for Decisions {
    fn send(
        &mut self,
        query: QueryIndex,
        sub_request: SubRequestIndex,
        replica: ReplicaIndex,
        timeout: TenthMillis,
    ) {
        self.list.push(Decision::Send(SendAttempt {
            query,
            sub_request,
            replica,
            timeout,
        }));
    }

    /// Never called: `Permissions::cancellation` is off in `policy_inputs`.
    fn cancel(&mut self, _query: QueryIndex, _sub_request: SubRequestIndex, _attempt: usize) {}

    fn respond(&mut self, query: QueryIndex, _completeness: Completeness) {
        self.list.push(Decision::Respond { query });
    }

    fn report_abandon_cause(&mut self, _query: QueryIndex, cause: AbandonCause) {
        *match cause {
            AbandonCause::DeadlineExceeded => &mut self.abandoned.deadline_exceeded,
            AbandonCause::ShuttingDown => &mut self.abandoned.shutting_down,
            AbandonCause::QueryOfDeath => &mut self.abandoned.crash_suspected,
            AbandonCause::Unanswerable => &mut self.abandoned.unanswerable,
            AbandonCause::ExpectedLate => &mut self.abandoned.too_slow,
            AbandonCause::Saturated => &mut self.abandoned.saturated,
        } += 1;
    }

    fn reject(&mut self, query: QueryIndex, retry_after: Option<TenthMillis>) {
        self.list.push(Decision::Reject { query, retry_after });
    }

    fn fail(&mut self, query: QueryIndex) {
        self.list.push(Decision::Fail { query });
    }

    fn release(&mut self, query: QueryIndex) {
        self.list.push(Decision::Release { query });
    }

    /// Never called: `Permissions::health_probes` is off in `policy_inputs`.
    fn probe(&mut self, _replica: ReplicaIndex) {}

    fn close_idle(&mut self, replica: ReplicaIndex) {
        self.list.push(Decision::CloseIdle { replica });
    }

    /// Never called: `CoordinatorConfig::watch_membership` is off in `policy_inputs`, since control nodes push changes
    /// without being asked.
    fn watch_membership(&mut self) {}

    fn wake_at(&mut self, at: TenthMillis) {
        self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
    }
}
