//! What the decision module decides in one round, as a list that the dispatcher carries out.

use linenthread_core::Writer;
use linenthread_core::interface::{Tenths, Why};

/// One decision. Queries, parts and replicas are named by the indices under which the decision module knows them.
pub(super) enum Decision {
    /// Send a part to a replica.
    Call {
        query: usize,
        part: usize,
        replica: usize,
        timeout: Tenths,
    },
    /// Answer from the responses that have arrived.
    Complete { query: usize },
    /// Reject the query: it may be sent again, at best after this time.
    Reject {
        query: usize,
        retry_after: Option<Tenths>,
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
    pub(super) wake_at: Option<Tenths>,
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

impl Writer for Decisions {
    fn call(&mut self, query: usize, part: usize, replica: usize, timeout: Tenths) {
        self.list.push(Decision::Call {
            query,
            part,
            replica,
            timeout,
        });
    }

    fn withdraw(&mut self, _query: usize, _part: usize, _call: usize) {}

    fn satisfy(&mut self, query: usize, _is_complete: bool) {
        self.list.push(Decision::Complete { query });
    }

    fn given_up(&mut self, _query: usize, cause: Why) {
        *match cause {
            Why::Late => &mut self.abandoned.deadline_exceeded,
            Why::Fells => &mut self.abandoned.crash_suspected,
            Why::Hopeless => &mut self.abandoned.unanswerable,
            Why::Slow => &mut self.abandoned.too_slow,
            Why::Full => &mut self.abandoned.saturated,
        } += 1;
    }

    fn nack(&mut self, query: usize, retry_after: Option<Tenths>) {
        self.list.push(Decision::Reject { query, retry_after });
    }

    fn abort(&mut self, query: usize) {
        self.list.push(Decision::Abort { query });
    }

    fn release(&mut self, query: usize) {
        self.list.push(Decision::Release { query });
    }

    fn probe(&mut self, _replica: usize) {}

    fn close(&mut self, replica: usize) {
        self.list.push(Decision::CloseIdle { replica });
    }

    fn watch_roster(&mut self) {}

    fn wake_at(&mut self, at: Tenths) {
        self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
    }
}
