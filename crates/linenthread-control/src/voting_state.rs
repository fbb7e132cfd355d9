//! What a control node remembers from one event to the next: whether it votes, and for how long a value was undecided.

use linenthread_consensus::{LEASE_DURATION, ValueNumber};
use linenthread_messages::Value;
use linenthread_time::Instant;

/// A value must be undecided at so many heartbeat ticks in a row before this node completes it.
const MAX_UNDECIDED_TICKS: u32 = 2;

/// This node as a voter, when it last looked.
pub(crate) struct VotingState {
    /// This node is one of the voters of the value that it learned last.
    is_voter: bool,
    /// Number of the value that first named the voters.
    voters_since: ValueNumber,
    /// When this node learned of these voters: they had been decided by then.
    voters_learned_at: Instant,
    /// At how many heartbeat ticks in a row a value was undecided.
    undecided_ticks: u32,
}

impl VotingState {
    /// For a node that starts at this instant.
    pub(crate) fn new(now: Instant) -> VotingState {
        VotingState {
            is_voter: false,
            voters_since: ValueNumber::FIRST,
            voters_learned_at: now,
            undecided_ticks: 0,
        }
    }

    /// Notes the voters of a new value; whether they are others than before.
    pub(crate) fn on_decided(&mut self, now: Instant, value: &Value) -> bool {
        let voters_since = ValueNumber::new(value.voters_since);
        let are_others = voters_since > self.voters_since;
        if are_others {
            (self.voters_since, self.voters_learned_at) = (voters_since, now);
        }
        are_others
    }

    /// Whether all leases are over that earlier sets of voters granted.
    pub(crate) fn earlier_leases_are_over(&self, now: Instant) -> bool {
        now >= self.voters_learned_at + LEASE_DURATION
    }

    /// Notes whether this node is one of a new value's voters; returns whether it was one of the value's before.
    pub(crate) fn set_voter(&mut self, is_voter: bool) -> bool {
        std::mem::replace(&mut self.is_voter, is_voter)
    }

    /// Takes in whether a value is undecided at a heartbeat tick; whether it has been for too long.
    pub(crate) fn on_heartbeat_tick(&mut self, has_undecided: bool) -> bool {
        self.undecided_ticks = if has_undecided {
            self.undecided_ticks + 1
        } else {
            0
        };
        self.undecided_ticks >= MAX_UNDECIDED_TICKS
    }
}
