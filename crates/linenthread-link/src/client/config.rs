//! What the client is configured with, and what it asks its driver to do.

use linenthread_core::interface::{AttemptOutcome, TenthMillis};
use snafu::Snafu;

use crate::frame::{Frame, Member, VERSION};
use crate::id::{CallId, ProbeId};

/// The configuration of a [`LinkClient`](super::LinkClient). All times are in tenths of a millisecond.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientConfig {
    /// The client's name, for the server's log.
    pub name: String,
    /// The most calls that have not completed; further ones fail at once.
    pub max_in_flight: usize,
    /// The most bytes of queued calls, so that a stalled link does not fill the memory.
    pub max_queued_bytes: u64,
    /// How long a session outlives its connection: until then outcomes may still arrive.
    pub session_timeout: TenthMillis,
    /// The time between two pings.
    pub ping_interval: TenthMillis,
    /// The longest wait of a call for credit or for a lost link: what cannot be sent soon is better sent by
    /// another way. A link that is back sooner is not reported as down.
    pub grace_period: TenthMillis,
    /// The wait before the first reconnect; it doubles with each failure, and is randomized.
    pub min_backoff: TenthMillis,
    /// The longest wait before a reconnect. A connection that has lasted longer resets the count of failures.
    pub max_backoff: TenthMillis,
}

/// What the driver of a [`LinkClient`](super::LinkClient) is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientAction {
    /// Connect to the server.
    Connect,
    /// Close the connection; nothing that is read from it counts any more.
    Close(ClientCloseReason),
    /// Write this frame. When a call is written completely, [`LinkClient::on_call_written`] must be called.
    ///
    /// [`LinkClient::on_call_written`]: super::LinkClient::on_call_written
    Send(Frame),
    /// A call has completed; this happens once for each call that was not withdrawn.
    CallCompleted {
        /// The call.
        id: CallId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Sub-requests that the replica says it has queued, where it does.
        queue_depth: Option<f64>,
        /// The response; empty if there is none.
        value: String,
    },
    /// A health check has completed.
    ProbeCompleted {
        /// The health check.
        id: ProbeId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Sub-requests that the replica says it has queued, where it does.
        queue_depth: Option<f64>,
    },
    /// The replicas behind the link have changed.
    Members(MembersReport),
    /// Whether calls are accepted has changed.
    Availability(LinkAvailability),
}

/// Whether a link accepts calls, as its driver sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAvailability {
    /// Calls are accepted. If the connection was just lost they wait for it.
    Up,
    /// Calls are rejected.
    Down,
}

/// What a server reports of the replicas behind it.
#[derive(Clone, Debug, PartialEq)]
pub enum MembersReport {
    /// All replicas: those not listed are gone.
    Complete(Vec<Member>),
    /// The replicas that have changed; the others are as before.
    Changes(Vec<Member>),
}

/// Why a client closes its connection.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum ClientCloseReason {
    /// The handshake takes too long.
    #[snafu(display("no welcome in time"))]
    HandshakeTimeout,
    /// Nothing was received for longer than pings and their answers take.
    #[snafu(display("nothing received in time"))]
    IdleTimeout,
    /// The session has timed out while the connection was being established; the hello names the old session.
    #[snafu(display("the session has been without a connection for too long"))]
    SessionExpired,
    /// The server does not speak this client's version.
    #[snafu(display(
        "the server speaks the versions {min_version} to {max_version}, not {VERSION}"
    ))]
    UnsupportedVersion {
        /// The lowest version that the server speaks.
        min_version: u8,
        /// The highest version that the server speaks.
        max_version: u8,
    },
    /// The server's proof is wrong.
    #[snafu(display("the server does not prove that it knows the secret"))]
    Unauthenticated,
    /// The server has refused the connection.
    #[snafu(display("rejected by the server: {reason}"))]
    Refused {
        /// The server's reason.
        reason: String,
    },
    /// A change of the members was missed; the complete list comes with the next connection.
    #[snafu(display("a change of the server's members is missing"))]
    MissedMembersUpdate,
    /// A frame that is not valid in the connection's state.
    #[snafu(display("an unexpected frame"))]
    UnexpectedFrame,
}
