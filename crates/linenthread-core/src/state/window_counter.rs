//! Counts within a sliding window.

use std::collections::VecDeque;

use crate::interface::TenthMillis;

/// What was counted at one moment.
struct CountAt {
    at: TenthMillis,
    count: usize,
}

/// How much was counted at which moment, within the window that a limit is stated for; oldest first.
#[derive(Default)]
pub(crate) struct WindowCounter(VecDeque<CountAt>);

impl WindowCounter {
    /// Counts `count` now and forgets what lies before the window.
    pub(crate) fn add(&mut self, now: TenthMillis, window: TenthMillis, count: usize) {
        if count > 0 {
            self.0.retain(|counted| counted.at >= now - window);
            self.0.push_back(CountAt { at: now, count });
        }
    }

    /// The total counted from `start` on.
    pub(crate) fn since(&self, start: TenthMillis) -> usize {
        self.0
            .iter()
            .filter(|counted| counted.at >= start)
            .map(|counted| counted.count)
            .sum()
    }
}
