//! Updates between control nodes: replicas, sessions of ingress nodes, and control addresses.

use linenthread_messages::{ControlUpdate, PeerMessage};
use linenthread_time::Instant;

use crate::pending_drains::UpdateId;
use crate::{ControlNode, Effect, HeartbeatOutcome, SessionId};

impl ControlNode {
    /// Queues a replica, and those it has superseded, for the next update to the other control nodes.
    pub(super) fn queue_for_peers(&mut self, replica_id: &str, superseded: &[String]) {
        for (_, peer) in self.membership.iter_mut() {
            peer.queue_replicas(superseded.iter().map(String::as_str).chain([replica_id]));
        }
    }

    /// Forgets the drain of a replica that is no longer draining: its next drain needs acknowledgements of its own.
    pub(super) fn forget_ended_drain(&mut self, replica_id: &str) {
        let is_available = self
            .registry
            .get(replica_id)
            .is_some_and(|known| !known.is_draining_or_ended());
        if is_available {
            self.pending_drains.forget(replica_id);
        }
    }

    /// Sends a control node the complete state of replicas, local ingress sessions and control addresses.
    pub(super) fn synchronize_peer(
        &mut self,
        now: Instant,
        session: SessionId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(peer) = self.membership.get_mut(session) else {
            return;
        };
        peer.on_synchronized(now, self.address_book.version());
        let update = ControlUpdate {
            replicas: self.registry.snapshot(now),
            sessions: self.ingress_nodes.local_sessions(),
            has_sessions: true,
            control_addresses: self.address_book.all_addresses(),
            update_id: 0,
            complete: true,
        };
        effects.push(Effect::Send {
            session,
            message: PeerMessage::ControlUpdate(update),
        });
    }

    /// Sends all control nodes this node's sessions with ingress nodes, and the control addresses they have not received.
    pub(super) fn send_ingress_sessions(&mut self, effects: &mut Vec<Effect>) {
        let sessions = self.ingress_nodes.local_sessions();
        let addresses = self.address_book.all_addresses();
        let version = self.address_book.version();
        for (session, peer) in self.membership.iter_mut() {
            let update = ControlUpdate {
                sessions: sessions.clone(),
                has_sessions: true,
                control_addresses: if peer.update_addresses(version) {
                    addresses.clone()
                } else {
                    Vec::new()
                },
                ..ControlUpdate::default()
            };
            effects.push(Effect::Send {
                session,
                message: PeerMessage::ControlUpdate(update),
            });
        }
    }

    /// Sends the changed replicas to all control nodes and to all ingress nodes with a session.
    pub(super) fn flush_changed_replicas(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let registry = &self.registry;
        for (session, peer) in self.membership.iter_mut() {
            let changed = peer.take_queued_replicas();
            if changed.is_empty() {
                continue;
            }
            let update = ControlUpdate {
                replicas: changed
                    .iter()
                    .filter_map(|replica_id| registry.get(replica_id))
                    .map(|known| known.snapshot(now))
                    .collect(),
                ..ControlUpdate::default()
            };
            effects.push(Effect::Send {
                session,
                message: PeerMessage::ControlUpdate(update),
            });
        }
        for session in self.ingress_nodes.sessions() {
            self.update_ingress_node(now, session, effects);
        }
    }

    /// Handles an update from another control node.
    pub(super) fn on_control_update(
        &mut self,
        now: Instant,
        session: SessionId,
        update: ControlUpdate,
        effects: &mut Vec<Effect>,
    ) {
        let mut any_changed = false;
        for replica in &update.replicas {
            // A change is forwarded to ingress nodes but not to other control nodes: the node that received it from the
            // replica sends it to all of them.
            let observation = self.registry.observe(now, replica);
            any_changed |= observation.outcome == HeartbeatOutcome::Changed;
            self.forget_ended_drain(&replica.id);
        }
        if update.complete {
            self.registry.confirm(&update.replicas);
        }
        for address in &update.control_addresses {
            self.address_book.learn(now, address);
        }
        if update.has_sessions {
            self.ingress_nodes.set_remote(session, update.sessions);
        }
        if let (1.., Some(peer)) = (update.update_id, self.membership.get(session)) {
            let (node_id, update_id) = (peer.node_id(), UpdateId::new(update.update_id));
            let replica_ids = update.replicas.iter().map(|replica| replica.id.as_str());
            self.persist_drains(now, replica_ids, node_id, update_id, effects);
        }
        if any_changed {
            self.flush_changed_replicas(now, effects);
        }
    }
}
