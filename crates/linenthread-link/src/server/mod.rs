//! The gateway's end of all links that lead to it.
//!
//! A session is independent of the connection that it has at the moment. A call that arrives under a number of
//! the session runs once, and its outcome is retained until the client acknowledges it, within bounds in number
//! (the credit) and in time (the session time-out).
//!
//! | connection | event | next |
//! | --- | --- | --- |
//! | new | - | challenged |
//! | challenged | proven hello of a session that is retained | its older connection is closed; welcome, outcomes again |
//! | challenged | proven hello of another session | welcome to a new session, within the limit of sessions |
//! | challenged | anything else, or handshake time-out | refused and closed |
//! | established | the session's next call | runs; it uses credit until its outcome is acknowledged |
//! | established | a call that is not the next | closed: frames cannot be missing within a connection |
//! | any | end of the connection | the session is retained for its time-out |
//!
//! Invariants: *runs once*, a number of a session is started at most once; *retained until acknowledged*, an
//! outcome is dropped only when it is acknowledged or withdrawn, or with its session.
//!
//! The files, by concern: `connection` (accepted, closed, refused), `handshake`, `session_lifetime` (begun, dropped),
//! `calls` of a `session` with its `receive_window`, and the `members` that clients are sent.

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

/// The gateway's end of all links that lead to it: a state machine without I/O.
///
/// Its driver passes events in and carries out the [`ServerAction`]s that come out; it calls
/// [`on_timeout`](LinkServer::on_timeout) when [`next_timeout`](LinkServer::next_timeout) has come.
pub struct LinkServer {
    config: ServerConfig,
    secrets: Secrets,
    rng: Rand64,
    sessions: BTreeMap<SessionId, Session>,
    connections: BTreeMap<ConnectionId, Connection>,
    membership: Membership,
    /// Nothing new is started.
    draining: bool,
}

impl LinkServer {
    /// A server that has just started. Its seed must be new with each start: the epochs of its sessions derive
    /// from it, and distinguish them from those of an earlier incarnation.
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

    /// Calls that run or whose outcome is retained, over all sessions.
    pub fn retained_calls(&self) -> usize {
        self.sessions.values().map(Session::retained_calls).sum()
    }

    /// Sessions that are retained, connected or not.
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// When [`on_timeout`](LinkServer::on_timeout) is to be called next.
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

    /// Closes connections that are idle, and drops sessions that have been without one for too long.
    pub fn on_timeout(&mut self, now: TenthMillis, actions: &mut Vec<ServerAction>) {
        self.close_idle(now, actions);
        self.drop_expired_sessions(now, actions);
    }

    /// Starts nothing new from now on; calls that run are finished.
    pub fn start_draining(&mut self, actions: &mut Vec<ServerAction>) {
        self.draining = true;
        actions.extend(self.established().map(|connection| ServerAction::Send {
            connection,
            frame: Frame::Goodbye,
        }));
    }

    /// A frame has arrived.
    pub fn on_frame(
        &mut self,
        now: TenthMillis,
        id: ConnectionId,
        frame: Frame,
        actions: &mut Vec<ServerAction>,
    ) {
        match self.connections.get_mut(&id) {
            // Left over from a connection that is closed here.
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
