//! What the server is configured with, and what it asks its driver to do.

use linenthread_core::interface::TenthMillis;
use snafu::Snafu;

use crate::frame::{Call, Frame};
use crate::id::{CallNumber, ConnectionId, ProbeId, SessionId};

/// The configuration of a [`LinkServer`](super::LinkServer). All times are in tenths of a millisecond.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerConfig {
    /// The server's name, for the client's log.
    pub name: String,
    /// The most calls of a session that run or whose outcome is retained.
    pub window_calls: u64,
    /// The most bytes of these calls.
    pub window_bytes: u64,
    /// How long a session without a connection is retained.
    pub session_timeout: TenthMillis,
    /// The most sessions; a client beyond them is refused.
    pub max_sessions: usize,
    /// The time in which a connection must prove that it knows the secret.
    pub handshake_timeout: TenthMillis,
    /// An established connection on which nothing is received for so long is closed.
    pub idle_timeout: TenthMillis,
}

/// What the driver of a [`LinkServer`](super::LinkServer) is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerAction {
    /// Write this frame.
    Send {
        /// Where to.
        connection: ConnectionId,
        /// What.
        frame: Frame,
    },
    /// Close the connection, after what was to be written before.
    Close {
        /// Which one.
        connection: ConnectionId,
        /// Why.
        reason: ServerCloseReason,
    },
    /// Forward a call to its replica, and report its end by [`LinkServer::on_call_completed`].
    ///
    /// [`LinkServer::on_call_completed`]: super::LinkServer::on_call_completed
    StartCall {
        /// The session that it belongs to.
        session: SessionId,
        /// Its number in the session.
        number: CallNumber,
        /// How long the client waits for its outcome, in tenths of a millisecond.
        timeout: TenthMillis,
        /// The call.
        call: Call,
    },
    /// The outcome of a running call is no longer wanted.
    CancelCall {
        /// The session that it belongs to.
        session: SessionId,
        /// Its number in the session.
        number: CallNumber,
    },
    /// Check a replica's health, and send the outcome as [`Frame::Probed`].
    Probe {
        /// Where the outcome goes to.
        connection: ConnectionId,
        /// The probe's id.
        id: ProbeId,
        /// The replica's id.
        replica: String,
    },
}

/// Why a server closes a connection. Except for `Superseded` and `SessionDropped`, which are only logged, the texts are
/// sent to the client in [`Frame::Refuse`]: they are wire format.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum ServerCloseReason {
    /// The first frame was not a hello.
    #[snafu(display("a hello must come first"))]
    HelloExpected,
    /// The client has chosen a version that this server does not speak.
    #[snafu(display("no such version is spoken here"))]
    UnsupportedVersion,
    /// The client's proof is wrong.
    #[snafu(display("the hello does not prove that it knows the secret"))]
    Unauthenticated,
    /// A newer hello of the session came before this one.
    #[snafu(display("the session has said a newer hello"))]
    StaleHello,
    /// As many sessions are retained as may be.
    #[snafu(display("no room for a session"))]
    TooManySessions,
    /// The client has established another connection for the session.
    #[snafu(display("the session continues on another connection"))]
    Superseded,
    /// A call that is not the session's next, or that exceeds the credit.
    #[snafu(display("a call beyond its turn or its credit"))]
    UnexpectedCall,
    /// A frame that only a server sends.
    #[snafu(display("a frame that has no place here"))]
    UnexpectedFrame,
    /// Nothing was received for the handshake's time-out or the idle time-out.
    #[snafu(display("nothing is heard"))]
    IdleTimeout,
    /// The session is dropped.
    #[snafu(display("the session was dropped"))]
    SessionDropped,
    /// The client has refused the connection.
    #[snafu(display("{reason}"))]
    Refused {
        /// The client's reason.
        reason: String,
    },
}
