//! The other control nodes: all sessions with them, which are in contact, which shut down.

use std::collections::BTreeMap;

use linenthread_consensus::{NodeId, ValueNumber};
use linenthread_time::Instant;

use crate::SessionId;
use crate::control_peer::{ControlPeer, HeartbeatDemand};
use crate::peer_heartbeat::ControlNodeHeartbeat;
use crate::peer_hello::ControlNodeHello;
use crate::timing::{PEER_HEARTBEAT_INTERVAL, SESSION_TIMEOUT};

/// Which node was last seen at an address, and when.
pub(crate) struct LastSeen {
    pub(crate) node_id: NodeId,
    pub(crate) voter_eligible: bool,
    /// When it was last in contact, or its first Hello since then was received. That Hello alone counts, though it
    /// proves no round trip: contact follows within milliseconds, or not at all.
    pub(crate) at: Instant,
    /// A Hello was received since it was last in contact: a further one does not count.
    awaits_contact: bool,
}

/// All sessions with other control nodes, and what is remembered of those that have ended.
#[derive(Default)]
pub(crate) struct Membership {
    peers: BTreeMap<SessionId, ControlPeer>,
    /// By control address.
    last_seen: BTreeMap<String, LastSeen>,
    /// Nodes that ended after a graceful shutdown, and the newest value that the disk of each held.
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

    /// The peers in contact.
    pub(crate) fn contacts(&self, now: Instant) -> impl Iterator<Item = &ControlPeer> {
        self.peers.values().filter(move |peer| peer.in_contact(now))
    }

    /// The peer of a node id, if it is in contact.
    pub(crate) fn contact(&self, now: Instant, node_id: NodeId) -> Option<&ControlPeer> {
        self.contacts(now).find(|peer| peer.node_id() == node_id)
    }

    /// The newest session with a node.
    pub(crate) fn session_with(&self, node_id: NodeId) -> Option<SessionId> {
        self.iter()
            .filter(|(_, peer)| peer.node_id() == node_id)
            .map(|(session, _)| session)
            .last()
    }

    /// The newest session with each node: after both sides have dialled there are two, which are as good as one.
    pub(crate) fn newest_sessions(&self) -> impl Iterator<Item = &ControlPeer> {
        self.iter()
            .filter(|(session, peer)| self.session_with(peer.node_id()) == Some(*session))
            .map(|(_, peer)| peer)
    }

    /// Sessions with nodes that another session is with, too, and that messages have lately gone back and forth on. Of
    /// those in contact the newest one is kept.
    ///
    /// To be closed by one of the two nodes only, or each might close the session that the other one keeps: by the one
    /// of the lower address.
    pub(crate) fn duplicates(&self, now: Instant, own_address: &str) -> Vec<SessionId> {
        // Of several sessions with a node the last one stays in the map.
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

    /// Sessions of earlier incarnations of a node: they are over, whatever their connections look like.
    pub(crate) fn superseded(&self, hello: &ControlNodeHello) -> Vec<SessionId> {
        self.iter()
            .filter(|(_, peer)| {
                peer.hello().name == hello.name && peer.hello().incarnation != hello.incarnation
            })
            .map(|(session, _)| session)
            .collect()
    }

    /// Sessions on which nothing was received for too long.
    pub(crate) fn timed_out(&self, now: Instant) -> Vec<SessionId> {
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
            .map(|seen| seen.at);
        let seen = LastSeen {
            node_id: hello.node_id,
            voter_eligible: hello.voter_eligible,
            at: awaits_contact_since.unwrap_or(now),
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
            self.note_seen(
                &peer.hello().control_address,
                now.min(peer.last_received_at() + PEER_HEARTBEAT_INTERVAL),
            );
        }
        Some(peer)
    }

    fn note_seen(&mut self, address: &str, at: Instant) {
        if let Some(seen) = self.last_seen.get_mut(address) {
            seen.at = at;
            seen.awaits_contact = false;
        }
    }

    /// The node that was last seen at an address.
    pub(crate) fn last_seen(&self, address: &str) -> Option<&LastSeen> {
        self.last_seen.get(address)
    }

    /// Takes in a heartbeat of a peer; `digest` is that of this node's registry.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Instant,
        session: SessionId,
        heartbeat: &ControlNodeHeartbeat,
        digest: u64,
    ) -> Option<HeartbeatDemand> {
        let peer = self.peers.get_mut(&session)?;
        let demand = peer.on_heartbeat(now, heartbeat, digest);
        if peer.in_contact(now) {
            let address = peer.hello().control_address.clone();
            self.note_seen(&address, now);
        }
        Some(demand)
    }

    /// Whether a node shuts down, or ended after a graceful shutdown.
    pub(crate) fn is_shutting_down(&self, node_id: NodeId) -> bool {
        self.departed.contains_key(&node_id)
            || self
                .peers
                .values()
                .any(|peer| peer.is_shutting_down() && peer.node_id() == node_id)
    }

    /// The newest value that the disk of a departed node held.
    pub(crate) fn departed(&self, node_id: NodeId) -> Option<ValueNumber> {
        self.departed.get(&node_id).copied()
    }

    /// Peers in contact that are eligible as voters and do not shut down.
    pub(crate) fn eligible_voters(&self, now: Instant) -> impl Iterator<Item = &ControlPeer> {
        self.contacts(now)
            .filter(|peer| peer.hello().voter_eligible && !peer.is_shutting_down())
    }
}
