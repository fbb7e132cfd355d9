//! The frames to and from replicas: four bytes of length, most significant first, a letter, the rest.

use bytes::{Buf, Bytes, BytesMut};
use linenthread_core::interface::AttemptOutcome;

/// Longer frames from a replica are not read: no answer to a client has room for more than 64 KiB.
const LONGEST: usize = 65 * 1024;

fn framed(letter: u8, rest: &[u8]) -> Vec<u8> {
    [&(rest.len() as u32 + 1).to_be_bytes()[..], &[letter], rest].concat()
}

/// A part that is asked on has another id each time, so that late answers to the first question are known.
pub fn sub_request_id(lookup: &str, shard: usize, round: u32) -> String {
    match round {
        0 => format!("{lookup}.{shard}"),
        _ => format!("{lookup}.{shard}.{round}"),
    }
}

/// One part call of so many parts, each an id, a shard and a text.
pub fn encode_requests<'a>(
    parts: impl Iterator<Item = (&'a str, usize, &'a str)>,
    wait_ms: u64,
) -> Vec<u8> {
    let mut rest = Vec::new();
    for (id, shard, text) in parts {
        rest.extend_from_slice(format!("{id} {shard} d={wait_ms} {}\n", text.len()).as_bytes());
        rest.extend_from_slice(text.as_bytes());
    }
    framed(b'A', &rest)
}

/// Word that a part is no longer waited for.
pub fn encode_cancel(id: &str) -> Vec<u8> {
    framed(b'B', id.as_bytes())
}

/// A probe that asks for the load.
pub fn encode_probe() -> Vec<u8> {
    framed(b'D', b"")
}

/// What a replica says.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaMessage {
    Response {
        id: String,
        outcome: AttemptOutcome,
        queue_depth: Option<f64>,
        value: String,
    },
    ProbeResponse {
        outcome: AttemptOutcome,
        queue_depth: Option<f64>,
    },
    /// The frame before could not be used; the connection is closed.
    ProtocolError(String),
}

/// Of a load report only the waiting parts are read. One that can't be read is no report, and spoils
/// nothing of the answer that it came with.
fn queue(report: &[u8]) -> Option<f64> {
    let mut fields = std::str::from_utf8(report).ok()?.split(',');
    let value = fields.find_map(|field| field.trim().strip_prefix("queue="))?;
    value
        .parse()
        .ok()
        .filter(|v: &f64| v.is_finite())
        .map(|v| v.max(0.0))
}

fn ending(word: &str) -> Option<AttemptOutcome> {
    match word {
        "hit" => Some(AttemptOutcome::Success),
        "fault" => Some(AttemptOutcome::Error),
        "overload" => Some(AttemptOutcome::Rejected),
        _ => None,
    }
}

fn text(bytes: &[u8]) -> Result<&str, String> {
    std::str::from_utf8(bytes).map_err(|_| "a frame's text is not UTF-8".into())
}

fn part(mut rest: Bytes) -> Result<ReplicaMessage, String> {
    let end = rest
        .iter()
        .position(|b| *b == b'\n')
        .ok_or("an answer without its line")?;
    let line = rest.split_to(end);
    let mut fields = line.splitn(4, |b| *b == b' ');
    let mut next = |field: &str| {
        fields
            .next()
            .ok_or_else(|| format!("an answer without its {field}"))
    };
    let (id, how, score) = (
        text(next("id")?)?,
        text(next("end")?)?,
        text(next("score")?)?,
    );
    let report = next("report")?;
    let ending = ending(how).ok_or_else(|| format!("an answer cannot end with {how:.20?}"))?;
    if score != "-" && !score.parse().is_ok_and(f64::is_finite) {
        return Err(format!("an answer's score cannot be {score:.20?}"));
    }
    Ok(ReplicaMessage::Response {
        id: id.into(),
        outcome: ending,
        queue_depth: queue(report),
        value: text(&rest[1..])?.into(),
    })
}

/// Takes the next frame off what was read; `None` while it is not all there.
pub fn decode(read: &mut BytesMut) -> Result<Option<ReplicaMessage>, String> {
    let Some(length) = read
        .first_chunk::<4>()
        .map(|l| u32::from_be_bytes(*l) as usize)
    else {
        return Ok(None);
    };
    if length == 0 || length > LONGEST {
        return Err(format!("a frame cannot be of {length} bytes"));
    }
    if read.len() < 4 + length {
        return Ok(None);
    }
    read.advance(4);
    let mut frame = read.split_to(length).freeze();
    let letter = frame.get_u8();
    match letter {
        b'E' => part(frame).map(Some),
        b'C' | b'D' => {
            let said = std::str::from_utf8(&frame).ok().and_then(ending);
            Ok(Some(ReplicaMessage::ProbeResponse {
                outcome: said.unwrap_or(AttemptOutcome::Success),
                queue_depth: queue(&frame),
            }))
        }
        b'F' => Ok(Some(ReplicaMessage::ProtocolError(
            text(&frame)?.chars().take(80).collect(),
        ))),
        other => Err(format!(
            "a frame cannot have the letter {:?}",
            char::from(other)
        )),
    }
}
