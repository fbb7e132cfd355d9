//! Reads one request from a client connection, within the limits of the configuration.

use std::time::Duration;

use linenthread_config::RequestLimits;
use linenthread_http::{Head, ParseError, request_framing};
use snafu::Snafu;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;

use crate::connection::{ConnectionError, HttpConnection};

/// A client that sent `Expect: 100-continue` must accept the interim response within this time.
const CONTINUE_TIMEOUT: Duration = Duration::from_secs(3);

/// A complete request.
pub(super) struct ClientRequest {
    pub(super) head: Head,
    pub(super) body: Vec<u8>,
}

#[derive(Debug, Snafu)]
pub(super) enum ReceiveError {
    /// The client disconnected or is too slow, so no response can be sent.
    #[snafu(display("{source}"))]
    Connection {
        /// The failure of the connection.
        source: ConnectionError,
    },
    /// The request is malformed or exceeds a limit.
    #[snafu(display("{step}: {source}"))]
    Rejected {
        /// What was being read or checked.
        step: &'static str,
        /// The parse error.
        source: ParseError,
    },
}

impl ReceiveError {
    /// Converts an error that occurred at `step`.
    fn at(step: &'static str) -> impl FnOnce(ConnectionError) -> ReceiveError {
        move |error| match error {
            ConnectionError::Invalid { source } => ReceiveError::Rejected { step, source },
            source => ReceiveError::Connection { source },
        }
    }
}

/// Returns the status of the response to an invalid request.
pub(super) fn rejection_status(error: ParseError) -> u16 {
    match error {
        ParseError::Malformed => 400,
        ParseError::HeadTooLong => 431,
        ParseError::BodyTooLong => 413,
    }
}

/// Reads one complete request.
pub(super) async fn receive<S: AsyncRead + AsyncWrite + Unpin>(
    http: &mut HttpConnection<S>,
    limits: &RequestLimits,
) -> Result<ClientRequest, ReceiveError> {
    let head = http
        .read_request_head(
            limits.max_header_bytes,
            limits.idle_timeout,
            limits.header_timeout,
        )
        .await
        .map_err(ReceiveError::at("reading a head"))?;
    let framing = request_framing(&head, limits.max_body_bytes)
        .map_err(ConnectionError::from)
        .map_err(ReceiveError::at("validating a head"))?;
    if head.has_token("expect", "100-continue") {
        http.write(
            b"HTTP/1.1 100 Continue\r\n\r\n",
            Instant::now() + CONTINUE_TIMEOUT,
        )
        .await
        .map_err(|source| ReceiveError::Connection { source })?;
    }
    let body = http
        .read_body(framing, limits.max_body_bytes, limits.idle_timeout, None)
        .await
        .map_err(ReceiveError::at("reading a body"))?;
    Ok(ClientRequest { head, body })
}
