//! The simulated connections between the two ends.

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;
use linenthread_link::ConnectionId;

/// One way of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Direction {
    ToServer,
    ToClient,
}

/// A connection, as the network has it.
pub(super) struct Connection {
    /// Frames still get through to the server.
    pub(super) to_server: bool,
    /// Frames still get through to the client.
    pub(super) to_client: bool,
    /// Since when frames are lost without either end being notified.
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

    /// When the last frame of a direction arrives: frames keep their order.
    pub(super) fn last_arrival(&mut self, direction: Direction) -> &mut TenthMillis {
        match direction {
            Direction::ToServer => &mut self.last_arrival_at_server,
            Direction::ToClient => &mut self.last_arrival_at_client,
        }
    }

    /// No frame gets through any more.
    pub(super) fn disconnect(&mut self) {
        (self.to_server, self.to_client) = (false, false);
    }
}

/// All connections of a run.
#[derive(Default)]
pub(super) struct Connections {
    pub(super) all: BTreeMap<ConnectionId, Connection>,
    /// The one that the client uses.
    pub(super) current: Option<ConnectionId>,
}

impl Connections {
    /// Whether frames of a connection get through to the server.
    pub(super) fn reaches_server(&self, id: ConnectionId) -> bool {
        self.all.get(&id).is_some_and(|c| c.to_server)
    }

    /// Whether frames of a connection get through to the client.
    pub(super) fn reaches_client(&self, id: ConnectionId) -> bool {
        self.all.get(&id).is_some_and(|c| c.to_client)
    }

    /// Whether this is the connection that the client uses.
    pub(super) fn is_current(&self, id: ConnectionId) -> bool {
        self.current == Some(id)
    }

    /// The client's connection, if it is open.
    pub(super) fn current_mut(&mut self) -> Option<(ConnectionId, &mut Connection)> {
        let id = self.current?;
        Some((id, self.all.get_mut(&id)?))
    }
}
