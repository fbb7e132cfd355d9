//! The events in simulated time.

use linenthread_fleet::ConnectionId;

/// An index into the world's processes.
pub(super) type ProcessIndex = usize;
/// A link's number in the network.
pub(super) type LinkNumber = u64;

/// A side of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Side {
    /// The process that opens the connection.
    Connecting,
    /// The process that accepts the connection.
    Accepting,
}

impl Side {
    pub(super) fn other(self) -> Side {
        match self {
            Side::Connecting => Side::Accepting,
            Side::Accepting => Side::Connecting,
        }
    }
}

/// An event in the queue.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Event {
    /// A timer of a process expires. It is ignored unless the number is that of the newest timer.
    Wake(ProcessIndex, u64),
    /// A connection attempt arrives.
    Connect {
        from: ProcessIndex,
        /// The connection's id at the connecting process.
        connection: ConnectionId,
        to: ProcessIndex,
    },
    /// Bytes arrive at a side of a link.
    Bytes {
        link: LinkNumber,
        side: Side,
        bytes: Vec<u8>,
    },
    /// A side of a link is notified that the connection is closed.
    Closed { link: LinkNumber, side: Side },
    /// A datagram arrives.
    Datagram { to: ProcessIndex, bytes: Vec<u8> },
    /// A process starts.
    Start(ProcessIndex),
    /// A paused process resumes.
    Resume(ProcessIndex),
    /// A random process crashes and restarts within 50 ms.
    Restart,
    /// All partitions end.
    Heal,
    /// A random fault is injected.
    Fault,
    /// Each leader proposes a value.
    Propose,
}
