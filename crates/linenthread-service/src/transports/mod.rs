//! The ways on which sub-requests travel to replicas. A transport ends each attempt exactly once, and its outcome
//! says honestly whether the attempt ran, may have run, or was never sent.

pub mod attempt;
mod connection;
pub(crate) mod link;
mod replica_connections;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::{AttemptOutcome, ReplicaIndex};
use linenthread_link::routing;

use attempt::{ConnectionConfig, OutcomeSender, OutgoingSubRequest, ProbeReport, report_not_sent};
use replica_connections::ReplicaConnections;

/// How a replica is reached.
#[derive(Clone, Debug, PartialEq)]
pub enum Route {
    /// By a connection to it.
    Direct(SocketAddr),
    /// Over the links of one of these peers.
    ViaLink {
        /// The peers' numbers.
        peers: Vec<usize>,
        /// The replica's id, by which the gateway knows it.
        replica_id: Rc<str>,
    },
}

/// All replicas, however they are reached.
#[derive(Clone)]
pub struct Transports(Rc<Inner>);

struct Inner {
    direct: ReplicaConnections,
    probe_timeout: Duration,
    peers: RefCell<Vec<link::Peer>>,
    /// Replicas that are reached over a link.
    remote: RefCell<BTreeMap<ReplicaIndex, RemoteReplica>>,
}

/// A replica that is reached over a link.
struct RemoteReplica {
    peers: Vec<usize>,
    id: Rc<str>,
    /// The peer that was selected last.
    last_peer: Option<usize>,
}

/// The link selected for a replica; `peer` is `None` where no link is up.
struct SelectedLink {
    peer: Option<link::Peer>,
    replica_id: Rc<str>,
}

/// An attempt in flight at a replica. Dropping it cancels the attempt, unless it has finished.
pub struct InFlightAttempt(AttemptOn);

/// An attempt by what it travels on.
enum AttemptOn {
    Connection(connection::InFlightAttempt),
    Link(link::InFlightAttempt),
}

impl InFlightAttempt {
    /// The attempt has run out of time, which may say something of what it travels on.
    pub(crate) fn on_timeout(&self) {
        match &self.0 {
            AttemptOn::Connection(attempt) => attempt.on_timeout(),
            AttemptOn::Link(attempt) => attempt.on_timeout(),
        }
    }
}

impl Transports {
    /// No replica has a route at first.
    pub fn new(config: ConnectionConfig) -> Self {
        Transports(Rc::new(Inner {
            direct: ReplicaConnections::new(config),
            probe_timeout: config.probe_timeout,
            peers: RefCell::default(),
            remote: RefCell::default(),
        }))
    }

    /// Adds a peer's link; returns its number.
    pub(crate) fn add_peer(&self, peer: link::Peer) -> usize {
        self.0.peers.borrow_mut().push(peer);
        self.0.peers.borrow().len() - 1
    }

    /// Closes the connections to a replica on which nothing is in flight. A link judges its own connection by
    /// heartbeats.
    pub(crate) fn close_idle(&self, replica: ReplicaIndex) {
        self.0.direct.close_idle(replica);
    }

    /// Sets how a replica is reached from now on.
    pub fn set_route(&self, replica: ReplicaIndex, route: Option<Route>) {
        let mut remote = self.0.remote.borrow_mut();
        remote.remove(&replica);
        let address = match route {
            Some(Route::Direct(address)) => Some(address),
            Some(Route::ViaLink { peers, replica_id }) => {
                let entry = RemoteReplica {
                    peers,
                    id: replica_id,
                    last_peer: None,
                };
                remote.insert(replica, entry);
                None
            }
            None => None,
        };
        self.0.direct.set_address(replica, address);
    }

    /// Whether a replica is not reached over a link: what arrives over a link is never sent over another.
    pub(crate) fn is_direct(&self, replica: ReplicaIndex) -> bool {
        !self.0.remote.borrow().contains_key(&replica)
    }

    /// Whether a replica has neither a route nor a connection: its index may be reused.
    pub(crate) fn is_vacant(&self, replica: ReplicaIndex) -> bool {
        self.is_direct(replica) && self.0.direct.is_vacant(replica)
    }

    /// Sends sub-requests of one query to one replica. Those that cannot be sent are reported as such, and are
    /// not in flight.
    pub fn send(
        &self,
        replica: ReplicaIndex,
        query_id: &str,
        sub_requests: &[OutgoingSubRequest],
        wait_ms: u64,
        outcomes: &OutcomeSender,
    ) -> Vec<Option<InFlightAttempt>> {
        let Some(selected) = self.select_link(replica) else {
            let in_flight = self
                .0
                .direct
                .send(replica, query_id, sub_requests, wait_ms, outcomes);
            return in_flight
                .into_iter()
                .map(|attempt| {
                    attempt.map(|attempt| InFlightAttempt(AttemptOn::Connection(attempt)))
                })
                .collect();
        };
        let Some(peer) = selected.peer else {
            return report_not_sent(sub_requests, outcomes);
        };
        let wait = Duration::from_millis(wait_ms);
        peer.send(&selected.replica_id, query_id, sub_requests, wait, outcomes)
            .into_iter()
            .map(|attempt| Some(InFlightAttempt(AttemptOn::Link(attempt))))
            .collect()
    }

    /// Probes a replica for its health and load.
    pub(crate) async fn probe(&self, replica: ReplicaIndex) -> ProbeReport {
        match self.select_link(replica) {
            Some(SelectedLink {
                peer: Some(peer),
                replica_id,
            }) => peer.probe(&replica_id, self.0.probe_timeout).await,
            Some(SelectedLink { peer: None, .. }) => {
                ProbeReport::without_load(AttemptOutcome::NotSent)
            }
            None => self.0.direct.probe(replica).await,
        }
    }

    /// Selects a link to a replica; `None` where it is reached directly.
    fn select_link(&self, replica: ReplicaIndex) -> Option<SelectedLink> {
        let mut remote = self.0.remote.borrow_mut();
        let RemoteReplica {
            peers: candidates,
            id,
            last_peer,
        } = remote.get_mut(&replica)?;
        let peers = self.0.peers.borrow();
        let status = |peer| peers.get(peer).map(link::Peer::status);
        let selected = routing::select_link(candidates, status, *last_peer);
        *last_peer = selected.or(*last_peer);
        Some(SelectedLink {
            peer: selected.and_then(|peer| peers.get(peer).cloned()),
            replica_id: id.clone(),
        })
    }
}
