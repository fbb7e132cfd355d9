//! The connections of a process: dialling, accepting, decoding frames, pinging and closing.

use linenthread_core::interface::TenthMillis;
use linenthread_store::Files;

use super::connection::{Connection, Phase, Timer};
use super::{Fleet, FleetAction};
use crate::event::ConnectionEvent;
use crate::frame::{Frame, VERSION};
use crate::identifiers::ConnectionId;

/// Maximum number of connections: the maximum number of members of a fleet, and some more in their handshake.
const MAX_CONNECTIONS: usize = 1_280;
/// Maximum length of a peer's reason in this process's own reason for closing, in characters.
const MAX_REASON_CHARS: usize = 160;

/// Sent to the peer in [`Frame::Refuse`] if a frame of another kind was expected; part of the wire format.
pub(super) const UNEXPECTED_FRAME: &str = "a frame came out of its turn";

impl<F: Files> Fleet<F> {
    /// Starts the connection attempts that are due.
    pub(super) fn start_connection_attempts(
        &mut self,
        now: TenthMillis,
        actions: &mut Vec<FleetAction>,
    ) {
        let last_connection = &mut self.last_connection;
        let attempts = self.dialer.start_attempts(now, || next_id(last_connection));
        for attempt in attempts {
            let phase = Phase::AwaitingChallenge { peer: attempt.name };
            let connection = Connection::new(phase, now);
            self.connections.insert(attempt.connection, connection);
            actions.push(FleetAction::Dial {
                connection: attempt.connection,
                address: attempt.address,
            });
        }
    }

    /// Handles an accepted connection. Returns its id, or `None` if there are too many connections.
    pub fn on_accepted(
        &mut self,
        now: TenthMillis,
        actions: &mut Vec<FleetAction>,
    ) -> Option<ConnectionId> {
        if self.connections.len() >= MAX_CONNECTIONS {
            return None;
        }
        let id = next_id(&mut self.last_connection);
        let nonce = self.draw_nonce();
        let phase = Phase::AwaitingHello { nonce };
        self.connections.insert(id, Connection::new(phase, now));
        let challenge = Frame::Challenge {
            min_version: VERSION,
            max_version: VERSION,
            nonce,
            name: self.local.clone(),
        };
        write(id, &challenge, actions);
        Some(id)
    }

    /// Handles bytes that were received over a connection.
    pub fn on_received(
        &mut self,
        now: TenthMillis,
        id: ConnectionId,
        bytes: &[u8],
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let received = connection.on_received(now, bytes);
        for frame in received.frames {
            self.on_frame(now, id, frame, actions);
        }
        if let Err(error) = received.result {
            self.refuse(id, &error.to_string(), actions);
        }
    }

    /// Handles a frame. Until the peer is authenticated, only handshake frames and refusals are accepted; see
    /// `handshake` and `replication`.
    fn on_frame(
        &mut self,
        now: TenthMillis,
        id: ConnectionId,
        frame: Frame,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        match (&connection.phase, frame) {
            (Phase::Closing, _) => {}
            (_, Frame::Refuse { reason }) => {
                let reason: String = reason.chars().take(MAX_REASON_CHARS).collect();
                self.close(id, &format!("rejected by the peer: {reason}"), actions);
            }
            (Phase::Established(peer), frame) => {
                let peer = peer.clone();
                self.on_established_frame(now, id, &peer, frame, actions);
            }
            (_, frame) => self.on_handshake_frame(id, frame, actions),
        }
    }

    /// Sends the pings that are due, and closes connections that have timed out.
    pub(super) fn check_connections(&mut self, now: TenthMillis, actions: &mut Vec<FleetAction>) {
        let mut timed_out = Vec::new();
        for (&id, connection) in &mut self.connections {
            match connection.expired_timer(now) {
                None => {}
                Some(Timer::Close(reason)) => timed_out.push((id, reason)),
                Some(Timer::Ping) => {
                    connection.on_ping_sent(now);
                    let number = now.cast_unsigned();
                    write(id, &Frame::Ping { number }, actions);
                }
            }
        }
        for (id, reason) in timed_out {
            self.close(id, reason, actions);
        }
    }

    /// Handles a connection that has ended, or could not be established.
    pub fn on_closed(
        &mut self,
        now: TenthMillis,
        id: ConnectionId,
        actions: &mut Vec<FleetAction>,
    ) {
        self.dialer.on_closed(now, id);
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        if let Some(peer) = self.remove_established(id, connection.phase) {
            let disconnected = ConnectionEvent::Disconnected { peer };
            actions.push(FleetAction::LogConnection(disconnected));
        }
    }

    /// Removes a connection that was in this phase from the established ones. Returns the peer's name if it was one of
    /// them.
    fn remove_established(&mut self, id: ConnectionId, phase: Phase) -> Option<String> {
        let Phase::Established(peer) = phase else {
            return None;
        };
        // A newer connection with the same peer may have replaced it.
        if self.established.get(&peer.name) != Some(&id) {
            return None;
        }
        self.established.remove(&peer.name);
        if let Some(voter) = &mut self.voter {
            voter.on_disconnected(&peer.name);
        }
        Some(peer.name)
    }

    pub(super) fn close(&mut self, id: ConnectionId, reason: &str, actions: &mut Vec<FleetAction>) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let phase = std::mem::replace(&mut connection.phase, Phase::Closing);
        self.remove_established(id, phase);
        actions.push(FleetAction::Close {
            connection: id,
            reason: reason.to_owned(),
        });
    }

    /// Sends the peer the reason, and closes the connection.
    pub(super) fn refuse(
        &mut self,
        id: ConnectionId,
        reason: &str,
        actions: &mut Vec<FleetAction>,
    ) {
        self.refused += 1;
        let refusal = Frame::Refuse {
            reason: reason.to_owned(),
        };
        write(id, &refusal, actions);
        self.close(id, reason, actions);
    }
}

fn next_id(last: &mut ConnectionId) -> ConnectionId {
    last.0 += 1;
    *last
}

pub(super) fn write(id: ConnectionId, frame: &Frame, actions: &mut Vec<FleetAction>) {
    actions.push(FleetAction::Write {
        connection: id,
        bytes: frame.encode(),
    });
}
