//! Connections: how they are accepted, closed and refused.

use linenthread_core::interface::TenthMillis;
use linenthread_frames::Nonce;

use super::session::Session;
use super::{LinkServer, ServerAction, ServerCloseReason, ServerConfig};
use crate::frame::{Challenge, Frame, VERSION};
use crate::id::{ConnectionId, SessionId};
use crate::nonce;

/// The state of a connection.
#[derive(Clone, Copy)]
pub(super) enum Connection {
    /// The client has to prove that it knows the secret, with a proof over this nonce.
    Challenged { nonce: Nonce, since: TenthMillis },
    /// The client has proven that it knows the secret.
    Established {
        session: SessionId,
        last_received: TenthMillis,
    },
}

impl Connection {
    /// Returns when the connection is closed if nothing more is received.
    pub(super) fn deadline(&self, config: &ServerConfig) -> TenthMillis {
        match self {
            Connection::Challenged { since, .. } => since + config.handshake_timeout,
            Connection::Established { last_received, .. } => last_received + config.idle_timeout,
        }
    }
}

impl LinkServer {
    /// Handles a newly accepted connection: sends the challenge.
    pub fn on_accepted(
        &mut self,
        now: TenthMillis,
        connection: ConnectionId,
        actions: &mut Vec<ServerAction>,
    ) {
        let mut nonce = Nonce::default();
        nonce::refresh(&mut nonce, &mut self.rng);
        self.connections
            .insert(connection, Connection::Challenged { nonce, since: now });
        let frame = Frame::Challenge(Challenge {
            min_version: VERSION,
            max_version: VERSION,
            nonce,
            name: self.config.name.clone(),
        });
        actions.push(ServerAction::Send { connection, frame });
    }

    /// Handles the end of a connection: its session is retained for the session time-out.
    pub fn on_disconnected(&mut self, now: TenthMillis, connection: ConnectionId) {
        if let Some(Connection::Established { session, .. }) = self.connections.remove(&connection)
            && let Some(session) = self.sessions.get_mut(&session)
        {
            session.detach(connection, now);
        }
    }

    /// Closes connections that are idle or have not completed their handshake in time.
    pub(super) fn close_idle(&mut self, now: TenthMillis, actions: &mut Vec<ServerAction>) {
        let idle: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| now >= connection.deadline(&self.config))
            .map(|(id, _)| *id)
            .collect();
        for connection in idle {
            self.refuse(now, connection, ServerCloseReason::IdleTimeout, actions);
        }
    }

    /// Closes a connection for a fault of its client, and sends the reason to the client.
    pub(super) fn refuse(
        &mut self,
        now: TenthMillis,
        connection: ConnectionId,
        reason: ServerCloseReason,
        actions: &mut Vec<ServerAction>,
    ) {
        let frame = Frame::Refuse {
            reason: reason.to_string(),
        };
        actions.push(ServerAction::Send { connection, frame });
        actions.push(ServerAction::Close { connection, reason });
        self.on_disconnected(now, connection);
    }

    /// Returns the connections of all sessions that have one.
    pub(super) fn established(&self) -> impl Iterator<Item = ConnectionId> {
        self.sessions.values().filter_map(Session::connection)
    }
}
