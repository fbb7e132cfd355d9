//! Connections of a pool: idle ones, and those leased to an attempt.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use linenthread_http::Head;
use tokio::time::Instant;

use crate::connection::HttpConnection;
use crate::counter::CounterGuard;
use crate::outcome::ConnectionAge;
use crate::transport::Connector;

/// How long before the replica's announced idle timeout a connection is no longer used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Identifies a connection within this thread; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionId(u64);

impl ConnectionId {
    fn next() -> ConnectionId {
        thread_local! {
            static LAST: Cell<u64> = const { Cell::new(0) };
        }
        LAST.set(LAST.get() + 1);
        ConnectionId(LAST.get())
    }
}

/// A connection without a request in flight.
pub(super) struct IdleConnection<C: Connector> {
    http: HttpConnection<C::Transport>,
    pub(super) id: ConnectionId,
    peer: SocketAddr,
    /// When to stop using the connection, if the replica announced an idle timeout.
    expires_at: Option<Instant>,
}

impl<C: Connector> IdleConnection<C> {
    /// Reports whether nothing has arrived since the last response and the connection does not expire soon.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        self.expires_at.is_none_or(|expires_at| now < expires_at) && self.http.is_idle()
    }

    pub(super) fn into_leased(self, in_use: CounterGuard) -> LeasedConnection<C> {
        LeasedConnection {
            http: self.http,
            id: self.id,
            peer: self.peer,
            age: ConnectionAge::Reused,
            _in_use: in_use,
        }
    }
}

/// A connection leased to one attempt, which counts as in use until it is dropped.
pub(super) struct LeasedConnection<C: Connector> {
    pub(super) http: HttpConnection<C::Transport>,
    pub(super) id: ConnectionId,
    /// The remote address.
    pub(super) peer: SocketAddr,
    pub(super) age: ConnectionAge,
    _in_use: CounterGuard,
}

impl<C: Connector> LeasedConnection<C> {
    pub(super) fn new(
        transport: C::Transport,
        peer: SocketAddr,
        in_use: CounterGuard,
    ) -> LeasedConnection<C> {
        LeasedConnection {
            http: HttpConnection::new(transport),
            id: ConnectionId::next(),
            peer,
            age: ConnectionAge::New,
            _in_use: in_use,
        }
    }

    /// Converts to an idle connection if the replica keeps the connection open after a response with this head and no
    /// bytes follow the response. A connection whose close delimited the response is not idle.
    pub(super) fn into_idle(self, last_response: &Head) -> Option<IdleConnection<C>> {
        if !last_response.keeps_alive() || !self.http.is_idle() {
            return None;
        }
        let expires_at = announced_idle_timeout(last_response)
            .map(|timeout| Instant::now() + timeout.saturating_sub(KEEP_ALIVE_MARGIN));
        Some(IdleConnection {
            http: self.http,
            id: self.id,
            peer: self.peer,
            expires_at,
        })
    }
}

/// Returns the idle timeout that the replica announces in `Keep-Alive`.
fn announced_idle_timeout(head: &Head) -> Option<Duration> {
    let parameters = head.header("keep-alive")?;
    let seconds = parameters
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
