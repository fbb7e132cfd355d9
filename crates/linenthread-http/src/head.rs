//! Parsing of message heads: the first line and the headers.

use std::fmt;

use bytes::{Bytes, BytesMut};
use smallvec::SmallVec;

use crate::{BodyPresence, ParseError};

/// Headers that concern a single connection and are not forwarded. `content-length` is not forwarded either, because
/// the sender of the body writes it.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];
/// Maximum number of headers of a head.
const MAX_HEADERS: usize = 64;
/// Number of headers up to which the spans of a head need no allocation.
const INLINE_HEADERS: usize = 12;
/// The status of a switch to another protocol. Every other 1xx response is followed by another head.
const SWITCHING_PROTOCOLS: u16 = 101;

/// A range of bytes of a head.
#[derive(Clone, Copy, Debug, Default)]
struct Span {
    start: u32,
    end: u32,
}

impl Span {
    /// Returns the position of `part` in `raw`; an empty span for an empty part.
    fn of(raw: &[u8], part: &[u8]) -> Span {
        let bounds = || {
            let start = part.as_ptr().addr().checked_sub(raw.as_ptr().addr())?;
            let start = u32::try_from(start).ok()?;
            let end = start.checked_add(u32::try_from(part.len()).ok()?)?;
            Some(Span { start, end })
        };
        if part.is_empty() {
            return Span::default();
        }
        bounds().expect("parts of a head lie within it, and no head is longer than 4 GiB")
    }
}

/// The positions of a header's name and value.
#[derive(Clone, Copy, Debug)]
struct HeaderSpan {
    name: Span,
    value: Span,
}

/// The first line and the headers of a request or response, stored as one buffer and spans into it.
#[derive(Clone)]
pub struct Head {
    raw: Bytes,
    method: Span,
    target: Span,
    status: u16,
    is_http_1_1: bool,
    headers: SmallVec<[HeaderSpan; INLINE_HEADERS]>,
}

/// Prints the names of the headers but not their values, which may contain a client's key.
impl fmt::Debug for Head {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: SmallVec<[&str; INLINE_HEADERS]> =
            self.headers().map(|(name, _)| name).collect();
        formatter
            .debug_struct("Head")
            .field("method", &self.method())
            .field("target", &self.target())
            .field("status", &self.status)
            .field("headers", &names)
            .finish_non_exhaustive()
    }
}

impl Head {
    /// Consumes a request head of at most `max_bytes` bytes from the buffer. Returns `None` if the head is incomplete.
    ///
    /// # Errors
    /// Fails if the head is malformed or too long.
    pub fn parse_request(
        buffer: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<Option<Head>, ParseError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let Some(length) = complete_length(parsed.parse(buffer), buffer.len(), max_bytes)? else {
            return Ok(None);
        };
        let mut head = Head {
            raw: Bytes::new(),
            method: Span::of(buffer, parsed.method.unwrap_or_default().as_bytes()),
            target: Span::of(buffer, parsed.path.unwrap_or_default().as_bytes()),
            status: 0,
            is_http_1_1: parsed.version == Some(1),
            headers: header_spans(buffer, parsed.headers),
        };
        head.raw = buffer.split_to(length).freeze();
        Ok(Some(head))
    }

    /// Consumes a response head of at most `max_bytes` bytes from the buffer. Returns `None` if the head is incomplete.
    /// Skips informational heads (1xx), except 101.
    ///
    /// # Errors
    /// Fails if the head is malformed or too long.
    pub fn parse_response(
        buffer: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<Option<Head>, ParseError> {
        loop {
            match Head::parse_any_response(buffer, max_bytes)? {
                Some(head) if head.status < 200 && head.status != SWITCHING_PROTOCOLS => {}
                other => return Ok(other),
            }
        }
    }

    /// Consumes a response head with any status from the buffer.
    fn parse_any_response(
        buffer: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<Option<Head>, ParseError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let Some(length) = complete_length(parsed.parse(buffer), buffer.len(), max_bytes)? else {
            return Ok(None);
        };
        let mut head = Head {
            raw: Bytes::new(),
            method: Span::default(),
            target: Span::default(),
            status: parsed.code.unwrap_or_default(),
            is_http_1_1: parsed.version == Some(1),
            headers: header_spans(buffer, parsed.headers),
        };
        head.raw = buffer.split_to(length).freeze();
        Ok(Some(head))
    }

    /// Returns the method of a request; empty for a response.
    pub fn method(&self) -> &str {
        self.text(self.method)
    }

    /// Returns whether responses to this request have a body.
    pub fn response_body_presence(&self) -> BodyPresence {
        if self.method() == "HEAD" {
            BodyPresence::Absent
        } else {
            BodyPresence::Present
        }
    }

    /// Returns the path and the query of a request; empty for a response.
    pub fn target(&self) -> &str {
        self.text(self.target)
    }

    /// Returns the target without its query.
    pub fn path(&self) -> &str {
        let target = self.target();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// Returns the status code of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Reports whether the version is HTTP/1.1 rather than 1.0.
    pub fn is_http_1_1(&self) -> bool {
        self.is_http_1_1
    }

    /// Returns all headers in their order, with names as sent and values without surrounding white space.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.headers
            .iter()
            .map(|header| (self.text(header.name), self.bytes(header.value)))
    }

    /// Returns the values of all headers with this name, ignoring case.
    pub fn header_values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.headers()
            .filter(move |(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the value of the first header with this name, if there is one and its value is UTF-8.
    pub fn header<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.header_values(name)
            .next()
            .and_then(|value| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// Reports whether the comma-separated list of a header contains a token, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.header_values(name)
            .flat_map(list_items)
            .any(|item| item.eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Reports whether the sender keeps the connection open after this message.
    pub fn keeps_alive(&self) -> bool {
        if self.is_http_1_1 {
            !self.has_token("connection", "close")
        } else {
            self.has_token("connection", "keep-alive")
        }
    }

    /// Appends the end-to-end headers as lines, except those with a name in `except`.
    pub fn forward_headers(&self, to: &mut Vec<u8>, except: &[&str]) {
        let connection_options: SmallVec<[&[u8]; 4]> = self
            .header_values("connection")
            .flat_map(list_items)
            .collect();
        let is_forwarded = |name: &str| {
            !HOP_BY_HOP_HEADERS
                .iter()
                .chain(except)
                .any(|other| name.eq_ignore_ascii_case(other))
                && !connection_options
                    .iter()
                    .any(|option| name.as_bytes().eq_ignore_ascii_case(option))
        };
        for (name, value) in self.headers().filter(|(name, _)| is_forwarded(name)) {
            to.extend_from_slice(name.as_bytes());
            to.extend_from_slice(b": ");
            to.extend_from_slice(value);
            to.extend_from_slice(b"\r\n");
        }
    }

    fn bytes(&self, span: Span) -> &[u8] {
        &self.raw[span.start as usize..span.end as usize]
    }

    fn text(&self, span: Span) -> &str {
        std::str::from_utf8(self.bytes(span)).unwrap_or_default()
    }
}

/// Returns the length of a parsed head, or `None` if the head is incomplete.
fn complete_length(
    parsed: httparse::Result<usize>,
    buffered: usize,
    max_bytes: usize,
) -> Result<Option<usize>, ParseError> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length <= max_bytes => Ok(Some(length)),
        Ok(httparse::Status::Partial) if buffered <= max_bytes => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(ParseError::HeadTooLong),
        Err(_) => Err(ParseError::Malformed),
    }
}

fn header_spans(
    raw: &[u8],
    headers: &[httparse::Header<'_>],
) -> SmallVec<[HeaderSpan; INLINE_HEADERS]> {
    headers
        .iter()
        .map(|header| HeaderSpan {
            name: Span::of(raw, header.name.as_bytes()),
            value: Span::of(raw, header.value),
        })
        .collect()
}

/// Returns the items of a comma-separated list.
fn list_items(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split(|byte| *byte == b',').map(<[u8]>::trim_ascii)
}
