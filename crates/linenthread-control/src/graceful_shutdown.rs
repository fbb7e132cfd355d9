//! Decides when a control node that is shutting down may exit. The functions are pure: they map the node's view to a
//! decision.

use std::fmt;

use linenthread_consensus::NodeId;

use crate::reconfiguration::removes_voter_without_successor;

/// The state of another voter, as seen by a node that is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// A round trip succeeded recently.
    InContact,
    /// In contact, and shutting down.
    ShuttingDown,
    /// It exited after a graceful shutdown.
    Departed,
    /// Out of contact, without a graceful shutdown known to this node.
    OutOfContact,
}

/// A voter of the newest value, as seen by a node that is shutting down.
#[derive(Clone, Copy, Debug)]
pub struct PeerVoter {
    /// The voter's id.
    pub node_id: NodeId,
    /// Whether the voter's disk holds the newest value that the node knows.
    pub durable: bool,
    /// The state of the voter.
    pub presence: Presence,
}

/// The unfinished work of the node that is shutting down.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalWork {
    /// It accepted a value that it does not know to be decided.
    pub has_undecided_value: bool,
    /// Calls of operators or replicas, or a change of the voters by this node, are pending.
    pub has_pending_calls: bool,
    /// It holds the leader lease.
    pub is_leader: bool,
}

/// The work of other nodes that delays the shutdown.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerWork {
    /// There is a standby, which can replace a voter now or once its disk holds everything.
    pub has_standby: bool,
    /// A peer in contact has not yet acknowledged that the node is shutting down.
    pub has_unacknowledged: bool,
    /// The preferred leader is about to change the voters.
    pub is_reconfiguring: bool,
}

/// The input of [`next_shutdown_step`].
#[derive(Clone, Debug)]
pub struct ShutdownView {
    /// Id of the node that is shutting down.
    pub node_id: NodeId,
    /// The voters of the newest value, in its order.
    pub voters: Vec<PeerVoter>,
    /// A voter is removed without a successor only if there are more voters than this.
    pub min_voters: usize,
    /// The node's own unfinished work.
    pub local: LocalWork,
    /// The work of other nodes that the node waits for.
    pub peers: PeerWork,
}

/// The next step of a node that is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Wait, for this reason.
    Wait(ShutdownBlocker),
    /// Release the leader lease: enough other voters hold the newest value.
    ReleaseLease,
    /// Exit the process.
    Exit,
}

/// The reason why a node that is shutting down can't exit yet. [`fmt::Display`] writes the text for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownBlocker {
    /// It accepted a value that it does not know to be decided.
    UndecidedValue,
    /// Calls are pending.
    PendingCalls,
    /// A peer does not know yet that the node is shutting down.
    Unacknowledged,
    /// The voters are being changed.
    Reconfiguration,
    /// The node is a voter that is about to be replaced or removed.
    StillVoter,
    /// Too few other disks hold the newest value.
    TooFewDurableVoters,
    /// The node still holds the leader lease.
    LeaderLease,
}

impl fmt::Display for ShutdownBlocker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ShutdownBlocker::UndecidedValue => "an accepted value is not known to be decided",
            ShutdownBlocker::PendingCalls => "calls are in flight",
            ShutdownBlocker::Unacknowledged => {
                "not all control nodes in contact have acknowledged the shutdown"
            }
            ShutdownBlocker::Reconfiguration => "the voters are being changed",
            ShutdownBlocker::StillVoter => "its vote is not replaced or removed yet",
            ShutdownBlocker::TooFewDurableVoters => "too few other disks hold the newest value",
            ShutdownBlocker::LeaderLease => "the leader lease is not released yet",
        })
    }
}

impl ShutdownView {
    fn own_position(&self) -> Option<usize> {
        self.voters
            .iter()
            .position(|voter| voter.node_id == self.node_id)
    }

    /// Returns how many of the voters, this node included, are shutting down or have departed.
    fn shutting_down_count(&self) -> usize {
        self.voters
            .iter()
            .filter(|voter| {
                voter.node_id == self.node_id
                    || matches!(voter.presence, Presence::ShuttingDown | Presence::Departed)
            })
            .count()
    }

    /// Reports whether the voter at this position remains available as a copy of the state after this node's exit. If
    /// several nodes shut down at once, the first in order exits first, and the later ones wait until it has returned.
    /// If all other voters shut down or have departed, the copies on their disks are the best that can be had.
    fn is_lasting_copy(&self, position: usize, all_others_shut_down: bool) -> bool {
        match self.voters[position].presence {
            Presence::InContact => true,
            Presence::ShuttingDown => {
                all_others_shut_down || self.own_position().is_none_or(|own| position > own)
            }
            Presence::Departed => all_others_shut_down,
            Presence::OutOfContact => false,
        }
    }

    /// Reports whether a majority of the voters hold the newest value without this node; or all other voters, if they
    /// are fewer than a majority.
    fn has_enough_copies(&self) -> bool {
        let others: Vec<(usize, &PeerVoter)> = self
            .voters
            .iter()
            .enumerate()
            .filter(|(_, voter)| voter.node_id != self.node_id)
            .collect();
        let all_others_shut_down = others.iter().all(|(_, voter)| {
            matches!(voter.presence, Presence::ShuttingDown | Presence::Departed)
        });
        let copies = others
            .iter()
            .filter(|(position, voter)| {
                voter.durable && self.is_lasting_copy(*position, all_others_shut_down)
            })
            .count();
        let majority = self.voters.len() / 2 + 1;
        copies >= majority.min(others.len())
    }
}

/// Decides whether a node that is shutting down may exit, and otherwise what it does or waits for.
pub fn next_shutdown_step(view: &ShutdownView) -> ShutdownStep {
    if view.local.has_undecided_value {
        return ShutdownStep::Wait(ShutdownBlocker::UndecidedValue);
    }
    if view.local.has_pending_calls {
        return ShutdownStep::Wait(ShutdownBlocker::PendingCalls);
    }
    if view.peers.has_unacknowledged {
        return ShutdownStep::Wait(ShutdownBlocker::Unacknowledged);
    }
    if view.peers.is_reconfiguring {
        return ShutdownStep::Wait(ShutdownBlocker::Reconfiguration);
    }
    let will_be_removed = view.peers.has_standby
        || removes_voter_without_successor(
            view.voters.len(),
            view.shutting_down_count(),
            view.min_voters,
        );
    if will_be_removed && view.own_position().is_some() {
        return ShutdownStep::Wait(ShutdownBlocker::StillVoter);
    }
    if !view.has_enough_copies() {
        return ShutdownStep::Wait(ShutdownBlocker::TooFewDurableVoters);
    }
    if view.local.is_leader {
        return ShutdownStep::ReleaseLease;
    }
    ShutdownStep::Exit
}
