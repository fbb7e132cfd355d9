//! The graceful shutdown of a control node.

use linenthread_consensus::{NodeId, ValueNumber};
use linenthread_time::Instant;

use crate::control_peer::ControlPeer;
use crate::graceful_shutdown::{
    LocalWork, PeerVoter, PeerWork, Presence, ShutdownBlocker, ShutdownStep, ShutdownView,
    next_shutdown_step,
};
use crate::{ControlEvent, ControlNode, Effect};

impl ControlNode {
    /// Starts a graceful shutdown. Further calls have no effect.
    pub fn begin_shutdown(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.detect_pause(now, effects);
        if self.is_shutting_down() {
            return;
        }
        self.shutdown_requested_at = Some(now);
        effects.push(Effect::Log(ControlEvent::ShutdownRequested));
        self.drop_ingress_sessions(now, effects);
        self.send_heartbeats(now, effects);
        self.complete_undecided(now, effects);
        self.ticks.expedite();
    }

    /// Reports whether the process may exit now: other disks hold everything that this node's disk holds, and this node
    /// is no longer the leader. After this has returned true the node must send nothing more, because another node that
    /// is shutting down may exit on the assumption that this one is still running.
    pub fn may_exit(&self, now: Instant) -> bool {
        self.is_shutting_down() && self.next_shutdown_step(now) == ShutdownStep::Exit
    }

    /// Returns the reason why the process may not exit yet, or `None` if nothing prevents it.
    pub fn shutdown_blocker(&self, now: Instant) -> Option<ShutdownBlocker> {
        match self.next_shutdown_step(now) {
            ShutdownStep::Wait(blocker) => Some(blocker),
            ShutdownStep::ReleaseLease => Some(ShutdownBlocker::LeaderLease),
            ShutdownStep::Exit => None,
        }
    }

    /// Reports whether a node (which may be this one) is shutting down, or has exited after a graceful shutdown.
    pub(super) fn node_is_shutting_down(&self, node_id: NodeId) -> bool {
        if node_id == self.register.id() {
            self.is_shutting_down()
        } else {
            self.membership.is_shutting_down(node_id)
        }
    }

    pub(super) fn next_shutdown_step(&self, now: Instant) -> ShutdownStep {
        let Some(value_number) = self.register.decided().map(ValueNumber::of) else {
            return ShutdownStep::Exit;
        };
        next_shutdown_step(&ShutdownView {
            node_id: self.register.id(),
            voters: self
                .register
                .voters()
                .iter()
                .map(|voter| self.peer_voter(now, voter.into(), value_number))
                .collect(),
            min_voters: self.config.min_voters,
            local: LocalWork {
                has_undecided_value: self.register.has_undecided_value(),
                has_pending_calls: self.pending_jobs.has_calls()
                    || self.pending_jobs.has_voter_change()
                    || !self.pending_drains.is_empty(),
                is_leader: self.is_leader(now),
            },
            peers: PeerWork {
                // Includes standbys whose disks do not hold everything yet, because they soon will.
                has_standby: !self.standbys(now).is_empty(),
                // The heartbeat that acknowledges the shutdown also tells whether its sender is shutting down, and
                // whether it is changing the voters.
                has_unacknowledged: self
                    .membership
                    .contacts(now)
                    .any(|peer| !peer.has_acknowledged(self.shutdown_requested_at)),
                is_reconfiguring: self.is_reconfiguring(now)
                    || self
                        .membership
                        .contacts(now)
                        .any(ControlPeer::is_reconfiguring),
            },
        })
    }

    fn peer_voter(&self, now: Instant, node_id: NodeId, value_number: ValueNumber) -> PeerVoter {
        if let Some(peer) = self.membership.contact(now, node_id) {
            return PeerVoter {
                node_id,
                durable: peer.durable_value_number() >= Some(value_number),
                presence: if peer.is_shutting_down() {
                    Presence::ShuttingDown
                } else {
                    Presence::InContact
                },
            };
        }
        match self.membership.departed(node_id) {
            Some(durable_value_number) => PeerVoter {
                node_id,
                durable: durable_value_number >= value_number,
                presence: Presence::Departed,
            },
            None => PeerVoter {
                node_id,
                durable: false,
                presence: Presence::OutOfContact,
            },
        }
    }
}
