//! Sessions of fronts, here and at other control nodes, and the updates that each front lacks.

use std::collections::BTreeMap;

use linenthread_messages::{Hello, IngressSession, IngressUpdate, Replica, Value};

use crate::dialling::Addresses;
use crate::timing::SILENT;
use crate::{ChangeLog, ReplicaRegistry, SessionId};

/// Places that the log of changes remembers.
const PLACES: usize = 4_096;

/// A session with a front.
pub(crate) struct FrontSession {
    pub(crate) hello: Hello,
    pub(crate) heard: u64,
    /// The revision that it was told, or came with.
    told_revision: u64,
    /// The place in the log of changes that it has got to.
    place: Option<u64>,
    addresses_version: u64,
    /// The newest value was read for this session.
    pub(crate) confirmed: bool,
    pub(crate) confirming: bool,
    told_confirmed: bool,
    /// Its heartbeat that asks for an allotment.
    pub(crate) asked: u64,
    /// The revision it goes by.
    pub(crate) revision: u64,
}

/// What an update is made from.
pub(crate) struct Source<'a> {
    pub(crate) registry: &'a ReplicaRegistry,
    pub(crate) decided: Option<&'a Value>,
    pub(crate) addresses: &'a Addresses,
    pub(crate) settled: bool,
}

/// All sessions of fronts, and the log of changes that they follow.
pub(crate) struct IngressNodes {
    life: u64,
    sessions: BTreeMap<SessionId, FrontSession>,
    /// Sessions that other control nodes hold, by the link with each.
    elsewhere: BTreeMap<SessionId, Vec<IngressSession>>,
    pub(crate) changes: ChangeLog,
}

impl IngressNodes {
    pub(crate) fn new(life: u64) -> IngressNodes {
        IngressNodes {
            life,
            sessions: BTreeMap::new(),
            elsewhere: BTreeMap::new(),
            changes: ChangeLog::new(PLACES),
        }
    }

    pub(crate) fn open(&mut self, now: u64, link: SessionId, hello: Hello) {
        let session = FrontSession {
            heard: now,
            told_revision: hello.value_number,
            place: Some(hello.change_log_offset).filter(|_| hello.change_log_id == self.life),
            addresses_version: 0,
            confirmed: false,
            confirming: false,
            told_confirmed: false,
            asked: 0,
            revision: 0,
            hello,
        };
        self.sessions.insert(link, session);
    }

    /// The link has ended, with a front or with a control node that told of its fronts.
    pub(crate) fn close(&mut self, link: SessionId) -> Option<FrontSession> {
        self.elsewhere.remove(&link);
        self.sessions.remove(&link)
    }

    pub(crate) fn get(&self, link: SessionId) -> Option<&FrontSession> {
        self.sessions.get(&link)
    }

    pub(crate) fn get_mut(&mut self, link: SessionId) -> Option<&mut FrontSession> {
        self.sessions.get_mut(&link)
    }

    pub(crate) fn links(&self) -> Vec<SessionId> {
        self.sessions.keys().copied().collect()
    }

    pub(crate) fn silent(&self, now: u64) -> Vec<SessionId> {
        let silent = |session: &FrontSession| now > session.heard + SILENT;
        self.sessions
            .iter()
            .filter(|(_, s)| silent(s))
            .map(|(link, _)| *link)
            .collect()
    }

    /// Sessions of earlier lives of the same front: they are over, whatever their connections say.
    pub(crate) fn superseded(&self, hello: &Hello) -> Vec<SessionId> {
        let old = |s: &FrontSession| {
            s.hello.name == hello.name && s.hello.incarnation != hello.incarnation
        };
        self.sessions
            .iter()
            .filter(|(_, s)| old(s))
            .map(|(link, _)| *link)
            .collect()
    }

    pub(crate) fn link_of(&self, name: &str, life: u64) -> Option<SessionId> {
        let is = |s: &FrontSession| s.hello.name == name && s.hello.incarnation == life;
        self.sessions
            .iter()
            .find(|(_, s)| is(s))
            .map(|(link, _)| *link)
    }

    /// All fronts hear everything once more.
    pub(crate) fn start_over(&mut self) {
        self.sessions
            .values_mut()
            .for_each(|session| session.place = None);
    }

    /// What this node tells the others of its sessions.
    pub(crate) fn own(&self) -> Vec<IngressSession> {
        let replica = |s: &FrontSession| IngressSession {
            name: s.hello.name.clone(),
            zone: s.hello.zone.clone(),
            incarnation: s.hello.incarnation,
            quota_request: s.asked,
            address: String::new(),
            revision: s.revision,
        };
        self.sessions.values().map(replica).collect()
    }

    pub(crate) fn learn_elsewhere(&mut self, link: SessionId, sessions: Vec<IngressSession>) {
        self.elsewhere.insert(link, sessions);
    }

    /// All fronts with a session anywhere, by name: the newest heartbeat that asked counts.
    pub(crate) fn all(&self) -> BTreeMap<String, IngressSession> {
        let mut all: BTreeMap<String, IngressSession> = BTreeMap::new();
        let own = self.own();
        for session in own.iter().chain(self.elsewhere.values().flatten()) {
            let known = all.get(&session.name);
            if known.is_none_or(|s| {
                s.incarnation != session.incarnation || s.quota_request <= session.quota_request
            }) {
                all.insert(session.name.clone(), session.clone());
            }
        }
        all
    }

    /// All that a front lacks; none if that is nothing. The configuration is in it only once it was read anew
    /// for this session.
    pub(crate) fn update(
        &mut self,
        now: u64,
        link: SessionId,
        source: &Source,
    ) -> Option<IngressUpdate> {
        let place = self.changes.offset();
        let session = self.sessions.get_mut(&link)?;
        let since = session.place.and_then(|place| self.changes.since(place));
        let whole = since.is_none();
        let replicas: Vec<Replica> = match since {
            Some(idents) => idents
                .iter()
                .filter_map(|i| source.registry.get(i))
                .map(|known| known.snapshot(now))
                .collect(),
            None => source
                .registry
                .iter()
                .map(|known| known.snapshot(now))
                .collect(),
        };
        let newer = |value: &&Value| session.confirmed && value.revision > session.told_revision;
        let value = source.decided.filter(newer).cloned();
        let confirmed = session.confirmed && !session.told_confirmed;
        let new_addresses = session.addresses_version != source.addresses.version();
        if !whole && replicas.is_empty() && value.is_none() && !confirmed && !new_addresses {
            return None;
        }
        session.told_revision = value
            .as_ref()
            .map_or(session.told_revision, |value| value.revision);
        session.place = Some(place);
        session.told_confirmed = session.confirmed;
        session.addresses_version = source.addresses.version();
        Some(IngressUpdate {
            change_log_id: self.life,
            change_log_offset: place,
            complete: whole,
            replicas,
            value,
            control_addresses: if new_addresses {
                source.addresses.all()
            } else {
                Vec::new()
            },
            confirmed: session.confirmed,
            registry_settled: source.settled,
        })
    }
}
