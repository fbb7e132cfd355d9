//! The actions that a process of the fleet requests from its caller.

use std::net::SocketAddr;

use crate::event::{ConnectionEvent, FleetEvent};
use crate::identifiers::ConnectionId;
use crate::node_identity::NodeIdentity;
use crate::state_table::CommittedValue;

/// An action for the caller, or a notification; they must be handled in order.
#[derive(Debug)]
pub enum FleetAction {
    /// Open a connection.
    Dial {
        /// The id of the new connection.
        connection: ConnectionId,
        /// The address to connect to.
        address: SocketAddr,
    },
    /// Write to a connection.
    Write {
        /// The connection.
        connection: ConnectionId,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Close a connection once all earlier writes to it are done.
    Close {
        /// The connection.
        connection: ConnectionId,
        /// Why, for the log.
        reason: String,
    },
    /// Send a datagram.
    SendDatagram {
        /// The address to send it to.
        to: SocketAddr,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// A value was committed.
    Committed(CommittedValue),
    /// A member is alive, or has returned under a new identity.
    MemberUp(NodeIdentity),
    /// A member is down, or has left.
    MemberDown(NodeIdentity),
    /// A report was received from another process, or this process is the leader and has made a report itself.
    Report {
        /// Name of the reporting process.
        from: String,
        /// The report.
        bytes: Vec<u8>,
    },
    /// Log a change of a connection's state.
    LogConnection(ConnectionEvent),
    /// Log an event.
    Log(FleetEvent),
}
