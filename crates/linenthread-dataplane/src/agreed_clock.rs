//! The wall-clock time that the control nodes agree on, as an offset from this process's monotonic clock.

use std::collections::VecDeque;
use std::time::Duration;

use linenthread_time::{ClockOffset, Instant, WallTime};

/// Number of samples kept; control nodes send one every 500 ms.
const MAX_SAMPLES: usize = 8;
/// A sample that differs from the estimate by more than this was delayed, or comes from a control node that cannot
/// reach its peers. It is ignored unless all samples differ that much.
const TOLERANCE: Duration = Duration::from_millis(250);

/// Estimates the offset of the control nodes' time from this process's monotonic clock.
///
/// Network delay only makes a sample smaller, never larger, so the largest of the recent samples is the most accurate.
#[derive(Debug, Default)]
pub struct AgreedClock {
    /// Newest last.
    samples: VecDeque<ClockOffset>,
    offset: Option<ClockOffset>,
}

impl AgreedClock {
    /// Records a message that arrived at `now` and was sent at time `agreed` of the control nodes.
    pub fn observe(&mut self, now: Instant, agreed: WallTime) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        let is_settled = self.samples.len() + 1 == MAX_SAMPLES;
        self.samples.push_back(ClockOffset::between(now, agreed));
        let estimate = self.offset.filter(|_| is_settled);
        let largest_within_tolerance = estimate.and_then(|estimate| {
            let samples = self.samples.iter().copied();
            samples
                .filter(|sample| is_within_tolerance(*sample, estimate))
                .max()
        });
        self.offset = largest_within_tolerance.or_else(|| self.samples.iter().copied().max());
    }

    /// Returns the estimate, or `None` before the first sample.
    pub fn offset(&self) -> Option<ClockOffset> {
        self.offset
    }
}

fn is_within_tolerance(one: ClockOffset, other: ClockOffset) -> bool {
    one.difference(other) <= TOLERANCE
}
