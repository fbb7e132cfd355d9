//! Ends queries in time when the process shuts down.
//!
//! The process ends at a known time, and so does each connection to a client. To the queries, that time is a deadline
//! like their own: no attempt is granted more time, a query that waits for the retry budget or a replica is rejected
//! when no response can come in time any more, and one with an attempt in flight is waited for until then.

use super::Coordinator;
use super::arrival::DEADLINE_MARGIN;
use crate::interface::{IndexConfig, TenthMillis};
use crate::state::Query;

/// Queries of a search index whose late responses earn no more than this are abandoned at their soft deadline.
///
/// Unit: share of the value. Reason: attempts of a late query delay queries that can still be in time.
const MIN_LATE_VALUE_SHARE: f64 = 0.15;

impl Coordinator {
    /// Records that the process shuts down: all queries must have ended by `shutdown_at`.
    pub(super) fn on_shutdown(&mut self, shutdown_at: TenthMillis) {
        self.shutdown_at = Some(shutdown_at - DEADLINE_MARGIN);
    }

    /// Returns when a query is rejected or failed, regardless of attempts in flight.
    pub(super) fn abandon_at(&self, query: &Query) -> TenthMillis {
        let deadline = own_deadline(query, self.index_config(query));
        self.shutdown_at.map_or(deadline, |at| at.min(deadline))
    }

    /// Reports whether the shutdown ends a query earlier than its own deadline.
    pub(super) fn ends_by_shutdown(&self, query: &Query) -> bool {
        self.abandon_at(query) < own_deadline(query, self.index_config(query))
    }
}

/// Returns when a query is abandoned if the process keeps running.
fn own_deadline(query: &Query, index: &IndexConfig) -> TenthMillis {
    if index.late_value_share > MIN_LATE_VALUE_SHARE {
        query.hard_deadline
    } else {
        query.soft_deadline.min(query.hard_deadline)
    }
}
