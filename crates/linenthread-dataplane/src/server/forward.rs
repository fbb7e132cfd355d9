//! Converts a client's request to the form sent to replicas.

use linenthread_config::ResolvedRoute;
use linenthread_core::interface::TenthMillis;
use linenthread_http::{Head, write_decimal};
use snafu::{OptionExt, ResultExt, Snafu};

use super::receive::ClientRequest;
use crate::clock;
use crate::outcome::ResponseUse;
use crate::pool::ReplicaRequest;

/// Headers that are not forwarded because they apply to the client connection only, are written anew, or hold a
/// secret. Replicas trust `X-Client-Name` to name the tenant, and never see the tenant's key.
const REPLACED_HEADERS: [&str; 6] = [
    "x-remaining-ms",
    "x-target-replica",
    "expect",
    "host",
    "authorization",
    "x-client-name",
];
/// Initial capacity for the head sent to replicas, in bytes.
const HEAD_BYTES: usize = 256;
/// Initial capacity for the `Content-Length` line, in bytes.
const LENGTH_LINE_BYTES: usize = 32;

/// Why the headers of a request are invalid.
#[derive(Debug, Snafu)]
pub(super) enum HeaderError {
    /// The request has no id, or several.
    #[snafu(display("exactly one X-Attempt-Id is needed"))]
    AttemptId,
    /// The client's remaining time is not a number.
    #[snafu(display("X-Remaining-Ms is not a number: {source}"))]
    RemainingTime {
        /// The parse error.
        source: std::num::ParseIntError,
    },
}

/// Builds the request that is sent to replicas.
pub(super) fn to_replica_request(
    request: &ClientRequest,
    host: &str,
    resolved: &ResolvedRoute,
) -> Result<ReplicaRequest, HeaderError> {
    let ClientRequest { head, body } = request;
    let response_use = match resolved.route.fanout {
        Some(_) => ResponseUse::Merged,
        None => ResponseUse::Forwarded,
    };
    let request = ReplicaRequest::new(
        encode_head(head, host),
        encode_rest(head, body),
        request_id(head)?.to_owned(),
        response_use,
    );
    Ok(request.with_body_presence(head.response_body_presence()))
}

/// Returns the deadline of a request: the client's remaining time, at most the timeout of the route.
pub(super) fn deadline(head: &Head, resolved: &ResolvedRoute) -> Result<TenthMillis, HeaderError> {
    let limit_ms = resolved.route.timeout_ms;
    let remaining_ms = match head.header("x-remaining-ms") {
        Some(remaining) => remaining.parse::<u64>().context(RemainingTimeSnafu)? as f64,
        None => limit_ms,
    };
    Ok(clock::now_tenth_millis() + clock::ms_to_tenth_millis(remaining_ms.min(limit_ms)))
}

/// Returns the id that replicas echo in their responses to the request.
fn request_id(head: &Head) -> Result<&str, HeaderError> {
    let is_only = head.header_values("x-attempt-id").count() == 1;
    head.header("x-attempt-id")
        .filter(|id| is_only && !id.is_empty())
        .context(AttemptIdSnafu)
}

/// Encodes the head for replicas, except for the headers that differ between replicas and the end of the head.
fn encode_head(head: &Head, host: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD_BYTES);
    for piece in [
        head.method(),
        " ",
        head.target(),
        " HTTP/1.1\r\nHost: ",
        host,
        "\r\n",
    ] {
        bytes.extend_from_slice(piece.as_bytes());
    }
    head.forward_headers(&mut bytes, &REPLACED_HEADERS);
    bytes
}

/// Encodes the end of the head, and the body.
fn encode_rest(head: &Head, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(LENGTH_LINE_BYTES + body.len());
    if !body.is_empty() || !matches!(head.method(), "GET" | "HEAD" | "DELETE") {
        bytes.extend_from_slice(b"Content-Length: ");
        write_decimal(&mut bytes, body.len() as u64);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}
