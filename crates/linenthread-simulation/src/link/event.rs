//! What happens at a moment of simulated time.

use linenthread_link::frame::CallOutcome;
use linenthread_link::{CallId, ConnectionId, Frame, SessionId};

/// What happens at a moment.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Event {
    ClientTimeout,
    ServerTimeout,
    /// A connection that was asked for is open, or cannot be opened.
    Connected {
        connection: ConnectionId,
        open: bool,
    },
    /// The client has written the last byte of a frame; it arrives after that.
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
    /// The client is notified that the connection is gone.
    ClientDisconnected(ConnectionId),
    /// The server is notified that the connection is gone.
    ServerDisconnected(ConnectionId),
    /// A call that the server has started has ended.
    CallRan {
        incarnation: u64,
        session: SessionId,
        outcome: CallOutcome,
    },
    /// The client's user makes a call.
    MakeCall,
    /// The client's user gives a call up.
    Deadline(CallId),
    Fault,
}
