//! What became of a sub-request, derived from what was observed on its connection.
//!
//! This is the one place that decides whether a sub-request may have run, and whether it may be sent again.

use linenthread_config::Mode;
use linenthread_core::interface::AttemptOutcome;
use linenthread_http::Head;

/// How far a sub-request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendState {
    /// No byte of it left this process.
    NotSent,
    /// Its replica, or the one that has its address now, says that it did not run it.
    Rejected,
    /// All else: it may be running, have run, or run later.
    MayHaveRun,
}

/// Whether a sub-request may be sent after an earlier one of the same part got so far.
pub fn may_retry(mode: Mode, sent: SendState) -> bool {
    match (mode, sent) {
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

/// What was observed of a sub-request.
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

/// How a sub-request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// For the decision module.
    pub attempt_outcome: AttemptOutcome,
    /// For the rules of retries.
    pub sent: SendState,
}

impl Outcome {
    /// The outcome of a sub-request on such a connection, of which this was observed.
    pub fn of(event: WireEvent, age: ConnectionAge, response_use: ResponseUse) -> Outcome {
        let (attempt_outcome, sent) = match (event, age) {
            (WireEvent::PoolExhausted, _) | (WireEvent::NothingWritten, ConnectionAge::Reused) => {
                (AttemptOutcome::NotSent, SendState::NotSent)
            }
            (WireEvent::ConnectFailed, _) | (WireEvent::NothingWritten, ConnectionAge::New) => {
                (AttemptOutcome::ConnectFailed, SendState::NotSent)
            }
            (WireEvent::Misdirected, _) => (AttemptOutcome::ConnectFailed, SendState::Rejected),
            (WireEvent::NotExecuted, _) => (AttemptOutcome::Rejected, SendState::Rejected),
            // A replica may close a connection that rests: only on a new one does it count against the replica.
            (WireEvent::WriteTruncated | WireEvent::ClosedBeforeResponse, ConnectionAge::New) => {
                (AttemptOutcome::ConnectionLost, SendState::MayHaveRun)
            }
            (
                WireEvent::WriteTruncated | WireEvent::ClosedBeforeResponse,
                ConnectionAge::Reused,
            ) => (AttemptOutcome::Error, SendState::MayHaveRun),
            (WireEvent::TimedOut, _) => (AttemptOutcome::TimedOut, SendState::MayHaveRun),
            (WireEvent::Success, _) => (AttemptOutcome::Success, SendState::MayHaveRun),
            (WireEvent::RequestRejected, _) if response_use == ResponseUse::Forwarded => {
                (AttemptOutcome::Success, SendState::MayHaveRun)
            }
            (
                WireEvent::RequestRejected
                | WireEvent::ServerError
                | WireEvent::Unsealed
                | WireEvent::ResponseTruncated
                | WireEvent::Malformed
                | WireEvent::Unattributed,
                _,
            ) => (AttemptOutcome::Error, SendState::MayHaveRun),
        };
        Outcome {
            attempt_outcome,
            sent,
        }
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
    attempt_id: &str,
    replica_id: &str,
    age: ConnectionAge,
) -> WireEvent {
    let id = Header::of(head, "x-attempt-id");
    let is_own = id == Header::Once(attempt_id);
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
