//! The gateway's end of its links.
//!
//! A session can outlive its connection. A call runs once for each number of the session, and its outcome is retained
//! until the client acknowledges it. The credit limits the number of retained calls, and the session time-out how long
//! they are retained without a connection.
//!
//! | connection | event | next |
//! | --- | --- | --- |
//! | new | - | challenged |
//! | challenged | proven hello of a retained session | its older connection is closed; welcome, unacknowledged outcomes are sent again |
//! | challenged | proven hello of another session | welcome to a new session, if the limit of sessions allows it |
//! | challenged | anything else, or handshake time-out | refused and closed |
//! | established | the session's next call | runs; it uses credit until its outcome is acknowledged |
//! | established | a call after a gap in the numbers | refused and closed: frames cannot be missing within a connection |
//! | any | end of the connection | the session is retained for the session time-out |
//!
//! Invariants: *runs once*, at most one call is started for each number of a session; *retained until acknowledged*, an
//! outcome is dropped only when it is acknowledged or withdrawn, or with its session.
//!
//! Modules: `connection` (accepted, closed, refused), `handshake`, `session_lifetime` (begun, dropped), `calls`,
//! `session` with its `receive_window`, and `members` (the replicas reported to clients).

mod calls;
mod config;
mod connection;
mod handshake;
mod members;
mod receive_window;
mod session;
mod session_lifetime;

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;
use linenthread_frames::Secrets;
use oorandom::Rand64;

use crate::frame::Frame;
use crate::id::{ConnectionId, SessionId};

pub use config::{ServerAction, ServerCloseReason, ServerConfig};
use connection::Connection;
use members::Membership;
use session::Session;

/// The gateway's end of its links: a state machine without I/O.
///
/// The driver passes events to it and executes the [`ServerAction`]s that they produce. It calls
/// [`on_timeout`](LinkServer::on_timeout) at the time given by [`next_timeout`](LinkServer::next_timeout).
pub struct LinkServer {
    config: ServerConfig,
    secrets: Secrets,
    rng: Rand64,
    sessions: BTreeMap<SessionId, Session>,
    connections: BTreeMap<ConnectionId, Connection>,
    membership: Membership,
    /// Calls that arrive are rejected; running calls complete.
    draining: bool,
}

impl LinkServer {
    /// Creates a server without connections and sessions. The seed must differ at each start: the sessions' epochs
    /// derive from it and distinguish them from sessions before a restart.
    pub fn new(config: ServerConfig, secrets: Secrets, seed: u64) -> LinkServer {
        LinkServer {
            config,
            secrets,
            rng: Rand64::new(u128::from(seed)),
            sessions: BTreeMap::new(),
            connections: BTreeMap::new(),
            membership: Membership::default(),
            draining: false,
        }
    }

    /// Returns the number of calls in all sessions that are running or whose outcome is retained.
    pub fn retained_calls(&self) -> usize {
        self.sessions.values().map(Session::retained_calls).sum()
    }

    /// Returns the number of retained sessions, connected or not.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Returns when [`on_timeout`](LinkServer::on_timeout) must be called next.
    pub fn next_timeout(&self) -> TenthMillis {
        let connections = self
            .connections
            .values()
            .map(|connection| connection.deadline(&self.config));
        let sessions = self
            .sessions
            .values()
            .filter_map(|session| session.deadline(self.config.session_timeout));
        connections
            .chain(sessions)
            .min()
            .unwrap_or(TenthMillis::MAX)
    }

    /// Closes connections that are idle or have not completed their handshake in time, and drops sessions that have had
    /// no connection for the session time-out.
    pub fn on_timeout(&mut self, now: TenthMillis, actions: &mut Vec<ServerAction>) {
        self.close_idle(now, actions);
        self.drop_expired_sessions(now, actions);
    }

    /// Starts draining: notifies all clients; new calls are rejected, and running calls complete.
    pub fn start_draining(&mut self, actions: &mut Vec<ServerAction>) {
        self.draining = true;
        actions.extend(self.established().map(|connection| ServerAction::Send {
            connection,
            frame: Frame::Goodbye,
        }));
    }

    /// Handles a received frame.
    pub fn on_frame(
        &mut self,
        now: TenthMillis,
        id: ConnectionId,
        frame: Frame,
        actions: &mut Vec<ServerAction>,
    ) {
        match self.connections.get_mut(&id) {
            // Received on a connection that this server has already closed.
            None => {}
            Some(Connection::Challenged { nonce, .. }) => {
                let nonce = *nonce;
                if let Err(reason) = self.establish(now, id, &nonce, frame, actions) {
                    self.refuse(now, id, reason, actions);
                }
            }
            Some(Connection::Established {
                session,
                last_received,
            }) => {
                *last_received = now;
                let session = *session;
                self.on_session_frame(now, id, session, frame, actions);
            }
        }
    }

    fn on_session_frame(
        &mut self,
        now: TenthMillis,
        connection: ConnectionId,
        id: SessionId,
        frame: Frame,
        actions: &mut Vec<ServerAction>,
    ) {
        match frame {
            Frame::Call(request) => {
                if let Err(reason) = self.on_call(id, request, actions) {
                    self.refuse(now, connection, reason, actions);
                }
            }
            Frame::Withdraw { number } => self.on_withdraw(id, number, actions),
            Frame::Ack { numbers } => {
                for number in numbers {
                    self.on_ack(id, number, actions);
                }
            }
            Frame::Ping { sequence } => actions.push(ServerAction::Send {
                connection,
                frame: Frame::Pong { sequence },
            }),
            Frame::Pong { .. } | Frame::Goodbye => {}
            Frame::Probe { id, replica } => actions.push(ServerAction::Probe {
                connection,
                id,
                replica,
            }),
            Frame::Refuse { reason } => {
                let reason = ServerCloseReason::Refused { reason };
                actions.push(ServerAction::Close { connection, reason });
                self.on_disconnected(now, connection);
            }
            _ => self.refuse(now, connection, ServerCloseReason::UnexpectedFrame, actions),
        }
    }
}
