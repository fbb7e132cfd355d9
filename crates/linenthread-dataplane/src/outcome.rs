//! What became of a sub-request, judged from what was seen on its connection. This is the one place that
//! decides whether a sub-request may have run, and whether it may be sent again.

use linenthread_config::Mode;
use linenthread_core::interface::AttemptOutcome;
use linenthread_http::Head;

/// How far a sub-request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendState {
    /// No byte of it left this process.
    NeverLeft,
    /// Its replica, or whoever has its address now, says that it did not run it.
    Rejected,
    /// All else: it may be running, have run, or run later.
    MayHaveRun,
}

/// Whether a sub-request may be sent, after one of the same part got so far.
pub fn may_send_again(mode: Mode, sent: SendState) -> bool {
    match (mode, sent) {
        (Mode::Idempotent, _) | (Mode::Mutating, SendState::NeverLeft | SendState::Rejected) => {
            true
        }
        (Mode::Mutating, SendState::MayHaveRun) => false,
    }
}

/// Whether a connection carried earlier requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// This is its first request: nothing that comes on it can be another's.
    Fresh,
    /// An answer too many to an earlier request may still come on it.
    Reused,
}

/// What was seen of a sub-request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireEvent {
    /// The replica has as many connections of this front as it may.
    NoRoom,
    /// No connection came up in time.
    NotConnected,
    /// The connection failed, or took nothing, before a byte of the request was written.
    NothingWritten,
    /// The connection failed, or stopped taking bytes, after some were written.
    WriteCut,
    /// Closed or reset before a byte of an answer came.
    ClosedUnanswered,
    /// Closed or reset within an answer, head or body.
    AnswerCut,
    /// No whole answer in time.
    Silent,
    /// What came is no answer in the protocol, or longer than any is.
    Malformed,
    /// An answer came that is not known to be this request's.
    NotOurs,
    /// Another replica has the address: it says which.
    Misdirected,
    /// The replica says that it did not run it.
    NotExecuted,
    /// A success with the replica's seal.
    Success,
    /// A success without a seal: nothing that may be passed on.
    Unsealed,
    /// The replica's refusal of the request itself (3xx, 4xx).
    Refused,
    /// The replica's own failure (5xx).
    Failed,
}

/// How a sub-request that met this ended for the decision module, and how far it got.
pub fn judge(
    event: WireEvent,
    connection: Connection,
    gathers: bool,
) -> (AttemptOutcome, SendState) {
    use Connection::{Fresh, Reused};
    use SendState::{MayHaveRun, NeverLeft, Rejected};
    match (event, connection) {
        (WireEvent::NoRoom, _) | (WireEvent::NothingWritten, Reused) => {
            (AttemptOutcome::NotSent, NeverLeft)
        }
        (WireEvent::NotConnected, _) | (WireEvent::NothingWritten, Fresh) => {
            (AttemptOutcome::ConnectFailed, NeverLeft)
        }
        (WireEvent::Misdirected, _) => (AttemptOutcome::ConnectFailed, Rejected),
        (WireEvent::NotExecuted, _) => (AttemptOutcome::Rejected, Rejected),
        (WireEvent::WriteCut | WireEvent::ClosedUnanswered, Fresh) => {
            (AttemptOutcome::ConnectionLost, MayHaveRun)
        }
        (WireEvent::WriteCut | WireEvent::ClosedUnanswered, Reused) => {
            (AttemptOutcome::Error, MayHaveRun)
        }
        (WireEvent::Silent, _) => (AttemptOutcome::TimedOut, MayHaveRun),
        (WireEvent::Success, _) => (AttemptOutcome::Success, MayHaveRun),
        (WireEvent::Refused, _) if !gathers => (AttemptOutcome::Success, MayHaveRun),
        (
            WireEvent::Refused
            | WireEvent::Failed
            | WireEvent::Unsealed
            | WireEvent::AnswerCut
            | WireEvent::Malformed
            | WireEvent::NotOurs,
            _,
        ) => (AttemptOutcome::Error, MayHaveRun),
    }
}

/// What a whole answer is to the request that is out on its connection: the request's own by its id, its
/// connection and its order on it.
///
/// Replicas repeat the id in every answer to a request that they read. One without it is theirs to what they
/// did not read, or from before they looked: it is never passed on, and its promise that nothing ran counts
/// only where no earlier request on the connection can have caused it.
pub fn classify(head: &Head, attempt: &str, ident: &str, connection: Connection) -> WireEvent {
    let id = one(head, "x-attempt-id");
    let sealed = head.header("x-replica-seal").is_some();
    let own = match id {
        Repeated::Once(id) => id == attempt,
        Repeated::Never => false,
        Repeated::Often => return WireEvent::NotOurs,
    };
    let foreign = !own && id != Repeated::Never;
    // Bytes that were coded on the way are not those that the replica sealed.
    if foreign || head.header("content-encoding").is_some() {
        return WireEvent::NotOurs;
    }
    let promised = (own || connection == Connection::Fresh) && !sealed;
    match head.status {
        421 if promised
            && head
                .header("x-replica-id")
                .is_some_and(|other| other != ident) =>
        {
            WireEvent::Misdirected
        }
        400.. if promised && head.header("x-not-executed").is_some() => WireEvent::NotExecuted,
        _ if !own => WireEvent::NotOurs,
        200..=299 if sealed => WireEvent::Success,
        200..=299 => WireEvent::Unsealed,
        500.. => WireEvent::Failed,
        _ => WireEvent::Refused,
    }
}

/// A header that may be there once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Repeated<'a> {
    Never,
    Once(&'a str),
    Often,
}

fn one<'a>(head: &'a Head, name: &'a str) -> Repeated<'a> {
    let mut all = head.all(name);
    match (all.next(), all.next()) {
        (None, _) => Repeated::Never,
        (Some(only), None) => Repeated::Once(std::str::from_utf8(only).unwrap_or_default().trim()),
        _ => Repeated::Often,
    }
}
