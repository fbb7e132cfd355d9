//! The other control nodes: sessions with them, who is in contact, who leaves.

use std::collections::{BTreeMap, BTreeSet};

use linenthread_messages::{Heartbeat, Hello, Voter};

use crate::SessionId;
use crate::timing::{CONTACT, SILENT, TICK};

/// How often all replicas go to a node that knows something else.
const RESYNCHRONISE: u64 = 1_500;
/// So many heartbeats in a row must tell another digest before that.
const MISMATCHES: u32 = 2;

/// A session with another control node.
pub(crate) struct ControlPeer {
    pub(crate) hello: Hello,
    pub(crate) heard: u64,
    /// It is in contact with a majority of the voters itself.
    pub(crate) has_quorum: bool,
    /// Number of the newest value that it is known to have, in memory.
    pub(crate) value: u64,
    /// Number of the newest value up to which its disk holds all.
    pub(crate) durable: Option<u64>,
    /// It is about to end.
    pub(crate) leaving: bool,
    /// It leads, and is about to change the voters.
    pub(crate) reconfiguring: bool,
    /// When, by this node's clock, the last heartbeat was sent that it is known to have heard.
    pub(crate) reached: Option<u64>,
    /// When, by its clock, its last heartbeat was sent.
    pub(crate) echo: Option<u64>,
    /// The version of the table of addresses that it was told.
    pub(crate) addresses_version: u64,
    /// Replicas to tell it of with the next batch.
    pub(crate) changed_replicas: BTreeSet<String>,
    pub(crate) synchronised_at: u64,
    digest_mismatches: u32,
}

impl ControlPeer {
    fn new(now: u64, hello: Hello) -> ControlPeer {
        ControlPeer {
            heard: now,
            has_quorum: false,
            value: hello.value_number,
            durable: None,
            leaving: false,
            reconfiguring: false,
            reached: None,
            echo: None,
            addresses_version: 0,
            changed_replicas: BTreeSet::new(),
            synchronised_at: 0,
            digest_mismatches: 0,
            hello,
        }
    }

    /// A round trip was made of late: it hears this node and is heard by it.
    pub(crate) fn in_contact(&self, now: u64) -> bool {
        self.reached.is_some_and(|reached| now <= reached + CONTACT)
    }

    /// It takes calls that this node sends on.
    pub(crate) fn takes_calls(&self, now: u64) -> bool {
        self.in_contact(now) && self.has_quorum && !self.leaving
    }

    /// It lacks the value of this number. The first value of all has the number that stands for none as well.
    pub(crate) fn lacks(&self, number: u64) -> bool {
        self.value < number || number == 0 && self.durable.is_none()
    }
}

/// What a heartbeat calls for.
pub(crate) struct HeartbeatNews {
    /// It is to learn at once that it was heard.
    pub(crate) answer: bool,
    /// It has other replicas for some time: it is told all.
    pub(crate) synchronise: bool,
}

/// When the machine at an address was last in contact, with which disk.
pub(crate) struct Sighting {
    pub(crate) disk: u64,
    pub(crate) counts: bool,
    pub(crate) at: u64,
}

/// All sessions with other control nodes, and what is remembered of those that have ended.
#[derive(Default)]
pub(crate) struct Membership {
    peers: BTreeMap<SessionId, ControlPeer>,
    sightings: BTreeMap<String, Sighting>,
    /// Disks of nodes that ended after they had said that they would, and the newest value that each held.
    departed: BTreeMap<u64, u64>,
}

impl Membership {
    pub(crate) fn get(&self, link: SessionId) -> Option<&ControlPeer> {
        self.peers.get(&link)
    }

    pub(crate) fn get_mut(&mut self, link: SessionId) -> Option<&mut ControlPeer> {
        self.peers.get_mut(&link)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (SessionId, &ControlPeer)> {
        self.peers.iter().map(|(link, peer)| (*link, peer))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (SessionId, &mut ControlPeer)> {
        self.peers.iter_mut().map(|(link, peer)| (*link, peer))
    }

    pub(crate) fn links(&self) -> Vec<SessionId> {
        self.peers.keys().copied().collect()
    }

    /// Peers in contact.
    pub(crate) fn contacts(&self, now: u64) -> impl Iterator<Item = &ControlPeer> {
        self.peers.values().filter(move |peer| peer.in_contact(now))
    }

    pub(crate) fn contact(&self, now: u64, disk: u64) -> Option<&ControlPeer> {
        self.contacts(now).find(|peer| peer.hello.node_id == disk)
    }

    /// The newest session with the machine of a disk.
    pub(crate) fn link_of(&self, disk: u64) -> Option<SessionId> {
        self.iter()
            .filter(|(_, peer)| peer.hello.node_id == disk)
            .map(|(link, _)| link)
            .last()
    }

    /// Sessions of earlier lives of the same machine: they are over, whatever their connections say.
    pub(crate) fn superseded(&self, hello: &Hello) -> Vec<SessionId> {
        let old = |peer: &ControlPeer| {
            peer.hello.name == hello.name && peer.hello.incarnation != hello.incarnation
        };
        self.iter()
            .filter(|(_, peer)| old(peer))
            .map(|(link, _)| link)
            .collect()
    }

    pub(crate) fn silent(&self, now: u64) -> Vec<SessionId> {
        self.iter()
            .filter(|(_, peer)| now > peer.heard + SILENT)
            .map(|(link, _)| link)
            .collect()
    }

    pub(crate) fn open(&mut self, now: u64, link: SessionId, hello: Hello) {
        let sighting = Sighting {
            disk: hello.node_id,
            counts: hello.is_voter,
            at: now,
        };
        self.sightings
            .insert(hello.control_address.clone(), sighting);
        self.departed.remove(&hello.node_id);
        self.peers.insert(link, ControlPeer::new(now, hello));
    }

    pub(crate) fn close(&mut self, now: u64, link: SessionId) -> Option<ControlPeer> {
        let peer = self.peers.remove(&link)?;
        if peer.leaving {
            self.departed
                .insert(peer.hello.node_id, peer.durable.unwrap_or_default());
        }
        if peer.in_contact(now) {
            self.sighted(&peer.hello.control_address, now.min(peer.heard + TICK));
        }
        Some(peer)
    }

    fn sighted(&mut self, address: &str, at: u64) {
        if let Some(sighting) = self.sightings.get_mut(address) {
            sighting.at = at;
        }
    }

    pub(crate) fn sighting(&self, address: &str) -> Option<&Sighting> {
        self.sightings.get(address)
    }

    /// Takes a heartbeat of a peer; `digest` is of the replicas that this node knows.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: u64,
        link: SessionId,
        heartbeat: &Heartbeat,
        digest: u64,
    ) -> Option<HeartbeatNews> {
        let peer = self.peers.get_mut(&link)?;
        let begins_to_leave = heartbeat.leaving && !peer.leaving;
        peer.has_quorum = heartbeat.has_quorum;
        peer.value = heartbeat.quota_request_or_value_number;
        peer.durable = peer.durable.max(heartbeat.durable_value_number);
        peer.leaving = heartbeat.leaving;
        peer.reconfiguring = heartbeat.reconfiguring;
        // What it says it heard was sent before now.
        peer.reached = peer
            .reached
            .max(heartbeat.echoed_sent_at.map(|echo| echo.min(now)));
        let is_first = peer.echo.replace(heartbeat.sent_at).is_none();
        peer.digest_mismatches = if heartbeat.registry_digest == digest {
            0
        } else {
            peer.digest_mismatches + 1
        };
        let synchronise =
            peer.digest_mismatches >= MISMATCHES && now >= peer.synchronised_at + RESYNCHRONISE;
        if peer.in_contact(now) {
            let address = peer.hello.control_address.clone();
            self.sighted(&address, now);
        }
        Some(HeartbeatNews {
            answer: is_first || begins_to_leave,
            synchronise,
        })
    }

    /// Whether the machine of a disk is about to end, or ended after it had said so.
    pub(crate) fn leaves(&self, disk: u64) -> bool {
        let leaving = |peer: &ControlPeer| peer.leaving && peer.hello.node_id == disk;
        self.departed.contains_key(&disk) || self.peers.values().any(leaving)
    }

    /// The newest value that the disk of a departed machine held.
    pub(crate) fn departed(&self, disk: u64) -> Option<u64> {
        self.departed.get(&disk).copied()
    }

    /// Peers in contact that may vote and stay; with a number only those whose disks hold that value.
    pub(crate) fn candidates(&self, now: u64, number: Option<u64>) -> impl Iterator<Item = Voter> {
        let ready = move |p: &&ControlPeer| p.hello.is_voter && !p.leaving && p.durable >= number;
        let voter = |p: &ControlPeer| Voter {
            id: p.hello.node_id,
            address: p.hello.control_address.clone(),
        };
        self.contacts(now).filter(ready).map(voter)
    }
}
