//! When a proposer whose rounds compete with those of other nodes may start the next one.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use linenthread_time::{Instant, whole_millis};
use oorandom::Rand64;

use crate::timing::{
    BACKOFF_BASE, EAGER_REJECTIONS, MAX_BACKOFF, MAX_BACKOFF_DOUBLINGS, MIN_BACKOFF,
    VOTER_CHANGE_PAUSE_PHASES,
};

/// Randomized exponential backoff that leaves a competing round the time it needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Backoff {
    /// No round starts before this.
    not_before: Instant,
    /// Rounds in a row that were rejected.
    rejections: u32,
    /// How long the voters took for the last phase of a round. A shorter pause would lead to the next rejection.
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

    /// A majority of the voters has replied within this time.
    pub(crate) fn observe_phase_latency(&mut self, latency: Duration) {
        self.phase_latency = latency;
    }

    /// The pause that a pending order caused does not hold up a change of the voters.
    pub(crate) fn skip_pause(&mut self) {
        self.not_before = Instant::START;
    }

    /// A round of this node was completed.
    pub(crate) fn on_accepted(&mut self) {
        self.rejections = 0;
    }

    /// The next number is open: its proposers start without a history, or the one that was rejected most often would
    /// wait longest for every number.
    pub(crate) fn reset(&mut self) {
        (self.not_before, self.rejections) = (Instant::START, 0);
    }

    /// A round of this node was rejected in favour of another one. The competing round is left the time of one phase
    /// at least; not so by a change of the voters, since a second node may be lost before the successor of the first
    /// one votes. But after [`EAGER_REJECTIONS`] in a row the competing rounds may be changes of the voters as well, and
    /// two proposers with slow voters that hardly pause would reject each other for ever.
    pub(crate) fn on_rejected(&mut self, now: Instant, is_voter_change: bool) {
        self.rejections = (self.rejections + 1).min(MAX_BACKOFF_DOUBLINGS);
        let pause = if is_voter_change {
            let is_eager = self.rejections <= EAGER_REJECTIONS;
            let phases = if is_eager {
                0
            } else {
                VOTER_CHANGE_PAUSE_PHASES
            };
            let range = (phases * self.phase_latency).clamp(BACKOFF_BASE, MAX_BACKOFF);
            self.jitter.below(range)
        } else {
            let range = self.phase_latency.max(BACKOFF_BASE);
            let range = range.saturating_mul(1 << self.rejections).min(MAX_BACKOFF);
            self.phase_latency.min(MAX_BACKOFF) + self.jitter.below(range)
        };
        self.not_before = now + MIN_BACKOFF + pause;
    }

    /// This node votes in another node's round, which is left the time of both phases.
    pub(crate) fn yield_to_competing_round(&mut self, now: Instant) {
        let both_phases = 2 * self.phase_latency.clamp(BACKOFF_BASE, MAX_BACKOFF);
        self.not_before = self.not_before.max(now + both_phases);
    }
}

/// The random number generator. It does not take part in comparisons and hashes: states that differ in it alone are
/// one state to a model checker.
#[derive(Clone, Debug)]
struct Jitter(Rand64);

impl Jitter {
    /// A random duration below `limit`, in whole milliseconds.
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
