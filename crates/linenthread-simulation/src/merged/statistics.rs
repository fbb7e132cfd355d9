//! The outcomes of all queries, and the printed summary.

use serde_json::Value;

use super::fault::ReplicaBehavior;
use crate::number;

/// Counts of the outcomes of all queries.
#[derive(Default)]
pub(super) struct Statistics {
    pub(super) queries: usize,
    pub(super) complete: usize,
    pub(super) partial: usize,
    pub(super) truncated: usize,
    pub(super) rejected: usize,
    pub(super) continuations: usize,
    pub(super) duplicates: usize,
    pub(super) violations: usize,
}

impl Statistics {
    /// Counts a response.
    pub(super) fn count(&mut self, response: &Value) {
        let is_complete = is_complete(response);
        self.complete += usize::from(is_complete);
        self.partial += usize::from(!is_complete);
        self.truncated += usize::from(response["cut"].is_object());
    }

    /// Prints the counts, with the parameters drawn for the run.
    pub(super) fn print(&self, floor: f64, behavior: ReplicaBehavior) {
        let percent = |count: usize| number::percent(count, self.queries);
        println!(
            "slow {:.3}, faults {:.3}, floor {}: {:.1}% complete, {:.1}% partial, {:.1}% truncated, {:.1}% rejected; \
             {} continuations, {} duplicate responses",
            behavior.slow_share,
            behavior.fault_share,
            floor,
            percent(self.complete),
            percent(self.partial),
            percent(self.truncated),
            percent(self.rejected),
            self.continuations,
            self.duplicates
        );
    }
}

/// Reports whether a response is marked as complete.
pub(super) fn is_complete(response: &Value) -> bool {
    response["finished"] == Value::Bool(true)
}
