//! What a process of the fleet asks its caller to do.

use std::net::SocketAddr;

use crate::event::{ConnectionEvent, FleetEvent};
use crate::identifiers::ConnectionId;
use crate::node_identity::NodeIdentity;
use crate::state_table::CommittedValue;

/// What the caller has to do, in order.
#[derive(Debug)]
pub enum FleetAction {
    /// Open a connection.
    Dial {
        /// The connection's number from now on.
        connection: ConnectionId,
        /// Where to.
        address: SocketAddr,
    },
    /// Write to a connection.
    Write {
        /// The connection.
        connection: ConnectionId,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Close a connection once everything before is written.
    Close {
        /// The connection.
        connection: ConnectionId,
        /// Why, for the log.
        reason: String,
    },
    /// Send a datagram.
    Datagram {
        /// Where to.
        to: SocketAddr,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// A value was committed.
    Committed(CommittedValue),
    /// A member is alive, or is back.
    MemberUp(NodeIdentity),
    /// A member is down, or has left.
    MemberDown(NodeIdentity),
    /// A report was received from another process, or is this one's own and for the leader here.
    Report {
        /// The process that reports.
        from: String,
        /// The report.
        bytes: Vec<u8>,
    },
    /// Write to the log what has become of a connection.
    LogConnection(ConnectionEvent),
    /// Write to the log.
    Log(FleetEvent),
}
