//! The simulated connections between the two ends.

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;
use linenthread_link::ConnectionId;

/// A direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Direction {
    ToServer,
    ToClient,
}

/// A connection between the two ends.
pub(super) struct Connection {
    /// Whether frames get through to the server.
    pub(super) to_server: bool,
    /// Whether frames get through to the client.
    pub(super) to_client: bool,
    /// When frames started to be lost without either end being notified.
    pub(super) silent_since: Option<TenthMillis>,
    last_arrival_at_server: TenthMillis,
    last_arrival_at_client: TenthMillis,
}

impl Connection {
    pub(super) fn new(now: TenthMillis) -> Connection {
        Connection {
            to_server: true,
            to_client: true,
            silent_since: None,
            last_arrival_at_server: now,
            last_arrival_at_client: now,
        }
    }

    /// Returns the arrival time of the last frame in a direction. Later frames arrive after it, since frames keep their
    /// order.
    pub(super) fn last_arrival(&mut self, direction: Direction) -> &mut TenthMillis {
        match direction {
            Direction::ToServer => &mut self.last_arrival_at_server,
            Direction::ToClient => &mut self.last_arrival_at_client,
        }
    }

    /// Cuts the connection: no frame gets through any more.
    pub(super) fn disconnect(&mut self) {
        (self.to_server, self.to_client) = (false, false);
    }
}

/// All connections of a run.
#[derive(Default)]
pub(super) struct Connections {
    pub(super) all: BTreeMap<ConnectionId, Connection>,
    /// The connection that the client uses, or that is being opened for it.
    pub(super) current: Option<ConnectionId>,
}

impl Connections {
    /// Reports whether frames of a connection get through to the server.
    pub(super) fn reaches_server(&self, id: ConnectionId) -> bool {
        self.all.get(&id).is_some_and(|c| c.to_server)
    }

    /// Reports whether frames of a connection get through to the client.
    pub(super) fn reaches_client(&self, id: ConnectionId) -> bool {
        self.all.get(&id).is_some_and(|c| c.to_client)
    }

    /// Reports whether this is the connection that the client uses.
    pub(super) fn is_current(&self, id: ConnectionId) -> bool {
        self.current == Some(id)
    }

    /// Returns the client's connection, if it is open.
    pub(super) fn current_mut(&mut self) -> Option<(ConnectionId, &mut Connection)> {
        let id = self.current?;
        Some((id, self.all.get_mut(&id)?))
    }
}
