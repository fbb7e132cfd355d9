//! What a control node remembers from one event to the next: whether it votes, and for how long a value was undecided.

/// A value must be undecided at so many heartbeat ticks in a row before this node completes it.
const MAX_UNDECIDED_TICKS: u32 = 2;

/// This node as a voter, when it last looked.
#[derive(Default)]
pub(crate) struct VotingState {
    /// This node is one of the voters of the value that it learned last.
    is_voter: bool,
    /// At how many heartbeat ticks in a row a value was undecided.
    undecided_ticks: u32,
}

impl VotingState {
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
