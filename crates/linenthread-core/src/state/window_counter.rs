//! Event counts within a sliding window.

use std::collections::VecDeque;

use crate::interface::TenthMillis;

/// The events counted at one point in time.
struct CountAt {
    at: TenthMillis,
    count: usize,
}

/// Event counts within the window of a limit, oldest first.
#[derive(Default)]
pub(crate) struct WindowCounter(VecDeque<CountAt>);

impl WindowCounter {
    /// Adds `count` events at `now` and discards counts from before the window.
    pub(crate) fn add(&mut self, now: TenthMillis, window: TenthMillis, count: usize) {
        if count > 0 {
            self.0.retain(|counted| counted.at >= now - window);
            self.0.push_back(CountAt { at: now, count });
        }
    }

    /// Returns the number of events from `start` on.
    pub(crate) fn count_since(&self, start: TenthMillis) -> usize {
        self.0
            .iter()
            .filter(|counted| counted.at >= start)
            .map(|counted| counted.count)
            .sum()
    }
}
