//! Reading one request off a client's connection, within the limits of the configuration.

use std::time::Duration;

use linenthread_config::RoutingTable;
use linenthread_http::{Head, ParseError, request_framing};
use snafu::Snafu;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;

use crate::connection::{ConnectionError, HttpConnection};

/// The limits while there is no configuration.
const DEFAULT_LIMITS: RequestLimits = RequestLimits {
    max_head_bytes: 16_384,
    max_body_bytes: 262_144,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// A client that waits for leave to send the body accepts it within this time.
const CONTINUE_TIMEOUT: Duration = Duration::from_secs(3);

/// What a client may send, and how long it may take.
pub(super) struct RequestLimits {
    max_head_bytes: usize,
    max_body_bytes: usize,
    /// From the first byte of a head to its last.
    head_timeout: Duration,
    /// With no byte from the client.
    pub(super) idle_timeout: Duration,
}

impl RequestLimits {
    pub(super) fn of(routing_table: Option<&RoutingTable>) -> RequestLimits {
        routing_table.map_or(DEFAULT_LIMITS, |routing_table| RequestLimits {
            max_head_bytes: routing_table.limits.max_header_bytes,
            max_body_bytes: routing_table.limits.max_body_bytes,
            head_timeout: routing_table.limits.header_timeout,
            idle_timeout: routing_table.limits.idle_timeout,
        })
    }
}

/// A complete request.
pub(super) struct ClientRequest {
    pub(super) head: Head,
    pub(super) body: Vec<u8>,
}

/// Why no request could be read.
#[derive(Debug, Snafu)]
pub(super) enum ReceiveError {
    /// The client has left or is too slow: there is nobody to respond to.
    #[snafu(display("{source}"))]
    Connection {
        /// What happened on the connection.
        source: ConnectionError,
    },
    /// It is malformed or longer than allowed.
    #[snafu(display("{step}: {source}"))]
    Rejected {
        /// Where it was noticed.
        step: &'static str,
        /// What is wrong with it.
        source: ParseError,
    },
}

impl ReceiveError {
    /// `step` names what was being read.
    fn at(step: &'static str) -> impl FnOnce(ConnectionError) -> ReceiveError {
        move |error| match error {
            ConnectionError::Invalid { source } => ReceiveError::Rejected { step, source },
            source => ReceiveError::Connection { source },
        }
    }
}

/// The status that a request is rejected with.
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
            limits.max_head_bytes,
            limits.idle_timeout,
            limits.head_timeout,
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
