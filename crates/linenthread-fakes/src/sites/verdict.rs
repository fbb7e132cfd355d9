//! What became of queries over a link, and what of it cannot be true.

use crate::program::ORDER;

/// What became of the queries of a run.
#[derive(Debug, Default, PartialEq)]
pub struct Verdict {
    /// Queries that were checked.
    pub checked: usize,
    /// Those that were answered.
    pub succeeded: usize,
    /// Those that were rejected: nothing was executed.
    pub rejected: usize,
    /// Those that failed: what was executed is unknown.
    pub failed: usize,
    /// Violations of the rules.
    pub violations: Vec<String>,
}

impl Verdict {
    pub(super) fn count(&mut self, status: Option<u16>) {
        self.checked += 1;
        match status {
            Some(200) => self.succeeded += 1,
            Some(503) => self.rejected += 1,
            Some(502) => self.failed += 1,
            _ => {}
        }
    }

    pub(super) fn add(&mut self, other: Verdict) {
        self.checked += other.checked;
        self.succeeded += other.succeeded;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.violations.extend(other.violations);
    }
}

/// The end of a query of one shard, and how many times its sub-request was executed.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueryEnd<'q> {
    /// The index that was queried.
    pub(super) index: &'q str,
    /// The HTTP status; `None` if the connection ended without a response.
    pub(super) status: Option<u16>,
    pub(super) executions: usize,
}

impl QueryEnd<'_> {
    /// Why the status is not true, if it is not.
    pub(super) fn false_status(&self) -> Option<&'static str> {
        match self.status {
            Some(200) if self.executions == 0 => Some("answered, and did not run"),
            Some(503) if self.is_non_idempotent() && self.executions > 0 => Some("nacked, and ran"),
            Some(200 | 502 | 503) => None,
            _ => Some("no final answer"),
        }
    }

    /// Whether a sub-request that may run only once ran more often.
    pub(super) fn ran_twice(&self) -> Option<&'static str> {
        (self.is_non_idempotent() && self.executions > 1).then_some("ran twice")
    }

    fn is_non_idempotent(&self) -> bool {
        self.index == ORDER
    }
}
