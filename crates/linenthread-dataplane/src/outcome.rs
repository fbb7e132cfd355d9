//! What became of an attempt, derived from what was observed on its connection.
//!
//! This is the one place that decides whether an attempt may have run ([`SendState`]). Whether its sub-request may be
//! sent again is decided twice, so that one mistake does not make a request run twice:
//!
//! - by the decision module (`send_guard` in `linenthread-core`), which knows the [`AttemptOutcome`] alone and asks
//!   [`AttemptOutcome::never_ran`];
//! - by the dispatcher, which asks [`may_retry`] about the [`SendState`] before it hands an attempt to a pool.
//!
//! [`Outcome::of`] derives both from the same observation; for each one they agree.

use linenthread_config::Mode;
use linenthread_core::interface::AttemptOutcome;
use linenthread_http::Head;

/// How far an attempt got, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendState {
    /// No byte of it left this process.
    NotSent,
    /// Its replica, or the one that has its address now, says that it did not run it.
    Rejected,
    /// All else: it may be running, have run, or run later.
    MayHaveRun,
}

/// Whether an attempt may be sent, where earlier ones of the same sub-request got no further than `furthest`.
pub fn may_retry(mode: Mode, furthest: SendState) -> bool {
    match (mode, furthest) {
        (Mode::Idempotent, _) | (Mode::Mutating, SendState::NotSent | SendState::Rejected) => true,
        (Mode::Mutating, SendState::MayHaveRun) => false,
    }
}

/// Whether a connection carried earlier requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAge {
    /// This is its first request: nothing that arrives on it can belong to another.
    New,
    /// A surplus response to an earlier request may still arrive on it.
    Reused,
}

/// What a replica's response is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseUse {
    /// It is the client's response, as it stands.
    Forwarded,
    /// It is merged with those of other backends, so only a success is of use.
    Merged,
}

/// What was observed of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireEvent {
    /// The replica has as many connections of this process as it may.
    PoolExhausted,
    /// No connection was made in time.
    ConnectFailed,
    /// The connection failed, or accepted nothing, before a byte of the request was written.
    NothingWritten,
    /// The connection failed, or stopped accepting bytes, after some were written.
    WriteTruncated,
    /// Closed or reset before a byte of a response arrived.
    ClosedBeforeResponse,
    /// Closed or reset within a response, head or body.
    ResponseTruncated,
    /// No complete response in time.
    TimedOut,
    /// What arrived is not a response in the protocol, or is longer than any is.
    Malformed,
    /// A response arrived that is not known to be this request's.
    Unattributed,
    /// Another replica has the address: it says which.
    Misdirected,
    /// The replica says that it did not run it.
    NotExecuted,
    /// A success with the replica's seal.
    Success,
    /// A success without a seal: nothing that may be forwarded.
    Unsealed,
    /// The replica rejects the request itself (3xx, 4xx).
    RequestRejected,
    /// The replica's own failure (5xx).
    ServerError,
}

impl WireEvent {
    /// Whether a complete response proves that its connection is in step: the next response on it will be that of the
    /// next request.
    pub(crate) fn leaves_connection_in_step(self) -> bool {
        !matches!(self, WireEvent::Unattributed | WireEvent::Misdirected)
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// For the decision module, which judges the replica by it.
    pub attempt_outcome: AttemptOutcome,
    /// How far it got, for the rules of retries ([`may_retry`]).
    pub send_state: SendState,
}

impl Outcome {
    /// The outcome of an attempt on such a connection, of which this was observed.
    pub fn of(event: WireEvent, age: ConnectionAge, response_use: ResponseUse) -> Outcome {
        Outcome {
            attempt_outcome: attempt_outcome(event, age, response_use),
            send_state: send_state(event),
        }
    }
}

/// How far an attempt got of which this was observed.
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

/// What the decision module gets to know of an attempt: what counts against its replica.
fn attempt_outcome(
    event: WireEvent,
    age: ConnectionAge,
    response_use: ResponseUse,
) -> AttemptOutcome {
    match event {
        WireEvent::PoolExhausted => AttemptOutcome::NotSent,
        // Misdirected: another replica has the address now, so the one that was meant cannot be reached there, as if
        // nobody had accepted the connection. A rejection would say that it is full and may be asked again soon.
        WireEvent::ConnectFailed | WireEvent::Misdirected => AttemptOutcome::ConnectFailed,
        // A replica may close an idle connection at any time: only on a new one does that count against the replica.
        WireEvent::NothingWritten => match age {
            ConnectionAge::New => AttemptOutcome::ConnectFailed,
            ConnectionAge::Reused => AttemptOutcome::NotSent,
        },
        // The same holds here, but bytes were written, so it may have run and is not `NotSent`: an error counts as one
        // failure and, unlike a lost connection, does not mark the replica down or suspect a crash.
        WireEvent::WriteTruncated | WireEvent::ClosedBeforeResponse => match age {
            ConnectionAge::New => AttemptOutcome::ConnectionLost,
            ConnectionAge::Reused => AttemptOutcome::Error,
        },
        WireEvent::NotExecuted => AttemptOutcome::Rejected,
        WireEvent::TimedOut => AttemptOutcome::TimedOut,
        WireEvent::Success => AttemptOutcome::Success,
        // The replica is well, and the client gets its response as it stands; there is nothing in it to merge.
        WireEvent::RequestRejected => match response_use {
            ResponseUse::Forwarded => AttemptOutcome::Success,
            ResponseUse::Merged => AttemptOutcome::Error,
        },
        // The replica sent bytes, so it is up, yet nothing that can be used. A cut or malformed response counts like
        // its own failure.
        WireEvent::ServerError
        | WireEvent::Unsealed
        | WireEvent::ResponseTruncated
        | WireEvent::Malformed
        | WireEvent::Unattributed => AttemptOutcome::Error,
    }
}

/// What a complete response is to the request in flight on its connection. It is the request's own by its id, its
/// connection and its order on it.
///
/// Replicas repeat the id in every response to a request that they read. One without it answers what they did not
/// read, or comes from before they looked: it is never forwarded, and its promise that nothing ran counts only
/// where no earlier request on the connection can have caused it.
pub fn classify_response(
    head: &Head,
    request_id: &str,
    replica_id: &str,
    age: ConnectionAge,
) -> WireEvent {
    let id = Header::of(head, "x-attempt-id");
    let is_own = id == Header::Once(request_id);
    let is_foreign = !is_own && id != Header::Absent;
    // A coded body is not the bytes that the replica sealed.
    if is_foreign || head.header("content-encoding").is_some() {
        return WireEvent::Unattributed;
    }
    let is_sealed = head.header("x-replica-seal").is_some();
    let is_credible = (is_own || age == ConnectionAge::New) && !is_sealed;
    match head.status() {
        421 if is_credible && names_other_replica(head, replica_id) => WireEvent::Misdirected,
        400.. if is_credible && head.header("x-not-executed").is_some() => WireEvent::NotExecuted,
        _ if !is_own => WireEvent::Unattributed,
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

/// A header that may be there once.
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
