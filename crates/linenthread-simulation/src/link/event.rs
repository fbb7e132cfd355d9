//! The events in simulated time.

use linenthread_link::frame::CallOutcome;
use linenthread_link::{CallId, ConnectionId, Frame, SessionId};

/// An event in the queue.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Event {
    ClientTimeout,
    ServerTimeout,
    /// A requested connection is open, or could not be opened.
    Connected {
        connection: ConnectionId,
        open: bool,
    },
    /// The client has written the last byte of a frame, which arrives later.
    Written {
        connection: ConnectionId,
        frame: Frame,
    },
    ArrivesAtServer {
        connection: ConnectionId,
        frame: Frame,
    },
    ArrivesAtClient {
        connection: ConnectionId,
        frame: Frame,
    },
    /// The client is notified that the connection is lost.
    ClientDisconnected(ConnectionId),
    /// The server is notified that the connection is lost.
    ServerDisconnected(ConnectionId),
    /// The server has completed a call.
    CallRan {
        incarnation: u64,
        session: SessionId,
        outcome: CallOutcome,
    },
    /// The user of the client makes a call.
    MakeCall,
    /// The deadline of a call expires.
    Deadline(CallId),
    Fault,
}
