//! A connection pool for one replica, and the attempts sent over it.
//!
//! Each connection is owned by one attempt at a time. It returns to the pool in one place only: after a complete
//! response that is known to belong to that request, with no bytes after it. In any other case the attempt drops it,
//! which closes it, so a connection with an unanswered request is never reused.

mod exchange;
mod leased;
mod request;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_core::policy::CONNECT_TIMEOUT;
use linenthread_time::Instant;

pub use self::exchange::ReplicaResponse;
use self::exchange::exchange;
use self::leased::{ConnectionId, IdleConnection, LeasedConnection};
pub use self::request::ReplicaRequest;
use crate::clock;
use crate::counter::Counter;
use crate::outcome::{ConnectionAge, Outcome, WireEvent, classify_response};
use crate::transport::{Connector, TcpConnector};

/// How long a departed replica is retained, since late updates may still name it.
const DEPARTED_RETENTION: Duration = Duration::from_secs(120);

/// The status of a replica in service discovery. The two flags are independent: a drained replica may depart, and
/// return.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The replica has announced that it will shut down.
    pub draining: bool,
    /// The replica is no longer registered.
    pub departed: bool,
}

/// The result of an attempt.
pub struct CompletedAttempt {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The replica's response; present only if it may be forwarded to a client.
    pub response: Option<ReplicaResponse>,
}

impl ReplicaStatus {
    /// Reports whether the replica is registered and not draining, so that idle connections to it are worth keeping.
    pub fn is_available(self) -> bool {
        !self.draining && !self.departed
    }
}

/// One incarnation of a replica, with the connections to it.
pub struct ReplicaPool<C: Connector = TcpConnector> {
    id: String,
    backend: Rc<str>,
    zone: String,
    address: Cell<SocketAddr>,
    connector: C,
    status: Cell<ReplicaStatus>,
    /// When the status last changed.
    status_changed_at: Cell<Instant>,
    /// The number of the replica's last heartbeat before its end; `None` unless an update said that it had ended.
    ended_after_call: Cell<Option<u64>>,
    max_connections: Cell<usize>,
    idle_connections: RefCell<Vec<IdleConnection<C>>>,
    in_use: Counter,
}

impl<C: Connector> ReplicaPool<C> {
    /// Creates a pool without connections for a replica of this backend at this address.
    pub fn new(
        replica: &linenthread_messages::Replica,
        backend: Rc<str>,
        address: SocketAddr,
        connector: C,
    ) -> ReplicaPool<C> {
        ReplicaPool {
            id: replica.id.clone(),
            backend,
            zone: replica.zone.clone(),
            address: Cell::new(address),
            connector,
            status: Cell::new(ReplicaStatus {
                draining: replica.draining,
                departed: replica.timed_out_or_ended,
            }),
            status_changed_at: Cell::new(Instant::START),
            ended_after_call: Cell::new(None),
            max_connections: Cell::new(usize::MAX),
            idle_connections: RefCell::default(),
            in_use: Counter::default(),
        }
    }

    /// Returns the replica's id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the name of the replica's backend.
    pub fn backend(&self) -> &Rc<str> {
        &self.backend
    }

    /// Returns the replica's zone.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Returns the status according to the last update that named the replica.
    pub fn status(&self) -> ReplicaStatus {
        self.status.get()
    }

    /// Sets the status from an update that names the replica.
    pub fn set_status(&self, status: ReplicaStatus) {
        self.status.set(status);
        self.status_changed_at.set(clock::now());
    }

    /// Records that the replica ended, and the number of its last heartbeat before.
    pub fn set_ended(&self, call_count: u64) {
        self.ended_after_call.set(Some(call_count));
    }

    /// Reports whether an update tells of a time before the replica's end. A control node that has lost its disk may not
    /// know of the end.
    pub fn is_older_than_end(&self, update: &linenthread_messages::Replica) -> bool {
        let ended_after_call = self.ended_after_call.get();
        !update.ended && ended_after_call.is_some_and(|last| update.call_count <= last)
    }

    /// Sets the address from an update that names the replica. The former address gets no new requests, and
    /// connections to it end with the requests in flight.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.close_idle();
        }
    }

    /// Reports whether the replica departed so long ago that no update names it any more.
    pub fn is_past_retention(&self, now: Instant) -> bool {
        self.status().departed && now > self.status_changed_at.get() + DEPARTED_RETENTION
    }

    /// Limits the connections of this process to the replica.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle_connections.borrow().len()
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle_connections.borrow_mut().clear();
    }

    /// Closes the idle connections that the replica has closed or is about to close.
    pub fn close_expired(&self) {
        let now = tokio::time::Instant::now();
        self.idle_connections
            .borrow_mut()
            .retain(|connection| connection.is_usable(now));
    }

    /// Sends one attempt and waits for its complete response, for at most `timeout` plus a short allowance.
    pub async fn call(&self, request: &ReplicaRequest, timeout: Duration) -> CompletedAttempt {
        let deadline = tokio::time::Instant::now() + timeout;
        let response_use = request.response_use;
        let mut connection = match self.lease(request, timeout).await {
            Ok(connection) => connection,
            // Without a connection, its age makes no difference to the outcome.
            Err(event) => {
                return failed(Outcome::from_wire_event(
                    event,
                    ConnectionAge::New,
                    response_use,
                ));
            }
        };
        let age = connection.age;
        let response = match exchange(&mut connection.http, request, &self.id, deadline).await {
            Ok(response) => response,
            Err(event) => return failed(Outcome::from_wire_event(event, age, response_use)),
        };
        let event = classify_response(&response.head, &request.request_id, &self.id, age);
        if event.leaves_connection_in_sync() {
            self.return_connection(connection, &response);
        }
        CompletedAttempt {
            outcome: Outcome::from_wire_event(event, age, response_use),
            response: response
                .may_be_forwarded(event, response_use)
                .then_some(response),
        }
    }

    /// Returns a connection for the request: an idle one, or else a new one.
    async fn lease(
        &self,
        request: &ReplicaRequest,
        timeout: Duration,
    ) -> Result<LeasedConnection<C>, WireEvent> {
        let connection = if let Some(idle) = self.take_idle(request) {
            idle.into_leased(self.in_use.increment())
        } else {
            self.reserve_capacity()?;
            let address = self.address.get();
            let transport = self.connect(address, timeout).await?;
            LeasedConnection::new(transport, address, self.in_use.increment())
        };
        request.add_connection(connection.id);
        Ok(connection)
    }

    /// Checks that one more connection is allowed, and closes the oldest idle one if necessary. Any connections that
    /// are still idle have already carried this request, so it could not use them anyway.
    fn reserve_capacity(&self) -> Result<(), WireEvent> {
        let max_connections = self.max_connections.get();
        let in_use = self.in_use.get();
        if in_use >= max_connections {
            return Err(WireEvent::PoolExhausted);
        }
        let mut idle = self.idle_connections.borrow_mut();
        if !idle.is_empty() && in_use + idle.len() >= max_connections {
            idle.remove(0);
        }
        Ok(())
    }

    /// Takes the newest idle connection that is still usable and has not carried this request.
    fn take_idle(&self, request: &ReplicaRequest) -> Option<IdleConnection<C>> {
        let now = tokio::time::Instant::now();
        let mut idle = self.idle_connections.borrow_mut();
        loop {
            let newest = idle
                .iter()
                .rposition(|connection| !request.was_carried_by(connection.id))?;
            let connection = idle.remove(newest);
            if connection.is_usable(now) {
                return Some(connection);
            }
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<C::Transport, WireEvent> {
        let connect_timeout = timeout.min(clock::tenth_millis_to_duration(CONNECT_TIMEOUT));
        let connecting = self.connector.connect(address);
        match tokio::time::timeout(connect_timeout, connecting).await {
            Ok(Ok(transport)) => Ok(transport),
            _ => Err(WireEvent::ConnectFailed),
        }
    }

    /// Returns a connection to the pool if it can carry another request.
    fn return_connection(&self, connection: LeasedConnection<C>, response: &ReplicaResponse) {
        if !self.status().is_available() || connection.peer != self.address.get() {
            return;
        }
        if let Some(connection) = connection.into_idle(&response.head) {
            self.idle_connections.borrow_mut().push(connection);
        }
    }
}

fn failed(outcome: Outcome) -> CompletedAttempt {
    CompletedAttempt {
        outcome,
        response: None,
    }
}
