//! The outcomes of queries over a link, and the checks of each against the executed sub-requests.

use crate::program::ORDER;

/// The outcomes of the queries of a run.
#[derive(Debug, Default, PartialEq)]
pub struct QuerySummary {
    /// The number of queries that were checked.
    pub checked: usize,
    /// The number of queries that succeeded (status 200).
    pub succeeded: usize,
    /// The number of queries that were rejected without being executed (status 503).
    pub rejected: usize,
    /// The number of queries that failed, and may have been executed (status 502).
    pub failed: usize,
    /// The violations of the rules.
    pub violations: Vec<String>,
}

impl QuerySummary {
    pub(super) fn count(&mut self, status: Option<u16>) {
        self.checked += 1;
        match status {
            Some(200) => self.succeeded += 1,
            Some(503) => self.rejected += 1,
            Some(502) => self.failed += 1,
            _ => {}
        }
    }

    pub(super) fn add(&mut self, other: QuerySummary) {
        self.checked += other.checked;
        self.succeeded += other.succeeded;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.violations.extend(other.violations);
    }
}

/// The end of a query for one shard, and how many times its sub-request was executed.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueryEnd<'q> {
    /// The index that was queried.
    pub(super) index: &'q str,
    /// The HTTP status; `None` if the connection ended without a response.
    pub(super) status: Option<u16>,
    pub(super) executions: usize,
}

impl QueryEnd<'_> {
    /// Returns how the status contradicts the executions, if it does.
    pub(super) fn status_mismatch(&self) -> Option<&'static str> {
        match self.status {
            Some(200) if self.executions == 0 => Some("succeeded, but was not executed"),
            Some(503) if self.is_non_idempotent() && self.executions > 0 => {
                Some("was rejected, but was executed")
            }
            Some(200 | 502 | 503) => None,
            _ => Some("got no final response"),
        }
    }

    /// Returns a violation if a non-idempotent sub-request was executed more than once.
    pub(super) fn duplicate_execution(&self) -> Option<&'static str> {
        (self.is_non_idempotent() && self.executions > 1).then_some("was executed more than once")
    }

    fn is_non_idempotent(&self) -> bool {
        self.index == ORDER
    }
}
