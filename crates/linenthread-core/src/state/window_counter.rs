//! Counts within a sliding window.

use std::collections::VecDeque;

use crate::interface::TenthMillis;

/// How much was counted at which moment, within the window that a limit is stated for.
#[derive(Default)]
pub(crate) struct WindowCounter(VecDeque<(TenthMillis, usize)>);

impl WindowCounter {
    /// Counts `count` now and forgets what lies before the window.
    pub(crate) fn add(&mut self, now: TenthMillis, window: TenthMillis, count: usize) {
        if count > 0 {
            self.0.retain(|(at, _)| *at >= now - window);
            self.0.push_back((now, count));
        }
    }

    /// The total counted from `start` on.
    pub(crate) fn since(&self, start: TenthMillis) -> usize {
        self.0
            .iter()
            .filter(|(at, _)| *at >= start)
            .map(|(_, count)| count)
            .sum()
    }
}
