//! Exchanges one request and response on a connection, and maps errors to observations.

use std::time::Duration;

use linenthread_http::{Head, response_framing};
use tokio::time::Instant;

use super::ReplicaRequest;
use crate::connection::{ConnectionError, HttpConnection, WriteError};
use crate::outcome::{ResponseUse, WireEvent};
use crate::transport::ReplicaTransport;

/// Maximum length of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 16_384;
/// Maximum length of a response body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// How long to wait for a response beyond the time given to the replica: a replica ends an attempt by itself at that
/// time, and responds accordingly.
const RESPONSE_SLACK: Duration = Duration::from_millis(40);

/// A replica's complete response.
pub struct ReplicaResponse {
    /// Status and headers.
    pub head: Head,
    /// The complete body.
    pub body: Vec<u8>,
}

impl ReplicaResponse {
    /// Reports whether the response may be forwarded to a client: it has the replica's seal, and is a success if it is
    /// to be merged with others.
    pub(super) fn may_be_forwarded(&self, event: WireEvent, response_use: ResponseUse) -> bool {
        match event {
            WireEvent::Success => true,
            WireEvent::RequestRejected | WireEvent::ServerError => {
                response_use == ResponseUse::Forwarded
                    && self.head.header("x-replica-seal").is_some()
            }
            _ => false,
        }
    }
}

/// Writes the request and reads one complete response.
pub(super) async fn exchange<S: ReplicaTransport>(
    http: &mut HttpConnection<S>,
    request: &ReplicaRequest,
    replica_id: &str,
    deadline: Instant,
) -> Result<ReplicaResponse, WireEvent> {
    let bytes = request.to_bytes(replica_id, time_until(deadline));
    let deadline = deadline + RESPONSE_SLACK;
    http.write_with_progress(&bytes, deadline)
        .await
        .map_err(|error| write_event(&error))?;
    let head = http
        .read_response_head(MAX_HEAD_BYTES, deadline)
        .await
        .map_err(head_event)?;
    let framing =
        response_framing(&head, request.body_presence).map_err(|_| WireEvent::Malformed)?;
    let body = http
        .read_body(
            framing,
            MAX_BODY_BYTES,
            time_until(deadline),
            Some(deadline),
        )
        .await
        .map_err(body_event)?;
    Ok(ReplicaResponse { head, body })
}

fn time_until(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

fn write_event(error: &WriteError) -> WireEvent {
    match error {
        WriteError { written: 0, .. } => WireEvent::NothingWritten,
        WriteError {
            source: ConnectionError::TimedOut,
            ..
        } => WireEvent::TimedOut,
        WriteError { .. } => WireEvent::WriteTruncated,
    }
}

fn head_event(error: ConnectionError) -> WireEvent {
    match error {
        ConnectionError::TimedOut => WireEvent::TimedOut,
        ConnectionError::Closed => WireEvent::ClosedBeforeResponse,
        ConnectionError::Broken => WireEvent::ResponseTruncated,
        ConnectionError::Invalid { .. } => WireEvent::Malformed,
    }
}

fn body_event(error: ConnectionError) -> WireEvent {
    match error {
        ConnectionError::TimedOut => WireEvent::TimedOut,
        ConnectionError::Closed | ConnectionError::Broken => WireEvent::ResponseTruncated,
        ConnectionError::Invalid { .. } => WireEvent::Malformed,
    }
}
