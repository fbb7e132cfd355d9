//! How the body of a message is delimited.

use crate::{Head, ParseError};

/// The most digits of a `Content-Length`; every number of that many fits a `u64`.
const MAX_LENGTH_DIGITS: usize = 15;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// It has this many bytes.
    Length(u64),
    /// It comes in chunks, the last of which is empty.
    Chunked,
    /// It lasts until its sender closes the connection. Only responses come like this.
    UntilClose,
}

/// The framing of a request's body.
///
/// # Errors
/// An ambiguous framing, a target that is not a path, no `Host` header or several, a stated length over
/// `max_body_bytes`.
pub fn request_framing(head: &Head, max_body_bytes: usize) -> Result<Framing, ParseError> {
    if !head.target().starts_with('/')
        || head.method().is_empty()
        || head.header_values("host").count() != 1
    {
        return Err(ParseError::Malformed);
    }
    match (is_chunked(head)?, content_length(head)?) {
        (true, Some(_)) => Err(ParseError::Malformed),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(length)) if length > max_body_bytes as u64 => Err(ParseError::BodyTooLong),
        (false, length) => Ok(Framing::Length(length.unwrap_or(0))),
    }
}

/// Whether the responses to a request have a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyPresence {
    /// They have one, which may be empty.
    Present,
    /// They have none, whatever length they state: the method is `HEAD`.
    Absent,
}

/// The framing of the body of a response to such a request.
///
/// # Errors
/// An ambiguous framing.
pub fn response_framing(head: &Head, presence: BodyPresence) -> Result<Framing, ParseError> {
    if presence == BodyPresence::Absent || matches!(head.status(), 204 | 304) {
        return Ok(Framing::Length(0));
    }
    match (is_chunked(head)?, content_length(head)?) {
        (true, Some(_)) => Err(ParseError::Malformed),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::UntilClose),
    }
}

/// The one length that a head states, if it states any. A response to a `HEAD` states that of the body which it leaves
/// out.
///
/// # Errors
/// Something that is not a length, or several lengths.
pub fn content_length(head: &Head) -> Result<Option<u64>, ParseError> {
    let mut length = None;
    for value in head.header_values("content-length") {
        let stated = parse_length(value)?;
        if length.is_some_and(|other| other != stated) {
            return Err(ParseError::Malformed);
        }
        length = Some(stated);
    }
    Ok(length)
}

/// A length in digits alone: no sign, no list.
fn parse_length(value: &[u8]) -> Result<u64, ParseError> {
    let text = std::str::from_utf8(value)
        .map_err(|_| ParseError::Malformed)?
        .trim();
    let is_length = (1..=MAX_LENGTH_DIGITS).contains(&text.len())
        && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_length {
        return Err(ParseError::Malformed);
    }
    text.parse().map_err(|_| ParseError::Malformed)
}

/// Whether the body comes in chunks; every other transfer coding is rejected.
fn is_chunked(head: &Head) -> Result<bool, ParseError> {
    let mut codings = head.header_values("transfer-encoding");
    let Some(first) = codings.next() else {
        return Ok(false);
    };
    if codings.next().is_some()
        || !first.trim_ascii().eq_ignore_ascii_case(b"chunked")
        || !head.is_http_1_1()
    {
        return Err(ParseError::Malformed);
    }
    Ok(true)
}
