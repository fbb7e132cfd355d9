//! The other control nodes: sessions with them, which are in contact, which shut down.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use linenthread_consensus::{NodeId, ValueNumber};
use linenthread_messages::{Heartbeat, Hello, Voter};
use linenthread_time::Instant;

use crate::SessionId;
use crate::timing::{CONTACT_TIMEOUT, SESSION_TIMEOUT, TICK_INTERVAL};

/// How often the whole registry is sent, at most, to a peer whose own differs.
const RESYNCHRONIZE_INTERVAL: Duration = Duration::from_millis(1_500);

/// So many heartbeats in a row must carry another digest first: a difference that is merely on its way is over by
/// then.
const MIN_DIGEST_MISMATCHES: u32 = 2;

/// A session with another control node.
pub(crate) struct ControlPeer {
    pub(crate) hello: Hello,
    pub(crate) last_received_at: Instant,
    /// The peer is itself in contact with a majority of the voters.
    pub(crate) has_quorum: bool,
    /// Number of the newest value that the peer is known to have, in memory.
    pub(crate) value_number: ValueNumber,
    /// Number of the newest value up to which the peer's disk holds everything.
    pub(crate) durable_value_number: Option<ValueNumber>,
    pub(crate) shutting_down: bool,
    /// The peer leads, and is about to change the voters.
    pub(crate) reconfiguring: bool,
    /// When the newest heartbeat was sent, by this node, that the peer is known to have received.
    pub(crate) acknowledged_sent_at: Option<Instant>,
    /// When the peer, by its own clock, sent its newest heartbeat; echoed to it.
    pub(crate) last_sent_at: Option<u64>,
    /// Version of the address book that the peer was sent.
    pub(crate) addresses_version: u64,
    /// Replicas to send to the peer with the next batch.
    pub(crate) changed_replicas: BTreeSet<String>,
    /// When the peer was last sent the whole registry.
    pub(crate) synchronized_at: Instant,
    digest_mismatches: u32,
}

impl ControlPeer {
    fn new(now: Instant, hello: Hello) -> ControlPeer {
        ControlPeer {
            last_received_at: now,
            has_quorum: false,
            value_number: ValueNumber::new(hello.value_number),
            durable_value_number: None,
            shutting_down: false,
            reconfiguring: false,
            acknowledged_sent_at: None,
            last_sent_at: None,
            addresses_version: 0,
            changed_replicas: BTreeSet::new(),
            synchronized_at: Instant::START,
            digest_mismatches: 0,
            hello,
        }
    }

    /// A message went to the peer and back lately.
    pub(crate) fn in_contact(&self, now: Instant) -> bool {
        self.acknowledged_sent_at
            .is_some_and(|sent_at| now <= sent_at + CONTACT_TIMEOUT)
    }

    /// Whether calls may be redirected to the peer.
    pub(crate) fn accepts_calls(&self, now: Instant) -> bool {
        self.in_contact(now) && self.has_quorum && !self.shutting_down
    }

    pub(crate) fn node_id(&self) -> NodeId {
        NodeId(self.hello.node_id)
    }

    /// Whether the peer lacks the value of this number. That of the first value of all also stands for none.
    pub(crate) fn lacks(&self, value_number: ValueNumber) -> bool {
        let may_have_none =
            value_number == ValueNumber::FIRST && self.durable_value_number.is_none();
        self.value_number < value_number || may_have_none
    }
}

/// What a heartbeat of a peer demands.
pub(crate) struct HeartbeatDemand {
    /// The peer is to learn at once that its heartbeat was received.
    pub(crate) reply: bool,
    /// The peer's registry has differed for some time: it is to be sent the whole one.
    pub(crate) synchronize: bool,
}

/// Which node was last in contact at an address, and when.
pub(crate) struct LastContact {
    pub(crate) node_id: NodeId,
    pub(crate) may_vote: bool,
    pub(crate) at: Instant,
}

/// All sessions with other control nodes, and what is remembered of those that have ended.
#[derive(Default)]
pub(crate) struct Membership {
    peers: BTreeMap<SessionId, ControlPeer>,
    /// By control address.
    last_contacts: BTreeMap<String, LastContact>,
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

    /// Sessions of earlier incarnations of a node: they are over, whatever their connections look like.
    pub(crate) fn superseded(&self, hello: &Hello) -> Vec<SessionId> {
        self.iter()
            .filter(|(_, peer)| {
                peer.hello.name == hello.name && peer.hello.incarnation != hello.incarnation
            })
            .map(|(session, _)| session)
            .collect()
    }

    /// Sessions on which nothing was received for too long.
    pub(crate) fn timed_out(&self, now: Instant) -> Vec<SessionId> {
        self.iter()
            .filter(|(_, peer)| now > peer.last_received_at + SESSION_TIMEOUT)
            .map(|(session, _)| session)
            .collect()
    }

    pub(crate) fn open(&mut self, now: Instant, session: SessionId, hello: Hello) {
        let contact = LastContact {
            node_id: NodeId(hello.node_id),
            may_vote: hello.is_voter,
            at: now,
        };
        self.last_contacts
            .insert(hello.control_address.clone(), contact);
        self.departed.remove(&NodeId(hello.node_id));
        self.peers.insert(session, ControlPeer::new(now, hello));
    }

    pub(crate) fn close(&mut self, now: Instant, session: SessionId) -> Option<ControlPeer> {
        let peer = self.peers.remove(&session)?;
        if peer.shutting_down {
            self.departed.insert(
                peer.node_id(),
                peer.durable_value_number.unwrap_or_default(),
            );
        }
        if peer.in_contact(now) {
            self.note_contact(
                &peer.hello.control_address,
                now.min(peer.last_received_at + TICK_INTERVAL),
            );
        }
        Some(peer)
    }

    fn note_contact(&mut self, address: &str, at: Instant) {
        if let Some(contact) = self.last_contacts.get_mut(address) {
            contact.at = at;
        }
    }

    /// The last contact with whichever node was at an address.
    pub(crate) fn last_contact(&self, address: &str) -> Option<&LastContact> {
        self.last_contacts.get(address)
    }

    /// Takes in a heartbeat of a peer; `digest` is that of this node's registry.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Instant,
        session: SessionId,
        heartbeat: &Heartbeat,
        digest: u64,
    ) -> Option<HeartbeatDemand> {
        let peer = self.peers.get_mut(&session)?;
        let begins_shutdown = heartbeat.leaving && !peer.shutting_down;
        peer.has_quorum = heartbeat.has_quorum;
        peer.value_number = ValueNumber::new(heartbeat.quota_request_or_value_number);
        let durable = heartbeat.durable_value_number.map(ValueNumber::new);
        peer.durable_value_number = peer.durable_value_number.max(durable);
        peer.shutting_down = heartbeat.leaving;
        peer.reconfiguring = heartbeat.reconfiguring;
        // A heartbeat that the peer received was sent before now, whatever the peer says.
        let echoed_sent_at = heartbeat.echoed_sent_at.map(Instant::from_millis);
        peer.acknowledged_sent_at = peer
            .acknowledged_sent_at
            .max(echoed_sent_at.map(|sent_at| sent_at.min(now)));
        let is_first = peer.last_sent_at.replace(heartbeat.sent_at).is_none();
        peer.digest_mismatches = if heartbeat.registry_digest == digest {
            0
        } else {
            peer.digest_mismatches + 1
        };
        let synchronize = peer.digest_mismatches >= MIN_DIGEST_MISMATCHES
            && now >= peer.synchronized_at + RESYNCHRONIZE_INTERVAL;
        if peer.in_contact(now) {
            let address = peer.hello.control_address.clone();
            self.note_contact(&address, now);
        }
        Some(HeartbeatDemand {
            reply: is_first || begins_shutdown,
            synchronize,
        })
    }

    /// Whether a node shuts down, or ended after a graceful shutdown.
    pub(crate) fn is_shutting_down(&self, node_id: NodeId) -> bool {
        self.departed.contains_key(&node_id)
            || self
                .peers
                .values()
                .any(|peer| peer.shutting_down && peer.node_id() == node_id)
    }

    /// The newest value that the disk of a departed node held.
    pub(crate) fn departed(&self, node_id: NodeId) -> Option<ValueNumber> {
        self.departed.get(&node_id).copied()
    }

    /// Peers in contact that may vote and do not shut down; with a number only those whose disks hold that value.
    pub(crate) fn candidates(
        &self,
        now: Instant,
        value_number: Option<ValueNumber>,
    ) -> impl Iterator<Item = Voter> {
        self.contacts(now)
            .filter(move |peer| {
                peer.hello.is_voter
                    && !peer.shutting_down
                    && peer.durable_value_number >= value_number
            })
            .map(|peer| Voter {
                id: peer.hello.node_id,
                address: peer.hello.control_address.clone(),
            })
    }
}
