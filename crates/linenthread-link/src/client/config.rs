//! The client's configuration, and the actions that it requests from its driver.

use linenthread_core::interface::{AttemptOutcome, TenthMillis};
use snafu::Snafu;

use crate::frame::{Frame, Member, VERSION};
use crate::id::{CallId, ProbeId};

/// The configuration of a [`LinkClient`](super::LinkClient). All times are in tenths of a millisecond.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientConfig {
    /// The client's name, for the server's log.
    pub name: String,
    /// The maximum number of pending calls; further ones fail at once.
    pub max_in_flight: usize,
    /// The maximum total size of queued calls in bytes, to limit the memory used while the link is stalled.
    pub max_queued_bytes: u64,
    /// How long a session is retained after its connection is lost; outcomes can still arrive until then.
    pub session_timeout: TenthMillis,
    /// The time between two pings.
    pub ping_interval: TenthMillis,
    /// The longest time for which a call waits for credit or for the connection; after that the caller should use
    /// another route. A link that is re-established within this time is not reported as down.
    pub grace_period: TenthMillis,
    /// The backoff before the first reconnect; it doubles with each failure and has random jitter.
    pub min_backoff: TenthMillis,
    /// The maximum backoff, without jitter. A connection that lasted longer resets the count of failures.
    pub max_backoff: TenthMillis,
}

/// An action for the driver of a [`LinkClient`](super::LinkClient).
#[derive(Clone, Debug, PartialEq)]
pub enum ClientAction {
    /// Connect to the server.
    Connect,
    /// Close the connection; frames still read from it are ignored.
    Close(ClientCloseReason),
    /// Write this frame. When a call has been written completely, [`LinkClient::on_call_written`] must be called.
    ///
    /// [`LinkClient::on_call_written`]: super::LinkClient::on_call_written
    Send(Frame),
    /// A call has completed. Reported exactly once for each call that is not withdrawn.
    CallCompleted {
        /// The call.
        id: CallId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The number of sub-requests queued at the replica, if it reports it.
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
        /// The number of sub-requests queued at the replica, if it reports it.
        queue_depth: Option<f64>,
    },
    /// The replicas behind the link have changed.
    Members(MembersReport),
    /// The link's availability has changed.
    Availability(LinkAvailability),
}

/// The availability of a link for calls, as reported to its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAvailability {
    /// Calls are accepted. After a short interruption they are queued until the connection is re-established.
    Up,
    /// Calls are rejected.
    Down,
}

/// A server's report about the replicas behind it.
#[derive(Clone, Debug, PartialEq)]
pub enum MembersReport {
    /// All replicas; those not listed have been removed.
    Complete(Vec<Member>),
    /// The replicas that are new, changed or removed; the others are unchanged.
    Changes(Vec<Member>),
}

/// The reason for which a client closes its connection.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum ClientCloseReason {
    /// The handshake did not complete in time.
    #[snafu(display("no welcome in time"))]
    HandshakeTimeout,
    /// Nothing was received within two ping intervals and the time-out of a reply.
    #[snafu(display("nothing received in time"))]
    IdleTimeout,
    /// The session timed out during the handshake, when the hello may already have named it.
    #[snafu(display("the session has been without a connection for too long"))]
    SessionExpired,
    /// The server does not support this client's version.
    #[snafu(display(
        "the server speaks the versions {min_version} to {max_version}, not {VERSION}"
    ))]
    UnsupportedVersion {
        /// The lowest version that the server supports.
        min_version: u8,
        /// The highest version that the server supports.
        max_version: u8,
    },
    /// The server's proof is wrong.
    #[snafu(display("the server does not prove that it knows the secret"))]
    Unauthenticated,
    /// The server refused the connection.
    #[snafu(display("rejected by the server: {reason}"))]
    Refused {
        /// The server's reason.
        reason: String,
    },
    /// An update of the members was missed; the complete list is sent on the next connection.
    #[snafu(display("a change of the server's members is missing"))]
    MissedMembersUpdate,
    /// A frame that is not valid in the connection's state.
    #[snafu(display("an unexpected frame"))]
    UnexpectedFrame,
}
