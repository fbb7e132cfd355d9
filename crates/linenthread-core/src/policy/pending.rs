//! Reports what the queries that have not ended wait for.

use super::Coordinator;
use crate::interface::PendingQueries;
use crate::state::{Query, SubRequest};

impl Coordinator {
    /// Returns how many queries have not ended, by what they wait for. It is an observation only and changes nothing.
    pub fn pending_queries(&self) -> PendingQueries {
        let mut pending = PendingQueries::default();
        for &query_index in &self.open_queries {
            let query = self.open_query(query_index);
            if query.is_finished() {
                continue;
            }
            let count = if query.is_in_flight() {
                &mut pending.in_flight
            } else if self.awaits_retry_budget(query) {
                &mut pending.awaiting_retry_budget
            } else {
                &mut pending.awaiting_replica
            };
            *count += 1;
        }
        pending
    }

    fn awaits_retry_budget(&self, query: &Query) -> bool {
        let is_retry = |s: &SubRequest| s.is_needed() && !s.attempts.is_empty();
        query.current_phase().iter().any(is_retry) && !self.has_retry_budget()
    }
}
