//! Framing of message bodies.

use crate::{Head, ParseError};

/// Maximum number of digits of a `Content-Length`; every number with this many digits fits into a `u64`.
const MAX_LENGTH_DIGITS: usize = 15;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent in chunks, the last of which is empty.
    Chunked,
    /// The body ends when its sender closes the connection. Only responses use this.
    UntilClose,
}

/// Returns the framing of a request's body.
///
/// # Errors
/// [`ParseError::Malformed`] if the framing is invalid or ambiguous, the target is not a path, or there is not exactly
/// one `Host` header; [`ParseError::BodyTooLong`] if the stated length exceeds `max_body_bytes`.
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

/// Whether responses to a request have a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyPresence {
    /// They have a body, which may be empty.
    Present,
    /// They have no body, whatever length they state, because the method is `HEAD`.
    Absent,
}

/// Returns the framing of a response's body; `presence` depends on the request's method.
///
/// # Errors
/// [`ParseError::Malformed`] if the framing is invalid or ambiguous.
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

/// Returns the `Content-Length` of a head, if there is one. A response to a `HEAD` request states the length of the
/// body that it omits.
///
/// # Errors
/// [`ParseError::Malformed`] if a value is not a length, or if values differ.
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

/// Parses a length, which must consist of digits only, without a sign or a list.
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

/// Reports whether the body is chunked. Rejects every other transfer coding.
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
