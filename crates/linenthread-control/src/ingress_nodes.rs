//! The sessions of all ingress nodes, with this control node and with others.

use std::collections::BTreeMap;

use linenthread_consensus::Incarnation;
use linenthread_messages::{IngressSession, IngressUpdate, IngressUsage, QuotaGrant};
use linenthread_time::Instant;

use crate::SessionId;
use crate::ingress_peer::{IngressPeer, UpdateSource};
use crate::peer_hello::IngressNodeHello;
use crate::timing::SESSION_TIMEOUT;

/// One incarnation of an ingress node. Retry quotas are granted to an incarnation, since a restarted node does not know
/// its earlier grants.
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

impl From<&IngressUsage> for IngressIncarnation {
    fn from(usage: &IngressUsage) -> IngressIncarnation {
        IngressIncarnation {
            name: usage.name.clone(),
            incarnation: Incarnation::new(usage.incarnation),
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

/// The sessions of all ingress nodes.
pub(crate) struct IngressNodes {
    /// Identifies this node's change log; equal to the node's incarnation.
    change_log_id: Incarnation,
    peers: BTreeMap<SessionId, IngressPeer>,
    /// The ingress sessions of other control nodes, by this node's session with each of those.
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

    pub(crate) fn open(&mut self, now: Instant, session: SessionId, hello: IngressNodeHello) {
        let peer = IngressPeer::new(now, hello, self.change_log_id);
        self.peers.insert(session, peer);
    }

    /// Removes a closed session, which is with an ingress node or with a control node that reported its ingress
    /// sessions.
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

    /// Returns the sessions on which nothing was received for too long.
    pub(crate) fn timed_out_sessions(&self, now: Instant) -> Vec<SessionId> {
        self.sessions_where(|peer| now > peer.last_received_at() + SESSION_TIMEOUT)
    }

    /// Returns the sessions with earlier incarnations of an ingress node. They are obsolete, even if their connections
    /// seem to be open.
    pub(crate) fn superseded_sessions(&self, hello: &IngressNodeHello) -> Vec<SessionId> {
        self.sessions_where(|peer| {
            peer.hello().name == hello.name && peer.hello().incarnation != hello.incarnation
        })
    }

    /// Returns the session with one incarnation of an ingress node.
    pub(crate) fn session_with(&self, ingress: &IngressIncarnation) -> Option<SessionId> {
        self.peers
            .iter()
            .find(|(_, peer)| peer.is_with(ingress))
            .map(|(session, _)| *session)
    }

    /// Schedules the whole registry to be sent to all ingress nodes again.
    pub(crate) fn resend_all(&mut self) {
        for peer in self.peers.values_mut() {
            peer.resend_registry();
        }
    }

    /// Returns this node's own ingress sessions, in the form in which they are sent to the other control nodes.
    pub(crate) fn local_sessions(&self) -> Vec<IngressSession> {
        self.peers.values().map(IngressPeer::to_message).collect()
    }

    /// Records the ingress sessions that another control node reported.
    pub(crate) fn set_remote(&mut self, session: SessionId, sessions: Vec<IngressSession>) {
        self.remote.insert(session, sessions);
    }

    /// Returns all ingress nodes with a session with any control node, by name. Of several sessions of one incarnation,
    /// the one with the newest quota request is returned.
    pub(crate) fn all_sessions(&self) -> BTreeMap<String, IngressSession> {
        let mut all: BTreeMap<String, IngressSession> = BTreeMap::new();
        let local = self.local_sessions();
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

    /// Returns everything that an ingress node lacks, as one update; `None` if it lacks nothing.
    pub(crate) fn next_update(
        &mut self,
        now: Instant,
        session: SessionId,
        source: &UpdateSource,
    ) -> Option<IngressUpdate> {
        let peer = self.peers.get_mut(&session)?;
        peer.next_update(now, self.change_log_id, source)
    }
}
