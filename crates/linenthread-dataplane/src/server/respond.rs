//! Writes responses to client connections.

use std::time::Duration;

use linenthread_http::{BodyPresence, write_decimal};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;

use crate::connection::{ConnectionError, HttpConnection};
use crate::response::{OmittedLength, Response};

/// A client must accept a response within this time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Initial capacity for the status line and the header lines written here, in bytes.
const HEAD_BYTES: usize = 128;

/// Whether the connection stays open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Persistence {
    KeepAlive,
    Close,
}

/// Writes a response. If the request permits no body, the body is omitted, and `Content-Length` states the length it
/// would have, if known.
pub(super) async fn respond<S: AsyncRead + AsyncWrite + Unpin>(
    http: &mut HttpConnection<S>,
    response: &Response,
    persistence: Persistence,
    body_presence: BodyPresence,
) -> Result<(), ConnectionError> {
    let length = HEAD_BYTES + response.headers.len() + response.body.len();
    let mut bytes = Vec::with_capacity(length);
    bytes.extend_from_slice(b"HTTP/1.1 ");
    write_decimal(&mut bytes, u64::from(response.status));
    bytes.push(b' ');
    bytes.extend_from_slice(reason_phrase(response.status).as_bytes());
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(&response.headers);
    if persistence == Persistence::Close {
        bytes.extend_from_slice(b"Connection: close\r\n");
    }
    if let Some(length) = stated_length(response, body_presence) {
        bytes.extend_from_slice(b"Content-Length: ");
        write_decimal(&mut bytes, length);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    if body_presence == BodyPresence::Present {
        bytes.extend_from_slice(&response.body);
    }
    http.write(&bytes, Instant::now() + WRITE_TIMEOUT).await
}

/// Returns the value of `Content-Length`, or `None` if the header is omitted.
fn stated_length(response: &Response, body_presence: BodyPresence) -> Option<u64> {
    if matches!(response.status, 204 | 304) {
        return None;
    }
    let own_length = response.body.len() as u64;
    match (body_presence, response.omitted_length) {
        (BodyPresence::Present, _) | (BodyPresence::Absent, OmittedLength::OfBody) => {
            Some(own_length)
        }
        (BodyPresence::Absent, OmittedLength::Stated(length)) => Some(length),
        (BodyPresence::Absent, OmittedLength::Unknown) => None,
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}
