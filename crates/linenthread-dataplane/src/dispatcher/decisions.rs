//! What the decision module decides in one round, as a list that the dispatcher carries out.

use linenthread_core::DecisionSink;
use linenthread_core::interface::{FailureCause, TenthMillis};

/// One decision. Queries, parts and replicas are named by the indices under which the decision module knows them.
pub(super) enum Decision {
    /// Send a part to a replica.
    Call {
        query: usize,
        part: usize,
        replica: usize,
        timeout: TenthMillis,
    },
    /// Answer from the responses that have arrived.
    Complete { query: usize },
    /// Reject the query: it may be sent again, at best after this time.
    Reject {
        query: usize,
        retry_after: Option<TenthMillis>,
    },
    /// Give the query up, with no promise.
    Abort { query: usize },
    /// Nothing of the query is in flight: its index is free.
    Release { query: usize },
    /// Close the idle connections to a replica.
    CloseIdle { replica: usize },
}

/// The decisions of a round, in the order they were taken.
#[derive(Default)]
pub(super) struct Decisions {
    pub(super) list: Vec<Decision>,
    /// When the module is to run again, if nothing arrives before.
    pub(super) wake_at: Option<TenthMillis>,
    /// Since they were last logged.
    pub(super) abandoned: AbandonedCounts,
}

/// How many queries were rejected or given up, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct AbandonedCounts {
    pub(super) deadline_exceeded: u64,
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
    fn send(&mut self, query: usize, part: usize, replica: usize, timeout: TenthMillis) {
        self.list.push(Decision::Call {
            query,
            part,
            replica,
            timeout,
        });
    }

    fn cancel(&mut self, _query: usize, _part: usize, _call: usize) {}

    fn respond(&mut self, query: usize, _is_complete: bool) {
        self.list.push(Decision::Complete { query });
    }

    fn failure_cause(&mut self, _query: usize, cause: FailureCause) {
        *match cause {
            FailureCause::DeadlineExceeded => &mut self.abandoned.deadline_exceeded,
            FailureCause::QueryOfDeath => &mut self.abandoned.crash_suspected,
            FailureCause::Unanswerable => &mut self.abandoned.unanswerable,
            FailureCause::ExpectedLate => &mut self.abandoned.too_slow,
            FailureCause::Saturated => &mut self.abandoned.saturated,
        } += 1;
    }

    fn reject(&mut self, query: usize, retry_after: Option<TenthMillis>) {
        self.list.push(Decision::Reject { query, retry_after });
    }

    fn fail(&mut self, query: usize) {
        self.list.push(Decision::Abort { query });
    }

    fn release(&mut self, query: usize) {
        self.list.push(Decision::Release { query });
    }

    fn probe(&mut self, _replica: usize) {}

    fn close_idle(&mut self, replica: usize) {
        self.list.push(Decision::CloseIdle { replica });
    }

    fn watch_membership(&mut self) {}

    fn wake_at(&mut self, at: TenthMillis) {
        self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
    }
}
