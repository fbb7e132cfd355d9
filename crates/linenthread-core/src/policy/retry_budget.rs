//! Limits retries and hedged requests, that is, all attempts of a sub-request after its first.

use super::Coordinator;

impl Coordinator {
    /// Counts accepted queries and sub-requests; the budget is proportional to their number.
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

    /// Reports whether the budget permits one more retry or hedged request. Exactly one window ago, retries still count
    /// but accepted queries no longer do, so that the limit holds for every window.
    pub(super) fn has_retry_budget(&self) -> bool {
        let Some(budget) = &self.config.retry_budget else {
            return true;
        };
        let start = self.now - budget.window;
        let retries = (self.fleet.retries.count_since(start) + 1) as f64;
        let accepted = self.fleet.accepted.count_since(start + 1) as f64;
        retries <= budget.reserve + budget.ratio * accepted
    }
}
