//! When a control node that shuts down may exit: pure functions from its view to a decision.

use std::fmt;

use linenthread_consensus::NodeId;

use crate::reconfiguration::removes_voter_without_successor;

/// How another voter is seen by a node that shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Messages went back and forth lately.
    InContact,
    /// In contact, and shutting down as well.
    ShuttingDown,
    /// It ended after a graceful shutdown.
    Departed,
    /// Out of contact, without a graceful shutdown that this node knows of.
    OutOfContact,
}

/// One of the newest value's voters as a node that shuts down sees it.
#[derive(Clone, Copy, Debug)]
pub struct PeerVoter {
    /// The voter's id.
    pub node_id: NodeId,
    /// Its disk holds the newest value that the node knows.
    pub durable: bool,
    /// How it is seen.
    pub presence: Presence,
}

/// What the node that shuts down has left to do itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalWork {
    /// It accepted a value that it does not know to be decided.
    pub has_undecided_value: bool,
    /// Calls of operators or replicas, or a change of the voters by this node, wait for their outcome.
    pub has_pending_calls: bool,
    /// It holds the leader lease.
    pub is_leader: bool,
}

/// What the node that shuts down waits for at the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerWork {
    /// Some node may replace a voter at once.
    pub has_standby: bool,
    /// Some peer in contact has not yet acknowledged that the node shuts down.
    pub has_unacknowledged: bool,
    /// The leader is about to change the voters.
    pub is_reconfiguring: bool,
}

/// All that the decision to exit rests on.
#[derive(Clone, Debug)]
pub struct ShutdownView {
    /// Id of the node that shuts down.
    pub node_id: NodeId,
    /// In the order of the newest value.
    pub voters: Vec<PeerVoter>,
    /// A voter is removed without a successor only if more than so many vote.
    pub min_voters: usize,
    /// What the node has left to do itself.
    pub local: LocalWork,
    /// What it waits for at the others.
    pub peers: PeerWork,
}

/// What a node that shuts down does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Wait, for this reason.
    Wait(ShutdownBlocker),
    /// Others hold everything: give the leader lease back.
    ReleaseLease,
    /// End the process.
    Exit,
}

/// What keeps a node that shuts down from exiting. [`fmt::Display`] gives the text for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownBlocker {
    /// It accepted a value that it does not know to be decided.
    UndecidedValue,
    /// Calls wait for their responses.
    PendingCalls,
    /// Some peer does not know yet that it shuts down.
    Unacknowledged,
    /// The voters are being changed.
    Reconfiguration,
    /// It is a voter that is about to be replaced or removed.
    OwnVote,
    /// Too few other disks hold the newest value.
    TooFewCopies,
    /// It still holds the leader lease.
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
            ShutdownBlocker::OwnVote => "its vote is not replaced or removed yet",
            ShutdownBlocker::TooFewCopies => "too few other disks hold the newest value",
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

    /// How many of the voters shut down, or have, this node included.
    fn shutting_down_count(&self) -> usize {
        self.voters
            .iter()
            .filter(|voter| {
                voter.node_id == self.node_id
                    || matches!(voter.presence, Presence::ShuttingDown | Presence::Departed)
            })
            .count()
    }

    /// Whether the voter at this position goes on holding what this node leaves behind. Of several that shut down at
    /// once the first in order exits first, and the later ones wait for its return. If nobody stays, what the disks
    /// hold is all that can be had.
    fn stays(&self, position: usize, nobody_stays: bool) -> bool {
        match self.voters[position].presence {
            Presence::InContact => true,
            Presence::ShuttingDown => {
                nobody_stays || self.own_position().is_none_or(|own| position > own)
            }
            Presence::Departed => nobody_stays,
            Presence::OutOfContact => false,
        }
    }

    /// Whether more than half of the voters hold the newest value without this node; or all others, if there are too
    /// few of them.
    fn others_hold_everything(&self) -> bool {
        let others: Vec<(usize, &PeerVoter)> = self
            .voters
            .iter()
            .enumerate()
            .filter(|(_, voter)| voter.node_id != self.node_id)
            .collect();
        let nobody_stays = others.iter().all(|(_, voter)| {
            matches!(voter.presence, Presence::ShuttingDown | Presence::Departed)
        });
        let copies = others
            .iter()
            .filter(|(position, voter)| voter.durable && self.stays(*position, nobody_stays))
            .count();
        let majority = self.voters.len() / 2 + 1;
        copies >= majority.min(others.len())
    }
}

/// Whether a node that shuts down may exit, and what it does or waits for otherwise.
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
        return ShutdownStep::Wait(ShutdownBlocker::OwnVote);
    }
    if !view.others_hold_everything() {
        return ShutdownStep::Wait(ShutdownBlocker::TooFewCopies);
    }
    if view.local.is_leader {
        return ShutdownStep::ReleaseLease;
    }
    ShutdownStep::Exit
}
