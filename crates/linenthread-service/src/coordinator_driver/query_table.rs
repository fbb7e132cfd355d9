//! The open queries: the index by which the coordinator knows each, and where the decisions on it go.

use linenthread_core::interface::QueryIndex;
use tokio::sync::mpsc;

use super::query_decision::QueryDecision;

/// An open query.
struct QueryEntry {
    decisions: mpsc::UnboundedSender<QueryDecision>,
    /// How many queries were submitted before it.
    submitted_before: u64,
}

/// How many queries were submitted, and how many of the first of these are over.
#[derive(Clone, Copy)]
pub(super) struct QueryProgress {
    pub(super) submitted: u64,
    pub(super) completed: u64,
}

/// The open queries by their indices, which are reused.
#[derive(Default)]
pub(super) struct QueryTable {
    /// A query's task ends when its entry is dropped.
    by_index: Vec<Option<QueryEntry>>,
    free: Vec<QueryIndex>,
    /// Queries submitted so far.
    submitted: u64,
}

impl QueryTable {
    /// Assigns an index to a new query.
    pub(super) fn open(&mut self, decisions: mpsc::UnboundedSender<QueryDecision>) -> QueryIndex {
        let submitted_before = self.submitted;
        self.submitted += 1;
        let query = self.free.pop().unwrap_or_else(|| {
            self.by_index.push(None);
            QueryIndex(self.by_index.len() - 1)
        });
        self.by_index[query.0] = Some(QueryEntry {
            decisions,
            submitted_before,
        });
        query
    }

    /// Passes a decision to the task of its query.
    pub(super) fn pass_on(&self, query: QueryIndex, decision: QueryDecision) {
        if let Some(Some(open)) = self.by_index.get(query.0) {
            open.decisions.send(decision).ok();
        }
    }

    /// A query is over and none of its attempts is in flight: its index is free again.
    pub(super) fn release(&mut self, query: QueryIndex) {
        let open = self.by_index.get_mut(query.0).and_then(Option::take);
        if open.is_some() {
            self.free.push(query);
        }
    }

    /// Queries submitted so far.
    pub(super) fn submitted(&self) -> u64 {
        self.submitted
    }

    /// How far the queries have come.
    pub(super) fn progress(&self) -> QueryProgress {
        let open = self.by_index.iter().flatten();
        let first_open = open.map(|open| open.submitted_before).min();
        QueryProgress {
            submitted: self.submitted,
            completed: first_open.unwrap_or(self.submitted),
        }
    }
}
