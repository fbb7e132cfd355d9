//! What became of all queries, and how it is printed.

use super::fault::ReplicaBehavior;

/// What became of all queries.
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
    pub(super) fn print(&self, floor: f64, behavior: ReplicaBehavior) {
        let percent = |count: usize| 100.0 * count as f64 / self.queries.max(1) as f64;
        println!(
            "slow {:.3}, faults {:.3}, floor {}: {:.1}% complete, {:.1}% partial, {:.1}% truncated, {:.1}% rejected; \
             {} continuations, {} duplicate responses",
            behavior.slow,
            behavior.faults,
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
