//! The voting state of a control node: whether it is a voter, since when the voters are known, and for how long a value
//! has been undecided.

use linenthread_consensus::{LEASE_DURATION, ValueNumber};
use linenthread_messages::Value;
use linenthread_time::Instant;

/// A value that is undecided at this many heartbeat ticks in a row is completed by this node.
const MAX_UNDECIDED_TICKS: u32 = 2;

/// The voting state as of the last event.
pub(crate) struct VotingState {
    /// Whether this node is one of the voters of the value that it learned last.
    is_voter: bool,
    /// Number of the first value with the current voters.
    voters_since: ValueNumber,
    /// When this node learned of the current voters, which is after they were decided.
    voters_learned_at: Instant,
    /// Number of heartbeat ticks in a row at which a value was undecided.
    undecided_ticks: u32,
}

impl VotingState {
    /// Creates the state of a node that starts at `now`.
    pub(crate) fn new(now: Instant) -> VotingState {
        VotingState {
            is_voter: false,
            voters_since: ValueNumber::FIRST,
            voters_learned_at: now,
            undecided_ticks: 0,
        }
    }

    /// Records the voters of a new value; returns whether they differ from the previous voters.
    pub(crate) fn on_decided(&mut self, now: Instant, value: &Value) -> bool {
        let voters_since = ValueNumber::new(value.voters_since);
        let voters_changed = voters_since > self.voters_since;
        if voters_changed {
            (self.voters_since, self.voters_learned_at) = (voters_since, now);
        }
        voters_changed
    }

    /// Reports whether all leases granted by earlier sets of voters have expired.
    pub(crate) fn earlier_leases_have_expired(&self, now: Instant) -> bool {
        now >= self.voters_learned_at + LEASE_DURATION
    }

    /// Records whether this node is one of the voters of a new value; returns whether it was one of the previous
    /// value's.
    pub(crate) fn set_voter(&mut self, is_voter: bool) -> bool {
        std::mem::replace(&mut self.is_voter, is_voter)
    }

    /// Records whether a value is undecided at a heartbeat tick; returns whether it has been undecided for
    /// [`MAX_UNDECIDED_TICKS`] ticks.
    pub(crate) fn on_heartbeat_tick(&mut self, has_undecided: bool) -> bool {
        self.undecided_ticks = if has_undecided {
            self.undecided_ticks + 1
        } else {
            0
        };
        self.undecided_ticks >= MAX_UNDECIDED_TICKS
    }
}
