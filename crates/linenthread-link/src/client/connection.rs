//! The connection: how it is opened, lost and closed.

use linenthread_core::interface::TenthMillis;

use super::availability::Availability;
use super::{ClientAction, ClientCloseReason, LinkClient};

/// The state of the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Connection {
    Disconnected {
        retry_at: TenthMillis,
    },
    Connecting,
    /// Connected; only the hello is sent until the welcome arrives.
    Handshaking {
        since: TenthMillis,
    },
    Established {
        since: TenthMillis,
        /// The server has sent a goodbye; no new calls are sent to it.
        server_draining: bool,
    },
}

impl LinkClient {
    /// Handles the opening of the connection requested by [`ClientAction::Connect`].
    pub fn on_connected(&mut self, now: TenthMillis) {
        self.connection = Connection::Handshaking { since: now };
        self.heartbeat.on_received(now);
    }

    /// Handles the end of the connection, or a failed attempt to open it.
    pub fn on_disconnected(&mut self, now: TenthMillis, actions: &mut Vec<ClientAction>) {
        match self.connection {
            Connection::Disconnected { .. } => return,
            Connection::Connecting | Connection::Handshaking { .. } => {}
            Connection::Established { since, .. } => {
                self.backoff.on_connection_ended(now - since);
                if self.availability == Availability::Up {
                    self.set_availability(Availability::Interrupted { since: now }, actions);
                }
            }
        }
        self.connection = Connection::Disconnected {
            retry_at: now + self.backoff.next(&mut self.rng),
        };
        self.heartbeat.on_disconnected();
        self.fail_probes(actions);
        self.fail_incompletely_written(actions);
        self.session.on_disconnected(now);
    }

    pub(super) fn close(
        &mut self,
        now: TenthMillis,
        reason: ClientCloseReason,
        actions: &mut Vec<ClientAction>,
    ) {
        actions.push(ClientAction::Close(reason));
        self.on_disconnected(now, actions);
    }

    /// Connects, closes a connection that has timed out, or sends a ping, if one of these is due.
    pub(super) fn on_connection_timeout(
        &mut self,
        now: TenthMillis,
        actions: &mut Vec<ClientAction>,
    ) {
        match self.connection {
            Connection::Disconnected { retry_at } if now >= retry_at => {
                self.connection = Connection::Connecting;
                actions.push(ClientAction::Connect);
            }
            Connection::Handshaking { since } if now >= since + self.heartbeat.idle_timeout() => {
                self.close(now, ClientCloseReason::HandshakeTimeout, actions);
            }
            Connection::Established { .. } if now >= self.heartbeat.idle_deadline() => {
                self.close(now, ClientCloseReason::IdleTimeout, actions);
            }
            Connection::Established { .. } if now >= self.heartbeat.next_ping() => {
                self.send_ping(now, actions);
            }
            Connection::Disconnected { .. }
            | Connection::Connecting
            | Connection::Handshaking { .. }
            | Connection::Established { .. } => {}
        }
    }

    /// Returns when [`LinkClient::on_connection_timeout`] must be called next.
    pub(super) fn connection_deadline(&self) -> TenthMillis {
        match self.connection {
            Connection::Disconnected { retry_at } => retry_at,
            // The driver reports when the connection is open or has failed.
            Connection::Connecting => TenthMillis::MAX,
            Connection::Handshaking { since } => since + self.heartbeat.idle_timeout(),
            Connection::Established { .. } => self
                .heartbeat
                .next_ping()
                .min(self.heartbeat.idle_deadline()),
        }
    }
}
