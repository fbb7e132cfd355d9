//! Connections of a pool: idle ones, and those that an attempt has to itself.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use linenthread_http::Head;
use tokio::time::Instant;

use crate::connection::HttpConnection;
use crate::counter::CounterGuard;
use crate::outcome::ConnectionAge;
use crate::transport::Connector;

/// How long before the end that its replica announced a connection is no longer used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// The identity of a connection within this thread; never used again.
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

/// A connection that no request is in flight on.
pub(super) struct IdleConnection<C: Connector> {
    http: HttpConnection<C::Transport>,
    pub(super) id: ConnectionId,
    peer: SocketAddr,
    /// When to stop using it, where the replica announced that it will close it.
    expires_at: Option<Instant>,
}

impl<C: Connector> IdleConnection<C> {
    /// Whether nothing arrived on it since its last response, and it does not end soon.
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

/// A connection that one attempt has to itself. It counts as in use for as long as it lives.
pub(super) struct LeasedConnection<C: Connector> {
    pub(super) http: HttpConnection<C::Transport>,
    pub(super) id: ConnectionId,
    /// The address that it leads to.
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

    /// Makes it ready for another request, if the replica keeps it open after a response with this head and no byte
    /// follows the response. Where the end of the connection was the end of the response, it is not idle.
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

/// How long the replica says that it keeps an idle connection.
fn announced_idle_timeout(head: &Head) -> Option<Duration> {
    let parameters = head.header("keep-alive")?;
    let seconds = parameters
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
