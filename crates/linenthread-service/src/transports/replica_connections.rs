//! The pool of connections to replicas that are reached directly. It owns all connections and limits their number.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::rc::Rc;

use linenthread_core::interface::{AttemptOutcome, ReplicaIndex};
use linenthread_protocol::frame;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tracing::{info, warn};

use crate::log::LogRateLimit;
use crate::transports::attempt::{
    ConnectionConfig, OutcomeSender, OutgoingSubRequest, ProbeReport, report_not_sent,
};
use crate::transports::connection::{
    AttemptNumber, Connection, ConnectionEnd, ConnectionError, InFlightAttempt,
};

/// With fewer connections than this to a replica, each carries one request frame at a time unless the pool is full, so
/// that few requests fail along with a connection that is lost or becomes unresponsive.
const MIN_SHARED_CONNECTIONS: usize = 4;

/// A replica's address and the connections to it.
#[derive(Default)]
struct Endpoint {
    address: Option<SocketAddr>,
    connections: Vec<Rc<Connection>>,
    /// Whether the last connect failed; if so, another failure is not logged.
    last_connect_failed: bool,
}

struct Inner {
    config: ConnectionConfig,
    /// By replica index.
    endpoints: RefCell<Vec<Endpoint>>,
    connection_count: Cell<usize>,
    next_attempt_number: Cell<u64>,
    /// Limits the log lines about connections that are not opened because the pool is full.
    full_log_limit: LogRateLimit,
    /// Limits the log lines about failed connections.
    failure_log_limit: LogRateLimit,
}

/// A permit for one of at most `max_connections` connections. Dropping it releases it.
struct ConnectionPermit(Rc<Inner>);

impl ConnectionPermit {
    /// Returns `None` if the maximum number of connections is reached.
    fn acquire(inner: &Rc<Inner>) -> Option<Self> {
        let count = inner.connection_count.get();
        let has_room = count < inner.config.max_connections;
        has_room.then(|| {
            inner.connection_count.set(count + 1);
            ConnectionPermit(inner.clone())
        })
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let count = self.0.connection_count.get();
        self.0.connection_count.set(count - 1);
    }
}

/// The connections to all replicas that are reached directly.
#[derive(Clone)]
pub(crate) struct ReplicaConnections(Rc<Inner>);

impl ReplicaConnections {
    pub(crate) fn new(config: ConnectionConfig) -> Self {
        ReplicaConnections(Rc::new(Inner {
            config,
            endpoints: RefCell::default(),
            connection_count: Cell::new(0),
            next_attempt_number: Cell::new(0),
            full_log_limit: LogRateLimit::default(),
            failure_log_limit: LogRateLimit::default(),
        }))
    }

    /// Sets a replica's address. Connections to its previous address close once nothing is in flight on them.
    pub(crate) fn set_address(&self, replica: ReplicaIndex, address: Option<SocketAddr>) {
        let mut endpoints = self.0.endpoints.borrow_mut();
        let len = endpoints.len().max(replica.0 + 1);
        endpoints.resize_with(len, Endpoint::default);
        let endpoint = &mut endpoints[replica.0];
        if endpoint.address != address {
            endpoint.address = address;
            endpoint.last_connect_failed = false;
            for connection in &endpoint.connections {
                connection.retire();
            }
        }
    }

    /// Reports whether a replica has neither an address nor a connection, so that its index may be reused.
    pub(crate) fn is_vacant(&self, replica: ReplicaIndex) -> bool {
        let endpoints = self.0.endpoints.borrow();
        endpoints
            .get(replica.0)
            .is_none_or(|endpoint| endpoint.address.is_none() && endpoint.connections.is_empty())
    }

    /// Sends sub-requests of one query to one replica in one frame. If there is no connection for them, they are
    /// reported as not sent, and `None` is returned for each.
    pub(crate) fn send(
        &self,
        replica: ReplicaIndex,
        query_id: &str,
        sub_requests: &[OutgoingSubRequest],
        wait_ms: u64,
        outcomes: &OutcomeSender,
    ) -> Vec<Option<InFlightAttempt>> {
        let ids: Vec<String> = sub_requests
            .iter()
            .map(|outgoing| frame::sub_request_id(query_id, outgoing.shard, outgoing.continuation))
            .collect();
        let has_none_in_flight = |connection: &Connection| !connection.has_any(&ids);
        let Some(connection) = self.connection(replica, sub_requests.len(), has_none_in_flight)
        else {
            return report_not_sent(sub_requests, outcomes);
        };
        let next_number = || {
            let number = self.0.next_attempt_number.get();
            self.0.next_attempt_number.set(number + 1);
            AttemptNumber(number)
        };
        connection
            .send(ids, sub_requests, wait_ms, outcomes, next_number)
            .into_iter()
            .map(Some)
            .collect()
    }

    /// Closes the connections to a replica on which nothing is in flight.
    pub(crate) fn close_idle(&self, replica: ReplicaIndex) {
        let endpoints = self.0.endpoints.borrow();
        let connections = endpoints
            .get(replica.0)
            .into_iter()
            .flat_map(|endpoint| &endpoint.connections);
        connections
            .filter(|connection| connection.in_flight() == 0)
            .for_each(|connection| connection.retire());
    }

    /// Probes a replica's health and load.
    pub(crate) async fn probe(&self, replica: ReplicaIndex) -> ProbeReport {
        let Some(connection) = self.connection(replica, 1, |_| true) else {
            return ProbeReport::without_queue_depth(AttemptOutcome::NotSent);
        };
        let response = connection.send_probe();
        let sent = Instant::now();
        match timeout(self.0.config.probe_timeout, response).await {
            Ok(Ok(report)) => report,
            Ok(Err(_)) => ProbeReport::without_queue_depth(AttemptOutcome::ConnectionLost),
            Err(_) => {
                connection.mark_unresponsive_since(sent);
                ProbeReport::without_queue_depth(AttemptOutcome::TimedOut)
            }
        }
    }

    /// Returns a suitable connection with capacity for `additional` more requests, or a new one; `None` if the replica
    /// has no address or the pool is full.
    fn connection(
        &self,
        replica: ReplicaIndex,
        additional: usize,
        is_suitable: impl Fn(&Connection) -> bool,
    ) -> Option<Rc<Connection>> {
        let mut endpoints = self.0.endpoints.borrow_mut();
        let endpoint = endpoints.get_mut(replica.0)?;
        let address = endpoint.address?;
        let config = &self.0.config;
        let is_available = |connection: &&Rc<Connection>| {
            let in_flight = connection.in_flight();
            let fits = in_flight == 0 || in_flight + additional <= config.max_streams;
            fits && connection.is_usable() && is_suitable(connection)
        };
        // Connections with a partly read frame come last. Of the others, the one with the fewest requests in flight is
        // preferred, since requests accumulate on a connection that is stuck; among equals the most recently read one,
        // so that the others reach their idle time-out.
        let rank = |connection: &&Rc<Connection>| {
            (
                connection.is_mid_frame(),
                connection.in_flight(),
                Reverse(connection.last_read()),
            )
        };
        let best = endpoint
            .connections
            .iter()
            .filter(is_available)
            .min_by_key(rank);
        let may_share = self.is_full() || endpoint.connections.len() >= MIN_SHARED_CONNECTIONS;
        if let Some(connection) = best.filter(|best| best.in_flight() == 0 || may_share) {
            return Some(connection.clone());
        }
        self.open(replica, address, endpoint)
    }

    /// Reports whether the maximum number of connections is reached.
    fn is_full(&self) -> bool {
        self.0.connection_count.get() >= self.0.config.max_connections
    }

    /// Opens one more connection; returns `None` if the maximum number is reached.
    fn open(
        &self,
        replica: ReplicaIndex,
        address: SocketAddr,
        endpoint: &mut Endpoint,
    ) -> Option<Rc<Connection>> {
        let Some(permit) = ConnectionPermit::acquire(&self.0) else {
            if let Some(suppressed) = self.0.full_log_limit.admit() {
                warn!(%address, suppressed, "too many replica connections, not opening another");
            }
            return None;
        };
        let sends_cancellations = self.0.config.sends_cancellations;
        let connection = Rc::new(Connection::new(replica, address, sends_cancellations));
        endpoint.connections.push(connection.clone());
        actix_rt::spawn(self.clone().run(connection.clone(), permit));
        Some(connection)
    }

    /// Connects, and runs the connection until it ends.
    async fn run(self, connection: Rc<Connection>, permit: ConnectionPermit) {
        let config = self.0.config;
        let connected = connect(connection.address, &config).await;
        let failed_before =
            self.replace_last_connect_failed(connection.replica, connected.is_err());
        let result = match connected {
            Ok(stream) => {
                if failed_before {
                    info!(address = %connection.address, "replica connected again");
                }
                stream.set_nodelay(true).ok();
                connection.exchange(stream, &config).await
            }
            Err(_) if failed_before => Ok(()),
            Err(error) => Err(error),
        };
        let end = result
            .as_ref()
            .map_or_else(ConnectionError::end, |()| ConnectionEnd::Lost);
        if let Err(cause) = result
            && let Some(suppressed) = self.0.failure_log_limit.admit()
        {
            let (address, in_flight) = (connection.address, connection.attempts_in_flight());
            let protocol_violation = end == ConnectionEnd::ProtocolViolated;
            warn!(%address, in_flight, protocol_violation, suppressed, "replica connection ended: {cause}");
        }
        self.remove(&connection);
        drop(permit);
        connection.end_all(end);
    }

    /// Removes a connection; connections are removed only here.
    fn remove(&self, connection: &Rc<Connection>) {
        if let Some(endpoint) = self.0.endpoints.borrow_mut().get_mut(connection.replica.0) {
            endpoint
                .connections
                .retain(|other| !Rc::ptr_eq(other, connection));
        }
    }

    /// Records whether the last connect to a replica failed, and returns whether the one before it did.
    fn replace_last_connect_failed(&self, replica: ReplicaIndex, failed: bool) -> bool {
        let mut endpoints = self.0.endpoints.borrow_mut();
        endpoints
            .get_mut(replica.0)
            .is_some_and(|endpoint| std::mem::replace(&mut endpoint.last_connect_failed, failed))
    }
}

async fn connect(
    address: SocketAddr,
    config: &ConnectionConfig,
) -> Result<TcpStream, ConnectionError> {
    match timeout(config.connect_timeout, TcpStream::connect(address)).await {
        Ok(connected) => connected.map_err(|source| ConnectionError::Connect { source }),
        Err(_) => Err(ConnectionError::ConnectTimeout),
    }
}
