//! Sessions with ingress nodes, at this and at other control nodes, and the updates that each ingress node lacks.

use std::collections::BTreeMap;

use linenthread_consensus::{Incarnation, Revision};
use linenthread_messages::{Hello, IngressSession, IngressUpdate, QuotaGrant, Replica, Value};
use linenthread_time::Instant;

use crate::address_book::AddressBook;
use crate::change_log::ChangeLogOffset;
use crate::timing::SESSION_TIMEOUT;
use crate::{ReplicaRegistry, SessionId};

/// How far the read of the newest configuration for a session has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Confirmation {
    /// Not read yet.
    Missing,
    /// The read is in flight.
    InFlight,
    /// Read.
    Confirmed,
}

/// One run of an ingress node: what a retry quota is granted to, since a restarted node does not know what it was
/// granted before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IngressIncarnation {
    /// The ingress node's name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

impl From<&IngressSession> for IngressIncarnation {
    fn from(session: &IngressSession) -> IngressIncarnation {
        IngressIncarnation {
            name: session.name.clone(),
            incarnation: Incarnation::new(session.incarnation),
        }
    }
}

impl From<&QuotaGrant> for IngressIncarnation {
    fn from(grant: &QuotaGrant) -> IngressIncarnation {
        IngressIncarnation {
            name: grant.name.clone(),
            incarnation: Incarnation::new(grant.incarnation),
        }
    }
}

/// A session with an ingress node.
pub(crate) struct IngressPeer {
    pub(crate) hello: Hello,
    pub(crate) last_received_at: Instant,
    /// The newest revision that was sent to it, or that it came with.
    sent_revision: Revision,
    /// Offset in the change log up to which it was sent everything; `None` if it needs the whole registry.
    sent_offset: Option<ChangeLogOffset>,
    /// Version of the address book that it was sent.
    addresses_version: u64,
    confirmation: Confirmation,
    /// It was sent that the configuration is confirmed.
    sent_confirmed: bool,
    /// The heartbeat, by the ingress node's count, with which it last requested a quota.
    quota_request: u64,
    /// The revision of the configuration that it applies.
    revision: u64,
}

impl IngressPeer {
    fn is_confirmed(&self) -> bool {
        self.confirmation == Confirmation::Confirmed
    }

    /// Whether a read of the newest configuration for it has to be started.
    pub(crate) fn needs_confirmation(&self) -> bool {
        self.confirmation == Confirmation::Missing
    }

    /// The read has been started.
    pub(crate) fn start_confirmation(&mut self) {
        self.confirmation = Confirmation::InFlight;
    }

    /// The read has ended.
    pub(crate) fn on_confirmation(&mut self, succeeded: bool) {
        self.confirmation = if succeeded {
            Confirmation::Confirmed
        } else {
            Confirmation::Missing
        };
    }

    /// A heartbeat of the ingress node.
    pub(crate) fn on_heartbeat(&mut self, quota_request: u64, revision: u64) {
        (self.quota_request, self.revision) = (quota_request, revision);
    }

    fn to_message(&self) -> IngressSession {
        IngressSession {
            name: self.hello.name.clone(),
            zone: self.hello.zone.clone(),
            incarnation: self.hello.incarnation,
            quota_request: self.quota_request,
            address: String::new(),
            revision: self.revision,
        }
    }
}

/// What an update is made from.
pub(crate) struct UpdateSource<'a> {
    pub(crate) registry: &'a ReplicaRegistry,
    pub(crate) decided: Option<&'a Value>,
    pub(crate) address_book: &'a AddressBook,
}

/// All sessions with ingress nodes.
pub(crate) struct IngressNodes {
    /// The control node's incarnation, which identifies its change log.
    change_log_id: Incarnation,
    peers: BTreeMap<SessionId, IngressPeer>,
    /// Sessions that other control nodes have, by this node's session with each of those.
    remote: BTreeMap<SessionId, Vec<IngressSession>>,
}

impl IngressNodes {
    pub(crate) fn new(incarnation: Incarnation) -> IngressNodes {
        IngressNodes {
            change_log_id: incarnation,
            peers: BTreeMap::new(),
            remote: BTreeMap::new(),
        }
    }

    pub(crate) fn open(&mut self, now: Instant, session: SessionId, hello: Hello) {
        let follows_this_log = hello.change_log_id == self.change_log_id.get();
        let reached_offset = ChangeLogOffset::new(hello.change_log_offset);
        let peer = IngressPeer {
            last_received_at: now,
            sent_revision: Revision::new(hello.value_number),
            sent_offset: follows_this_log.then_some(reached_offset),
            addresses_version: 0,
            confirmation: Confirmation::Missing,
            sent_confirmed: false,
            quota_request: 0,
            revision: 0,
            hello,
        };
        self.peers.insert(session, peer);
    }

    /// A session has ended, with an ingress node or with a control node that sent the sessions it has.
    pub(crate) fn close(&mut self, session: SessionId) -> Option<IngressPeer> {
        self.remote.remove(&session);
        self.peers.remove(&session)
    }

    pub(crate) fn get(&self, session: SessionId) -> Option<&IngressPeer> {
        self.peers.get(&session)
    }

    pub(crate) fn get_mut(&mut self, session: SessionId) -> Option<&mut IngressPeer> {
        self.peers.get_mut(&session)
    }

    pub(crate) fn sessions(&self) -> Vec<SessionId> {
        self.peers.keys().copied().collect()
    }

    fn sessions_where(&self, predicate: impl Fn(&IngressPeer) -> bool) -> Vec<SessionId> {
        self.peers
            .iter()
            .filter(|(_, peer)| predicate(peer))
            .map(|(session, _)| *session)
            .collect()
    }

    /// Sessions on which nothing was received for too long.
    pub(crate) fn timed_out(&self, now: Instant) -> Vec<SessionId> {
        self.sessions_where(|peer| now > peer.last_received_at + SESSION_TIMEOUT)
    }

    /// Sessions of earlier incarnations of an ingress node: they are over, whatever their connections look like.
    pub(crate) fn superseded(&self, hello: &Hello) -> Vec<SessionId> {
        self.sessions_where(|peer| {
            peer.hello.name == hello.name && peer.hello.incarnation != hello.incarnation
        })
    }

    /// The session with one incarnation of an ingress node.
    pub(crate) fn session_with(&self, ingress: &IngressIncarnation) -> Option<SessionId> {
        let is_for = |hello: &Hello| {
            hello.name == ingress.name && Incarnation::new(hello.incarnation) == ingress.incarnation
        };
        self.peers
            .iter()
            .find(|(_, peer)| is_for(&peer.hello))
            .map(|(session, _)| *session)
    }

    /// All ingress nodes are sent the whole registry once more.
    pub(crate) fn resend_all(&mut self) {
        for peer in self.peers.values_mut() {
            peer.sent_offset = None;
        }
    }

    /// This node's own sessions, as it sends them to the other control nodes.
    pub(crate) fn local(&self) -> Vec<IngressSession> {
        self.peers.values().map(IngressPeer::to_message).collect()
    }

    /// Takes in the sessions that another control node has.
    pub(crate) fn set_remote(&mut self, session: SessionId, sessions: Vec<IngressSession>) {
        self.remote.insert(session, sessions);
    }

    /// All ingress nodes with a session anywhere, by name. Of several sessions of one incarnation the one with the
    /// newest quota request counts.
    pub(crate) fn all(&self) -> BTreeMap<String, IngressSession> {
        let mut all: BTreeMap<String, IngressSession> = BTreeMap::new();
        let local = self.local();
        for session in local.iter().chain(self.remote.values().flatten()) {
            let replaces = all.get(&session.name).is_none_or(|known| {
                known.incarnation != session.incarnation
                    || known.quota_request <= session.quota_request
            });
            if replaces {
                all.insert(session.name.clone(), session.clone());
            }
        }
        all
    }

    /// All that an ingress node lacks; `None` if it lacks nothing. The configuration is part of it only once it was
    /// read for this session, so that none older than the newest is applied anew.
    pub(crate) fn next_update(
        &mut self,
        now: Instant,
        session: SessionId,
        source: &UpdateSource,
    ) -> Option<IngressUpdate> {
        let change_log = source.registry.changes();
        let offset = change_log.offset();
        let peer = self.peers.get_mut(&session)?;
        let changed = peer.sent_offset.and_then(|sent| change_log.since(sent));
        let complete = changed.is_none();
        let replicas: Vec<Replica> = match changed {
            Some(replica_ids) => replica_ids
                .iter()
                .filter_map(|replica_id| source.registry.get(replica_id))
                .map(|registered| registered.snapshot(now))
                .collect(),
            None => source
                .registry
                .iter()
                .map(|registered| registered.snapshot(now))
                .collect(),
        };
        let confirmed = peer.is_confirmed();
        let value = source
            .decided
            .filter(|value| confirmed && Revision::of(value) > peer.sent_revision)
            .cloned();
        let newly_confirmed = confirmed && !peer.sent_confirmed;
        let new_addresses = peer.addresses_version != source.address_book.version();
        if !complete && replicas.is_empty() && value.is_none() && !newly_confirmed && !new_addresses
        {
            return None;
        }
        if let Some(value) = &value {
            peer.sent_revision = Revision::of(value);
        }
        peer.sent_offset = Some(offset);
        peer.sent_confirmed = confirmed;
        peer.addresses_version = source.address_book.version();
        Some(IngressUpdate {
            change_log_id: self.change_log_id.get(),
            change_log_offset: offset.get(),
            complete,
            replicas,
            value,
            control_addresses: if new_addresses {
                source.address_book.all()
            } else {
                Vec::new()
            },
            confirmed,
            registry_settled: source.registry.is_settled(),
        })
    }
}
