//! The summary of a command's run.

use std::ops::AddAssign;

/// How much a command checked, and how many violations it found.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunSummary {
    /// The number of schedules, queries, sessions, sizes or table lines that were checked.
    pub(crate) checked: usize,
    /// The number of violations found.
    pub(crate) violations: usize,
}

impl AddAssign for RunSummary {
    fn add_assign(&mut self, other: RunSummary) {
        self.checked += other.checked;
        self.violations += other.violations;
    }
}
