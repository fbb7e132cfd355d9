//! The transports that carry sub-requests to replicas: direct connections, and links to gateways. A transport ends each
//! attempt exactly once, with an outcome that states whether the attempt ran, may have run, or was never sent.

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

/// The route to a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum Route {
    /// Over a connection to this address.
    Direct(SocketAddr),
    /// Over the link to one of these peers.
    ViaLink {
        /// The peers by number, in the order in which their links were added.
        peers: Vec<usize>,
        /// The replica's id, which identifies it to the gateway.
        replica_id: Rc<str>,
    },
}

/// Sends attempts and probes to all replicas, directly or over links. Clones share their state.
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

/// The link selected for a replica; `peer` is `None` if no link is usable and has capacity.
struct SelectedLink {
    peer: Option<link::Peer>,
    replica_id: Rc<str>,
}

/// An attempt in flight at a replica. Dropping it cancels the attempt, unless it has finished.
pub struct InFlightAttempt(TransportAttempt);

enum TransportAttempt {
    Connection(connection::InFlightAttempt),
    Link(link::InFlightAttempt),
}

impl InFlightAttempt {
    /// Handles the time-out of the attempt, which may show that its connection is unresponsive.
    pub(crate) fn on_timeout(&self) {
        match &self.0 {
            TransportAttempt::Connection(attempt) => attempt.on_timeout(),
            TransportAttempt::Link(attempt) => attempt.on_timeout(),
        }
    }
}

impl Transports {
    /// Creates the transports without a route to any replica; [`set_route`](Self::set_route) adds them.
    pub fn new(config: ConnectionConfig) -> Self {
        Transports(Rc::new(Inner {
            direct: ReplicaConnections::new(config),
            probe_timeout: config.probe_timeout,
            peers: RefCell::default(),
            remote: RefCell::default(),
        }))
    }

    /// Adds a peer's link; returns the peer's number.
    pub(crate) fn add_peer(&self, peer: link::Peer) -> usize {
        self.0.peers.borrow_mut().push(peer);
        self.0.peers.borrow().len() - 1
    }

    /// Closes the direct connections to a replica on which nothing is in flight. Links are not affected, as they
    /// monitor their connections by heartbeats.
    pub(crate) fn close_idle(&self, replica: ReplicaIndex) {
        self.0.direct.close_idle(replica);
    }

    /// Sets the route for later requests to a replica. Without a route, they are reported as not sent.
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

    /// Reports whether a replica is not reached over a link. What arrives over a link is never sent over another.
    pub(crate) fn is_direct(&self, replica: ReplicaIndex) -> bool {
        !self.0.remote.borrow().contains_key(&replica)
    }

    /// Reports whether a replica has neither a route nor a connection, so that its index may be reused.
    pub(crate) fn is_vacant(&self, replica: ReplicaIndex) -> bool {
        self.is_direct(replica) && self.0.direct.is_vacant(replica)
    }

    /// Sends sub-requests of one query to one replica, which has `wait_ms` to respond. Those that cannot be sent are
    /// reported to `outcomes` as not sent, and `None` is returned for each.
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
                    attempt.map(|attempt| InFlightAttempt(TransportAttempt::Connection(attempt)))
                })
                .collect();
        };
        let Some(peer) = selected.peer else {
            return report_not_sent(sub_requests, outcomes);
        };
        let wait = Duration::from_millis(wait_ms);
        peer.send(&selected.replica_id, query_id, sub_requests, wait, outcomes)
            .into_iter()
            .map(|attempt| Some(InFlightAttempt(TransportAttempt::Link(attempt))))
            .collect()
    }

    /// Probes a replica's health and load.
    pub(crate) async fn probe(&self, replica: ReplicaIndex) -> ProbeReport {
        match self.select_link(replica) {
            Some(SelectedLink {
                peer: Some(peer),
                replica_id,
            }) => peer.probe(&replica_id, self.0.probe_timeout).await,
            Some(SelectedLink { peer: None, .. }) => {
                ProbeReport::without_queue_depth(AttemptOutcome::NotSent)
            }
            None => self.0.direct.probe(replica).await,
        }
    }

    /// Selects a link to a replica; returns `None` if the replica is reached directly.
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
