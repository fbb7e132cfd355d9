//! Frames to and from replicas: a length of four bytes, most significant first, a letter for the kind, and the payload.
//! The length includes the letter.

use std::str::Utf8Error;

use bytes::{Buf, Bytes, BytesMut};
use linenthread_core::interface::AttemptOutcome;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// The size of the length field in bytes.
const LENGTH_BYTES: usize = 4;

/// The maximum length in bytes of a frame from a replica: a response to a client cannot contain more than 64 KiB.
const MAX_FRAME_BYTES: usize = 65 * 1024;

/// The number of characters that are kept of a replica's reason for a protocol error.
const MAX_REASON_CHARACTERS: usize = 80;

/// The letters of the kinds of frames.
mod kind {
    /// To a replica: sub-requests.
    pub(super) const REQUESTS: u8 = b'A';
    /// To a replica: the cancellation of a sub-request.
    pub(super) const CANCEL: u8 = b'B';
    /// From a replica: the response to a probe, in the older form.
    pub(super) const PROBE_RESULT: u8 = b'C';
    /// To a replica: a probe that asks for a load report. From a replica: the response to it.
    pub(super) const PROBE: u8 = b'D';
    /// From a replica: the response to a sub-request.
    pub(super) const RESPONSE: u8 = b'E';
    /// From a replica: the previous frame was invalid.
    pub(super) const PROTOCOL_ERROR: u8 = b'F';
}

/// A message from a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaMessage {
    /// The response to a sub-request.
    Response {
        /// The id of the sub-request, see [`sub_request_id`].
        id: String,
        /// Success, error or rejection.
        outcome: AttemptOutcome,
        /// The number of queued sub-requests, if the replica reports it.
        queue_depth: Option<f64>,
        /// The value; empty unless the sub-request succeeded.
        value: String,
    },
    /// The response to a probe.
    ProbeResponse {
        /// Success, error or rejection.
        outcome: AttemptOutcome,
        /// The number of queued sub-requests, if the replica reports it.
        queue_depth: Option<f64>,
    },
    /// The replica found the previous frame invalid, for this reason, and closes the connection.
    ProtocolError(String),
}

/// The reason why a frame cannot be decoded. Nothing after it on the same connection can be decoded either.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The length is 0 or above the maximum.
    #[snafu(display("a frame has an invalid length of {length} bytes"))]
    Length {
        /// The length in bytes.
        length: usize,
    },
    /// The kind is unknown.
    #[snafu(display("a frame is of the unknown kind {letter:?}"))]
    Kind {
        /// The letter.
        letter: char,
    },
    /// A text in the frame is not UTF-8.
    #[snafu(display("a frame's text is not UTF-8"))]
    Text {
        /// The position of the invalid bytes.
        source: Utf8Error,
    },
    /// The first line of a response is incomplete.
    #[snafu(display("a response has no {field}"))]
    MissingField {
        /// The first field that is missing.
        field: &'static str,
    },
    /// A response's outcome is unknown.
    #[snafu(display("a response has the unknown outcome {outcome:.20?}"))]
    Outcome {
        /// The text of the outcome.
        outcome: String,
    },
    /// A response's score is neither a finite number nor `-`.
    #[snafu(display("a response has the invalid score {score:.20?}"))]
    Score {
        /// The text of the score.
        score: String,
    },
}

fn encode(kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len() + 1).expect("a frame's payload is under 4 GiB");
    [&length.to_be_bytes()[..], &[kind], payload].concat()
}

/// Returns the id of a sub-request on the wire. Each of its continuations, numbered from 1, has an id of its own, so
/// that late responses to earlier ones are recognized.
pub fn sub_request_id(query: &str, shard: usize, continuation: u32) -> String {
    match continuation {
        0 => format!("{query}.{shard}"),
        _ => format!("{query}.{shard}.{continuation}"),
    }
}

/// A sub-request as sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubRequest<'a> {
    /// The id, see [`sub_request_id`].
    pub id: &'a str,
    /// The number of the queried shard.
    pub shard: usize,
    /// The text that is sent to the shard.
    pub body: &'a str,
}

/// Encodes sub-requests whose responses are awaited for `wait_ms` milliseconds.
pub fn encode_requests<'a>(
    sub_requests: impl Iterator<Item = SubRequest<'a>>,
    wait_ms: u64,
) -> Vec<u8> {
    let mut payload = Vec::new();
    for SubRequest { id, shard, body } in sub_requests {
        let line = format!("{id} {shard} d={wait_ms} {}\n", body.len());
        payload.extend_from_slice(line.as_bytes());
        payload.extend_from_slice(body.as_bytes());
    }
    encode(kind::REQUESTS, &payload)
}

/// Encodes the cancellation of a sub-request.
pub fn encode_cancel(id: &str) -> Vec<u8> {
    encode(kind::CANCEL, id.as_bytes())
}

/// Encodes a probe that asks for a load report.
pub fn encode_probe() -> Vec<u8> {
    encode(kind::PROBE, b"")
}

/// Decodes the next frame and removes it from the buffer `read`; returns `None` while the frame is incomplete.
///
/// # Errors
///
/// [`FrameError`] if the frame cannot be decoded.
pub fn decode(read: &mut BytesMut) -> Result<Option<ReplicaMessage>, FrameError> {
    let Some(length) = read.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_be_bytes(*length)).unwrap_or(usize::MAX);
    ensure!(
        (1..=MAX_FRAME_BYTES).contains(&length),
        LengthSnafu { length }
    );
    if read.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    read.advance(LENGTH_BYTES);
    let mut payload = read.split_to(length).freeze();
    let kind = payload.get_u8();
    match kind {
        kind::RESPONSE => decode_response(payload).map(Some),
        kind::PROBE_RESULT | kind::PROBE => Ok(Some(decode_probe_response(&payload))),
        kind::PROTOCOL_ERROR => {
            let reason = text(&payload)?.chars().take(MAX_REASON_CHARACTERS);
            Ok(Some(ReplicaMessage::ProtocolError(reason.collect())))
        }
        other => KindSnafu { letter: other }.fail(),
    }
}

/// Decodes a response: a line of id, outcome, score and load report, then the value.
fn decode_response(mut payload: Bytes) -> Result<ReplicaMessage, FrameError> {
    let line_length = payload
        .iter()
        .position(|byte| *byte == b'\n')
        .context(MissingFieldSnafu { field: "line" })?;
    let line = payload.split_to(line_length);
    let mut fields = line.splitn(4, |byte| *byte == b' ');
    let mut next = |field: &'static str| fields.next().context(MissingFieldSnafu { field });
    let id = text(next("id")?)?;
    let outcome_text = text(next("end")?)?;
    let score = text(next("score")?)?;
    let report = next("report")?;
    let outcome = parse_outcome(outcome_text).context(OutcomeSnafu {
        outcome: outcome_text,
    })?;
    let is_score = score == "-" || score.parse().is_ok_and(f64::is_finite);
    ensure!(is_score, ScoreSnafu { score });
    // The payload still begins with the line feed.
    let value = text(&payload[1..])?;
    Ok(ReplicaMessage::Response {
        id: id.into(),
        outcome,
        queue_depth: parse_queue_depth(report),
        value: value.into(),
    })
}

/// Decodes the response to a probe: either an outcome, or a load report, which implies success.
fn decode_probe_response(payload: &[u8]) -> ReplicaMessage {
    let outcome = std::str::from_utf8(payload).ok().and_then(parse_outcome);
    ReplicaMessage::ProbeResponse {
        outcome: outcome.unwrap_or(AttemptOutcome::Success),
        queue_depth: parse_queue_depth(payload),
    }
}

fn parse_outcome(text: &str) -> Option<AttemptOutcome> {
    match text {
        "hit" => Some(AttemptOutcome::Success),
        "fault" => Some(AttemptOutcome::Error),
        "overload" => Some(AttemptOutcome::Rejected),
        _ => None,
    }
}

/// Returns the number of queued sub-requests from a load report. A report that cannot be decoded is ignored, so that
/// the response that contains it stays valid.
fn parse_queue_depth(report: &[u8]) -> Option<f64> {
    let mut fields = std::str::from_utf8(report).ok()?.split(',');
    let value = fields.find_map(|field| field.trim().strip_prefix("queue="))?;
    value
        .parse()
        .ok()
        .filter(|depth: &f64| depth.is_finite())
        .map(|depth| depth.max(0.0))
}

fn text(bytes: &[u8]) -> Result<&str, FrameError> {
    std::str::from_utf8(bytes).context(TextSnafu)
}
