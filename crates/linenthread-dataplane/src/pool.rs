//! Connections to one replica, and the attempts that go over them.
//!
//! A connection is owned by one attempt at a time. It returns to the pool at one place only: after a complete
//! response that is known to be that request's, with nothing behind it. On any other way out of an attempt it
//! is dropped, which closes it. So no connection with an unanswered request is ever used again.

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

/// How long a replica that has departed is remembered, since late updates may still name it.
const DEPARTED_RETENTION: Duration = Duration::from_secs(120);

/// What service discovery says of a replica. Neither excludes the other: one that drained may depart, and return.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// It has announced that it will end.
    pub draining: bool,
    /// It is not registered any more.
    pub departed: bool,
}

/// How an attempt ended, and the replica's response where it gave one that may be forwarded.
pub struct CompletedAttempt {
    /// How it ended.
    pub outcome: Outcome,
    /// Present only if a client may get it.
    pub response: Option<ReplicaResponse>,
}

impl ReplicaStatus {
    /// Whether it is registered and not about to end, so that connections to it are worth keeping.
    pub fn is_available(self) -> bool {
        !self.draining && !self.departed
    }
}

/// One incarnation of a replica and the connections to it.
pub struct ReplicaPool<C: Connector = TcpConnector> {
    id: String,
    backend: Rc<str>,
    zone: String,
    address: Cell<SocketAddr>,
    connector: C,
    status: Cell<ReplicaStatus>,
    /// When its departure, or its return, was last learned.
    departure_changed_at: Cell<Instant>,
    max_connections: Cell<usize>,
    idle: RefCell<Vec<IdleConnection<C>>>,
    in_use: Counter,
}

impl<C: Connector> ReplicaPool<C> {
    /// A pool with no connection yet, of a replica of this backend at this address.
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
            departure_changed_at: Cell::new(Instant::START),
            max_connections: Cell::new(usize::MAX),
            idle: RefCell::default(),
            in_use: Counter::default(),
        }
    }

    /// The replica's own id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// The backend that it belongs to.
    pub fn backend(&self) -> &Rc<str> {
        &self.backend
    }

    /// The zone that it runs in.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Its status by the last update that named it.
    pub fn status(&self) -> ReplicaStatus {
        self.status.get()
    }

    /// Sets its status, by an update that names it.
    pub fn set_status(&self, status: ReplicaStatus) {
        self.status.set(status);
        self.departure_changed_at.set(clock::now());
    }

    /// Sets its address, by an update that names it. Nothing new goes to the former one; what is in flight there ends
    /// there.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.close_idle();
        }
    }

    /// Whether it departed so long ago that no update names it any more.
    pub fn is_forgotten(&self, now: Instant) -> bool {
        self.status().departed && now > self.departure_changed_at.get() + DEPARTED_RETENTION
    }

    /// Limits the connections that this process may have to it.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// How many connections are idle.
    pub fn idle(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the idle connections that the replica has closed, or is about to close.
    pub fn close_expired(&self) {
        let now = tokio::time::Instant::now();
        self.idle
            .borrow_mut()
            .retain(|connection| connection.is_usable(now));
    }

    /// Sends one attempt, from its connection to its complete response.
    pub async fn call(&self, request: &ReplicaRequest, timeout: Duration) -> CompletedAttempt {
        let deadline = tokio::time::Instant::now() + timeout;
        let response_use = request.response_use;
        let mut connection = match self.lease(request, timeout).await {
            Ok(connection) => connection,
            // Whether the connection would have been new makes no difference where there is none.
            Err(event) => return failed(Outcome::of(event, ConnectionAge::New, response_use)),
        };
        let age = connection.age;
        let response = match exchange(&mut connection.http, request, &self.id, deadline).await {
            Ok(response) => response,
            Err(event) => return failed(Outcome::of(event, age, response_use)),
        };
        let event = classify_response(&response.head, &request.request_id, &self.id, age);
        if event.leaves_connection_in_step() {
            self.return_connection(connection, &response);
        }
        CompletedAttempt {
            outcome: Outcome::of(event, age, response_use),
            response: response
                .may_be_forwarded(event, response_use)
                .then_some(response),
        }
    }

    /// A connection for the request: an idle one, else a new one.
    async fn lease(
        &self,
        request: &ReplicaRequest,
        timeout: Duration,
    ) -> Result<LeasedConnection<C>, WireEvent> {
        let connection = if let Some(idle) = self.take_idle(request) {
            idle.into_leased(self.in_use.enter())
        } else {
            self.reserve_capacity()?;
            let address = self.address.get();
            let transport = self.connect(address, timeout).await?;
            LeasedConnection::new(transport, address, self.in_use.enter())
        };
        request.add_connection(connection.id);
        Ok(connection)
    }

    /// Makes sure that one more connection is allowed; if need be, closes the oldest idle one. Nothing is lost by that:
    /// those that are still idle have all carried this request, so it cannot use them.
    fn reserve_capacity(&self) -> Result<(), WireEvent> {
        let max_connections = self.max_connections.get();
        let in_use = self.in_use.get();
        if in_use >= max_connections {
            return Err(WireEvent::PoolExhausted);
        }
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() && in_use + idle.len() >= max_connections {
            idle.remove(0);
        }
        Ok(())
    }

    /// The newest idle connection that is still usable and has not carried this request.
    fn take_idle(&self, request: &ReplicaRequest) -> Option<IdleConnection<C>> {
        let now = tokio::time::Instant::now();
        let mut idle = self.idle.borrow_mut();
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

    /// Returns a connection to the pool, if it can carry another request.
    fn return_connection(&self, connection: LeasedConnection<C>, response: &ReplicaResponse) {
        if !self.status().is_available() || connection.peer != self.address.get() {
            return;
        }
        if let Some(connection) = connection.into_idle(&response.head) {
            self.idle.borrow_mut().push(connection);
        }
    }
}

/// An attempt that brought no response.
fn failed(outcome: Outcome) -> CompletedAttempt {
    CompletedAttempt {
        outcome,
        response: None,
    }
}
