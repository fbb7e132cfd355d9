//! The open queries: the index that identifies each to the coordinator, and the channel for the decisions on it.

use linenthread_core::interface::QueryIndex;
use tokio::sync::mpsc;

use super::query_decision::QueryDecision;

/// An open query.
struct QueryEntry {
    decisions: mpsc::UnboundedSender<QueryDecision>,
    /// Number of queries that were submitted before this one.
    submitted_before: u64,
}

/// The numbers of submitted and of completed queries.
#[derive(Clone, Copy)]
pub(super) struct QueryProgress {
    /// Number of queries submitted so far.
    pub(super) submitted: u64,
    /// The largest number such that the first `completed` queries are all over.
    pub(super) completed: u64,
}

/// The open queries by index. Indices are reused.
#[derive(Default)]
pub(super) struct QueryTable {
    /// Dropping an entry ends the task of its query.
    by_index: Vec<Option<QueryEntry>>,
    free: Vec<QueryIndex>,
    /// Number of queries submitted so far.
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

    /// Sends a decision to the task of its query.
    pub(super) fn send_decision(&self, query: QueryIndex, decision: QueryDecision) {
        if let Some(Some(open)) = self.by_index.get(query.0) {
            open.decisions.send(decision).ok();
        }
    }

    /// Frees the index of a query that is over and has no attempt in flight.
    pub(super) fn release(&mut self, query: QueryIndex) {
        let open = self.by_index.get_mut(query.0).and_then(Option::take);
        if open.is_some() {
            self.free.push(query);
        }
    }

    /// Returns the number of queries submitted so far.
    pub(super) fn submitted(&self) -> u64 {
        self.submitted
    }

    pub(super) fn progress(&self) -> QueryProgress {
        let open = self.by_index.iter().flatten();
        let first_open = open.map(|open| open.submitted_before).min();
        QueryProgress {
            submitted: self.submitted,
            completed: first_open.unwrap_or(self.submitted),
        }
    }
}
