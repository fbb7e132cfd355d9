//! Randomized delay before a proposer starts the next round after another node's round rejected the last one.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use linenthread_time::{Instant, whole_millis};
use oorandom::Rand64;

use crate::timing::{
    BACKOFF_BASE, MAX_BACKOFF, MAX_BACKOFF_DOUBLINGS, MIN_BACKOFF, VOTER_CHANGE_BACKOFF_PHASES,
    VOTER_CHANGE_FAST_RETRIES,
};

/// Randomized exponential backoff that leaves a competing round enough time to complete.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Backoff {
    /// No round starts before this instant.
    not_before: Instant,
    /// Number of consecutive rejected rounds.
    rejections: u32,
    /// Latency of the voters in the last completed prepare phase. A shorter backoff would lead to another rejection.
    phase_latency: Duration,
    jitter: Jitter,
}

impl Backoff {
    pub(crate) fn new(seed: u64) -> Backoff {
        Backoff {
            not_before: Instant::START,
            rejections: 0,
            phase_latency: Duration::ZERO,
            jitter: Jitter(Rand64::new(u128::from(seed))),
        }
    }

    pub(crate) fn allows_round(&self, now: Instant) -> bool {
        now >= self.not_before
    }

    /// Records the time within which a majority of the voters has promised.
    pub(crate) fn observe_phase_latency(&mut self, latency: Duration) {
        self.phase_latency = latency;
    }

    /// Ends the current backoff, so that one caused by a pending order does not delay a voter change.
    pub(crate) fn skip_backoff(&mut self) {
        self.not_before = Instant::START;
    }

    /// Resets the count of rejections after a completed round of this node.
    pub(crate) fn on_accepted(&mut self) {
        self.rejections = 0;
    }

    /// Resets the backoff for a new number. Otherwise the proposer that was rejected most often for earlier numbers
    /// would wait longest for every number.
    pub(crate) fn reset(&mut self) {
        (self.not_before, self.rejections) = (Instant::START, 0);
    }

    /// Starts a backoff after a round of this node was rejected in favour of a competing one.
    ///
    /// The backoff leaves the competing round at least the time of one phase. That of a voter change is shorter,
    /// since a second node may fail before the replacement of the first one votes. After
    /// [`VOTER_CHANGE_FAST_RETRIES`] consecutive rejections the competing rounds may be voter changes as well: with
    /// slow voters and a short backoff, two such proposers would reject each other forever.
    pub(crate) fn on_rejected(&mut self, now: Instant, is_voter_change: bool) {
        self.rejections = (self.rejections + 1).min(MAX_BACKOFF_DOUBLINGS);
        let backoff = if is_voter_change {
            let is_fast_retry = self.rejections <= VOTER_CHANGE_FAST_RETRIES;
            let phases = if is_fast_retry {
                0
            } else {
                VOTER_CHANGE_BACKOFF_PHASES
            };
            let range = (phases * self.phase_latency).clamp(BACKOFF_BASE, MAX_BACKOFF);
            self.jitter.below(range)
        } else {
            let range = self.phase_latency.max(BACKOFF_BASE);
            let range = range.saturating_mul(1 << self.rejections).min(MAX_BACKOFF);
            self.phase_latency.min(MAX_BACKOFF) + self.jitter.below(range)
        };
        self.not_before = now + MIN_BACKOFF + backoff;
    }

    /// Delays the next round by the time of both phases, because this node has promised to vote in a competing one.
    pub(crate) fn yield_to_competing_round(&mut self, now: Instant) {
        let both_phases = 2 * self.phase_latency.clamp(BACKOFF_BASE, MAX_BACKOFF);
        self.not_before = self.not_before.max(now + both_phases);
    }
}

/// Random number generator of the backoff. Comparisons and hashes ignore it, so that a model checker treats states
/// that differ only in it as one state.
#[derive(Clone, Debug)]
struct Jitter(Rand64);

impl Jitter {
    /// Returns a random duration below `limit`, in whole milliseconds.
    fn below(&mut self, limit: Duration) -> Duration {
        Duration::from_millis(self.0.rand_range(0..whole_millis(limit)))
    }
}

impl PartialEq for Jitter {
    fn eq(&self, _: &Jitter) -> bool {
        true
    }
}

impl Eq for Jitter {}

impl Hash for Jitter {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}
