//! The server's configuration, and the actions that it requests from its driver.

use linenthread_core::interface::TenthMillis;
use snafu::Snafu;

use crate::frame::{Call, Frame};
use crate::id::{CallNumber, ConnectionId, ProbeId, SessionId};

/// The configuration of a [`LinkServer`](super::LinkServer). All times are in tenths of a millisecond.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerConfig {
    /// The server's name, for the client's log.
    pub name: String,
    /// The maximum number of calls of a session that are running or whose outcome is retained.
    pub window_calls: u64,
    /// The maximum total size of these calls, in bytes.
    pub window_bytes: u64,
    /// How long a session is retained without a connection.
    pub session_timeout: TenthMillis,
    /// The maximum number of sessions; further clients are refused.
    pub max_sessions: usize,
    /// The time within which a client must prove that it knows the secret.
    pub handshake_timeout: TenthMillis,
    /// How long an established connection may receive nothing before it is closed.
    pub idle_timeout: TenthMillis,
}

/// An action for the driver of a [`LinkServer`](super::LinkServer).
#[derive(Clone, Debug, PartialEq)]
pub enum ServerAction {
    /// Write a frame.
    Send {
        /// The connection to write to.
        connection: ConnectionId,
        /// The frame to write.
        frame: Frame,
    },
    /// Close a connection, after the frames that are still to be written.
    Close {
        /// The connection to close.
        connection: ConnectionId,
        /// The reason, for the log.
        reason: ServerCloseReason,
    },
    /// Forward a call to its replica, and report its outcome by [`LinkServer::on_call_completed`].
    ///
    /// [`LinkServer::on_call_completed`]: super::LinkServer::on_call_completed
    StartCall {
        /// The call's session.
        session: SessionId,
        /// The call's number in the session.
        number: CallNumber,
        /// How long the client waits for its outcome, in tenths of a millisecond.
        timeout: TenthMillis,
        /// The call.
        call: Call,
    },
    /// Cancel a running call; its outcome is no longer needed.
    CancelCall {
        /// The call's session.
        session: SessionId,
        /// The call's number in the session.
        number: CallNumber,
    },
    /// Check a replica's health and send the outcome as [`Frame::Probed`].
    Probe {
        /// The connection to send the outcome to.
        connection: ConnectionId,
        /// The probe's id.
        id: ProbeId,
        /// The replica's id.
        replica: String,
    },
}

/// The reason for which a server closes a connection. The texts are sent to the client in [`Frame::Refuse`] and are
/// part of the wire format, except those of `Superseded` and `SessionDropped`, which are only logged.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum ServerCloseReason {
    /// The first frame was not a hello.
    #[snafu(display("a hello must come first"))]
    HelloExpected,
    /// The client chose a version that this server does not support.
    #[snafu(display("no such version is spoken here"))]
    UnsupportedVersion,
    /// The client's proof is wrong.
    #[snafu(display("the hello does not prove that it knows the secret"))]
    Unauthenticated,
    /// A newer hello of the session was received before this one.
    #[snafu(display("the session has said a newer hello"))]
    StaleHello,
    /// The maximum number of sessions is retained.
    #[snafu(display("no room for a session"))]
    TooManySessions,
    /// The client established a newer connection for the session.
    #[snafu(display("the session continues on another connection"))]
    Superseded,
    /// A call is not the session's next, or exceeds the credit.
    #[snafu(display("a call beyond its turn or its credit"))]
    UnexpectedCall,
    /// The client sent a frame of a kind that it must not send in this state.
    #[snafu(display("a frame that has no place here"))]
    UnexpectedFrame,
    /// The handshake did not complete in time, or nothing was received within the idle time-out.
    #[snafu(display("nothing is heard"))]
    IdleTimeout,
    /// The session was dropped.
    #[snafu(display("the session was dropped"))]
    SessionDropped,
    /// The client refused the connection.
    #[snafu(display("{reason}"))]
    Refused {
        /// The client's reason.
        reason: String,
    },
}
