//! The outcome of an attempt, derived from what was observed on its connection.
//!
//! Only this module decides whether an attempt may have run ([`SendState`]). Whether its sub-request may be sent again
//! is checked twice, so that a single fault cannot make a request run twice:
//!
//! - by the decision module (`send_guard` in `linenthread-core`), which sees only the [`AttemptOutcome`] and calls
//!   [`AttemptOutcome::never_ran`];
//! - by the dispatcher, which calls [`may_retry`] with the [`SendState`] before it passes an attempt to a pool.
//!
//! [`Outcome::from_wire_event`] derives both from the same observation, and they agree for every observation.

use linenthread_config::Mode;
use linenthread_core::interface::AttemptOutcome;
use linenthread_http::Head;

/// How far an attempt got, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendState {
    /// No byte of the request left this process.
    NotSent,
    /// The replica, or another one that now has its address, states that it did not run the request.
    Rejected,
    /// Any other case: the request may be running, may have run, or may run later.
    MayHaveRun,
}

/// Reports whether an attempt may be sent when earlier attempts of the same sub-request got no further than
/// `furthest`.
pub fn may_retry(mode: Mode, furthest: SendState) -> bool {
    match (mode, furthest) {
        (Mode::Idempotent, _) | (Mode::Mutating, SendState::NotSent | SendState::Rejected) => true,
        (Mode::Mutating, SendState::MayHaveRun) => false,
    }
}

/// Whether a connection carried earlier requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAge {
    /// The attempt is the first on the connection: nothing that arrives can belong to an earlier request.
    New,
    /// An unsolicited extra response to an earlier request may still arrive.
    Reused,
}

/// How a replica's response is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseUse {
    /// The response goes to the client unchanged.
    Forwarded,
    /// The response is merged with those of other backends, so only a success is usable.
    Merged,
}

/// What was observed on the connection of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireEvent {
    /// This process already has the maximum number of connections to the replica.
    PoolExhausted,
    /// No connection was established in time.
    ConnectFailed,
    /// The connection failed, or accepted nothing, before a byte of the request was written.
    NothingWritten,
    /// The connection failed, or stopped accepting bytes, after some were written.
    WriteTruncated,
    /// The connection was closed or reset before any byte of a response arrived.
    ClosedBeforeResponse,
    /// The connection was closed or reset within the head or the body of a response.
    ResponseTruncated,
    /// No complete response arrived in time.
    TimedOut,
    /// The received bytes are not a valid response, or exceed the size limits.
    Malformed,
    /// A response arrived that cannot be matched to this request.
    Unattributed,
    /// Another replica now has the address and identifies itself.
    Misdirected,
    /// The replica states that it did not run the request.
    NotExecuted,
    /// A success with the replica's seal.
    Success,
    /// A success without a seal, which must not be forwarded.
    Unsealed,
    /// The replica rejects the request as such (3xx, 4xx).
    RequestRejected,
    /// The replica failed (5xx).
    ServerError,
}

impl WireEvent {
    /// Reports whether, after a complete response, the connection is known to be in sync: the next response on it will
    /// belong to the next request.
    pub(crate) fn leaves_connection_in_sync(self) -> bool {
        !matches!(self, WireEvent::Unattributed | WireEvent::Misdirected)
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The outcome as the decision module sees it, which rates the replica by it.
    pub attempt_outcome: AttemptOutcome,
    /// How far the attempt got, for the retry rules ([`may_retry`]).
    pub send_state: SendState,
}

impl Outcome {
    /// Derives the outcome of an attempt from an observation on a connection of this age.
    pub fn from_wire_event(
        event: WireEvent,
        age: ConnectionAge,
        response_use: ResponseUse,
    ) -> Outcome {
        Outcome {
            attempt_outcome: attempt_outcome(event, age, response_use),
            send_state: send_state(event),
        }
    }
}

fn send_state(event: WireEvent) -> SendState {
    match event {
        WireEvent::PoolExhausted | WireEvent::ConnectFailed | WireEvent::NothingWritten => {
            SendState::NotSent
        }
        WireEvent::Misdirected | WireEvent::NotExecuted => SendState::Rejected,
        WireEvent::WriteTruncated
        | WireEvent::ClosedBeforeResponse
        | WireEvent::ResponseTruncated
        | WireEvent::TimedOut
        | WireEvent::Malformed
        | WireEvent::Unattributed
        | WireEvent::Success
        | WireEvent::Unsealed
        | WireEvent::RequestRejected
        | WireEvent::ServerError => SendState::MayHaveRun,
    }
}

/// Derives the outcome that the decision module sees, which determines what counts against the replica.
fn attempt_outcome(
    event: WireEvent,
    age: ConnectionAge,
    response_use: ResponseUse,
) -> AttemptOutcome {
    match event {
        WireEvent::PoolExhausted => AttemptOutcome::NotSent,
        // Misdirected: another replica has the address now, so the intended one cannot be reached there, as if the
        // connection had been refused. `Rejected` would mean that it is overloaded and may be tried again soon.
        WireEvent::ConnectFailed | WireEvent::Misdirected => AttemptOutcome::ConnectFailed,
        // A replica may close an idle connection at any time, so this counts against it only on a new connection.
        WireEvent::NothingWritten => match age {
            ConnectionAge::New => AttemptOutcome::ConnectFailed,
            ConnectionAge::Reused => AttemptOutcome::NotSent,
        },
        // As above, but bytes were written, so the request may have run and the outcome is not `NotSent`. `Error`
        // counts as one failure; unlike `ConnectionLost`, it neither marks the replica down nor counts as a suspected
        // crash.
        WireEvent::WriteTruncated | WireEvent::ClosedBeforeResponse => match age {
            ConnectionAge::New => AttemptOutcome::ConnectionLost,
            ConnectionAge::Reused => AttemptOutcome::Error,
        },
        WireEvent::NotExecuted => AttemptOutcome::Rejected,
        WireEvent::TimedOut => AttemptOutcome::TimedOut,
        WireEvent::Success => AttemptOutcome::Success,
        // The replica is healthy, and the client gets the response unchanged; it contains nothing to merge.
        WireEvent::RequestRejected => match response_use {
            ResponseUse::Forwarded => AttemptOutcome::Success,
            ResponseUse::Merged => AttemptOutcome::Error,
        },
        // The replica sent bytes, so it is up, but nothing usable. A truncated or malformed response counts like a
        // failure of the replica.
        WireEvent::ServerError
        | WireEvent::Unsealed
        | WireEvent::ResponseTruncated
        | WireEvent::Malformed
        | WireEvent::Unattributed => AttemptOutcome::Error,
    }
}

/// Classifies a complete response. It is matched to the request in flight by its id, its connection and its position
/// on the connection.
///
/// Replicas echo the id in every response to a request that they read. A response without an id answers something that
/// the replica did not read, or was sent before the replica read the request. It is never forwarded, and its statement
/// that nothing ran counts only where no earlier request on the connection can have caused it.
pub fn classify_response(
    head: &Head,
    request_id: &str,
    replica_id: &str,
    age: ConnectionAge,
) -> WireEvent {
    let id = Header::of(head, "x-attempt-id");
    let has_request_id = id == Header::Once(request_id);
    let has_other_id = !has_request_id && id != Header::Absent;
    // An encoded body differs from the bytes that the replica sealed.
    if has_other_id || head.header("content-encoding").is_some() {
        return WireEvent::Unattributed;
    }
    let is_sealed = head.header("x-replica-seal").is_some();
    let is_credible = (has_request_id || age == ConnectionAge::New) && !is_sealed;
    match head.status() {
        421 if is_credible && names_other_replica(head, replica_id) => WireEvent::Misdirected,
        400.. if is_credible && head.header("x-not-executed").is_some() => WireEvent::NotExecuted,
        _ if !has_request_id => WireEvent::Unattributed,
        200..=299 if is_sealed => WireEvent::Success,
        200..=299 => WireEvent::Unsealed,
        500.. => WireEvent::ServerError,
        _ => WireEvent::RequestRejected,
    }
}

fn names_other_replica(head: &Head, replica_id: &str) -> bool {
    head.header("x-replica-id")
        .is_some_and(|other| other != replica_id)
}

/// The values of a header that must not be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Header<'a> {
    Absent,
    Once(&'a str),
    Repeated,
}

impl<'a> Header<'a> {
    fn of(head: &'a Head, name: &'a str) -> Header<'a> {
        let mut values = head.header_values(name);
        match (values.next(), values.next()) {
            (None, _) => Header::Absent,
            (Some(value), None) => {
                Header::Once(std::str::from_utf8(value).unwrap_or_default().trim())
            }
            _ => Header::Repeated,
        }
    }
}
