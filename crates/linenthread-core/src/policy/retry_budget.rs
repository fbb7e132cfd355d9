//! How many retries and hedged requests there may be: all attempts of a sub-request beyond its first.

use super::Coordinator;

impl Coordinator {
    /// Counts queries and sub-requests that were accepted, to which the budget is proportional.
    pub(super) fn count_accepted(&mut self, count: usize) {
        if let Some(budget) = &self.config.retry_budget {
            self.fleet.accepted.add(self.now, budget.window, count);
        }
    }

    /// Counts a retry or a hedged request that was sent.
    pub(super) fn count_retry(&mut self) {
        if let Some(budget) = &self.config.retry_budget {
            self.fleet.retries.add(self.now, budget.window, 1);
        }
    }

    /// Whether the budget has room for one more retry or hedged request. At the edge of the window retries still
    /// count and accepted queries no longer do, so that the limit holds for any window.
    pub(super) fn has_retry_budget(&self) -> bool {
        let Some(budget) = &self.config.retry_budget else {
            return true;
        };
        let start = self.now - budget.window;
        let retries = (self.fleet.retries.since(start) + 1) as f64;
        let accepted = self.fleet.accepted.since(start + 1) as f64;
        retries <= budget.reserve + budget.ratio * accepted
    }
}
