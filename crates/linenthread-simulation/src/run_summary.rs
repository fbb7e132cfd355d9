//! What a command checked, and how many violations it found.

use std::ops::AddAssign;

/// What a command checked, and what it found.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunSummary {
    /// How many schedules, queries, sessions or sizes were checked.
    pub(crate) checked: usize,
    /// How many violations were found in them.
    pub(crate) violations: usize,
}

impl AddAssign for RunSummary {
    fn add_assign(&mut self, other: RunSummary) {
        self.checked += other.checked;
        self.violations += other.violations;
    }
}
