//! The other control nodes: the sessions with them, whether they are in contact, and whether they are shutting down.

use std::collections::BTreeMap;

use linenthread_consensus::{NodeId, ValueNumber};
use linenthread_time::Instant;

use crate::SessionId;
use crate::control_peer::{ControlPeer, HeartbeatActions};
use crate::peer_heartbeat::ControlNodeHeartbeat;
use crate::peer_hello::ControlNodeHello;
use crate::timing::{PEER_HEARTBEAT_INTERVAL, SESSION_TIMEOUT};

/// The node that was last seen at an address.
pub(crate) struct LastSeen {
    pub(crate) node_id: NodeId,
    pub(crate) voter_eligible: bool,
    /// When the node was last in contact, or when the first Hello since then was received. Only that first Hello
    /// counts, though it proves no round trip: contact follows within milliseconds or not at all.
    pub(crate) seen_at: Instant,
    /// Whether a Hello was received since the node was last in contact; further ones do not count.
    awaits_contact: bool,
}

/// The sessions with other control nodes, and the state retained from closed sessions.
#[derive(Default)]
pub(crate) struct Membership {
    peers: BTreeMap<SessionId, ControlPeer>,
    /// By control address.
    last_seen: BTreeMap<String, LastSeen>,
    /// Nodes that exited after a graceful shutdown, with the newest value that each node's disk held.
    departed: BTreeMap<NodeId, ValueNumber>,
}

impl Membership {
    pub(crate) fn get(&self, session: SessionId) -> Option<&ControlPeer> {
        self.peers.get(&session)
    }

    pub(crate) fn get_mut(&mut self, session: SessionId) -> Option<&mut ControlPeer> {
        self.peers.get_mut(&session)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (SessionId, &ControlPeer)> {
        self.peers.iter().map(|(session, peer)| (*session, peer))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (SessionId, &mut ControlPeer)> {
        self.peers
            .iter_mut()
            .map(|(session, peer)| (*session, peer))
    }

    pub(crate) fn sessions(&self) -> Vec<SessionId> {
        self.peers.keys().copied().collect()
    }

    /// Returns the peers in contact.
    pub(crate) fn contacts(&self, now: Instant) -> impl Iterator<Item = &ControlPeer> {
        self.peers.values().filter(move |peer| peer.in_contact(now))
    }

    /// Returns the peer with a node id, if it is in contact.
    pub(crate) fn contact(&self, now: Instant, node_id: NodeId) -> Option<&ControlPeer> {
        self.contacts(now).find(|peer| peer.node_id() == node_id)
    }

    /// Returns the newest session with a node.
    pub(crate) fn session_with(&self, node_id: NodeId) -> Option<SessionId> {
        self.iter()
            .filter(|(_, peer)| peer.node_id() == node_id)
            .map(|(session, _)| session)
            .last()
    }

    /// Returns the newest session with each node: if both sides have dialled, there are two equivalent sessions.
    pub(crate) fn newest_sessions(&self) -> impl Iterator<Item = &ControlPeer> {
        self.iter()
            .filter(|(session, peer)| self.session_with(peer.node_id()) == Some(*session))
            .map(|(_, peer)| peer)
    }

    /// Returns the sessions to close because another session with the same node is in contact. Of several sessions in
    /// contact the newest one is kept.
    ///
    /// Only the node with the lower address closes them: if both nodes did, each might close the session that the other
    /// one keeps.
    pub(crate) fn duplicate_sessions(&self, now: Instant, own_address: &str) -> Vec<SessionId> {
        // Of several sessions with a node, the newest one remains in the map.
        let kept: BTreeMap<NodeId, SessionId> = self
            .iter()
            .filter(|(_, peer)| peer.in_contact(now))
            .map(|(session, peer)| (peer.node_id(), session))
            .collect();
        self.iter()
            .filter(|(_, peer)| own_address < peer.hello().control_address.as_str())
            .filter(|(session, peer)| {
                let kept = kept.get(&peer.node_id());
                kept.is_some_and(|kept| kept != session)
            })
            .map(|(session, _)| session)
            .collect()
    }

    /// Returns the sessions with earlier incarnations of a node. They are obsolete, even if their connections seem to
    /// be open.
    pub(crate) fn superseded_sessions(&self, hello: &ControlNodeHello) -> Vec<SessionId> {
        self.iter()
            .filter(|(_, peer)| {
                peer.hello().name == hello.name && peer.hello().incarnation != hello.incarnation
            })
            .map(|(session, _)| session)
            .collect()
    }

    /// Returns the sessions on which nothing was received for too long.
    pub(crate) fn timed_out_sessions(&self, now: Instant) -> Vec<SessionId> {
        self.iter()
            .filter(|(_, peer)| now > peer.last_received_at() + SESSION_TIMEOUT)
            .map(|(session, _)| session)
            .collect()
    }

    pub(crate) fn open(&mut self, now: Instant, session: SessionId, hello: ControlNodeHello) {
        let awaits_contact_since = self
            .last_seen
            .get(&hello.control_address)
            .filter(|seen| seen.node_id == hello.node_id && seen.awaits_contact)
            .map(|seen| seen.seen_at);
        let seen = LastSeen {
            node_id: hello.node_id,
            voter_eligible: hello.voter_eligible,
            seen_at: awaits_contact_since.unwrap_or(now),
            awaits_contact: true,
        };
        self.last_seen.insert(hello.control_address.clone(), seen);
        self.departed.remove(&hello.node_id);
        self.peers.insert(session, ControlPeer::new(now, hello));
    }

    pub(crate) fn close(&mut self, now: Instant, session: SessionId) -> Option<ControlPeer> {
        let peer = self.peers.remove(&session)?;
        if peer.is_shutting_down() {
            let durable = peer.durable_value_number().unwrap_or(ValueNumber::FIRST);
            self.departed.insert(peer.node_id(), durable);
        }
        if peer.in_contact(now) {
            self.record_contact(
                &peer.hello().control_address,
                now.min(peer.last_received_at() + PEER_HEARTBEAT_INTERVAL),
            );
        }
        Some(peer)
    }

    fn record_contact(&mut self, address: &str, at: Instant) {
        if let Some(seen) = self.last_seen.get_mut(address) {
            seen.seen_at = at;
            seen.awaits_contact = false;
        }
    }

    /// Returns the node that was last seen at an address.
    pub(crate) fn last_seen(&self, address: &str) -> Option<&LastSeen> {
        self.last_seen.get(address)
    }

    /// Processes a heartbeat of a peer; `digest` is the digest of this node's registry. `None` if the session is not
    /// open.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Instant,
        session: SessionId,
        heartbeat: &ControlNodeHeartbeat,
        digest: u64,
    ) -> Option<HeartbeatActions> {
        let peer = self.peers.get_mut(&session)?;
        let actions = peer.on_heartbeat(now, heartbeat, digest);
        if peer.in_contact(now) {
            let address = peer.hello().control_address.clone();
            self.record_contact(&address, now);
        }
        Some(actions)
    }

    /// Reports whether a node is shutting down, or exited after a graceful shutdown.
    pub(crate) fn is_shutting_down(&self, node_id: NodeId) -> bool {
        self.departed.contains_key(&node_id)
            || self
                .peers
                .values()
                .any(|peer| peer.is_shutting_down() && peer.node_id() == node_id)
    }

    /// Returns the newest value that the disk of a departed node held.
    pub(crate) fn departed(&self, node_id: NodeId) -> Option<ValueNumber> {
        self.departed.get(&node_id).copied()
    }

    /// Returns the peers in contact that are eligible as voters and are not shutting down.
    pub(crate) fn eligible_voters(&self, now: Instant) -> impl Iterator<Item = &ControlPeer> {
        self.contacts(now)
            .filter(|peer| peer.hello().voter_eligible && !peer.is_shutting_down())
    }
}
