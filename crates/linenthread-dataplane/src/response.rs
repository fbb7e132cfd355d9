//! What a client gets.

use linenthread_core::interface::TenthMillis;
use linenthread_http::{merge_top_records, write_decimal};
use smallvec::SmallVec;

use crate::pool::ReplicaResponse;

/// Units of the decision module in a second.
const TENTHS_PER_SECOND: f64 = 10_000.0;
/// The shortest wait that clients are advised, in seconds: the header has three decimal places.
const MIN_RETRY_AFTER_SECONDS: f64 = 0.001;
/// Space for the header lines of a forwarded response, in bytes.
const FORWARDED_HEADER_BYTES: usize = 256;

/// The responses of the parts that have arrived.
pub(crate) type PartResponses<'a> = SmallVec<[&'a ReplicaResponse; 8]>;

/// A status, headers and a body.
pub(crate) struct Response {
    pub(crate) status: u16,
    /// Whole lines, without those of the connection and of the length.
    pub(crate) headers: Vec<u8>,
    pub(crate) body: Vec<u8>,
}

impl Response {
    /// A status alone.
    pub(crate) fn empty(status: u16) -> Response {
        Response::with_headers(status, Vec::new())
    }

    /// A status and headers, with no body.
    pub(crate) fn with_headers(status: u16, headers: Vec<u8>) -> Response {
        Response {
            status,
            headers,
            body: Vec::new(),
        }
    }

    /// A replica's response as it arrived.
    pub(crate) fn forwarded(response: ReplicaResponse) -> Response {
        let mut headers = Vec::with_capacity(FORWARDED_HEADER_BYTES);
        response.head.forward_headers(&mut headers, &[]);
        Response {
            status: response.head.status(),
            headers,
            body: response.body,
        }
    }

    /// The `limit` greatest records of the parts that have arrived, and how many of `part_count` are missing.
    pub(crate) fn merged(
        attempt_id: &str,
        parts: &[&ReplicaResponse],
        part_count: usize,
        limit: usize,
    ) -> Response {
        let mut headers = Vec::with_capacity(128 + parts.len() * 64);
        headers.extend_from_slice(b"X-Attempt-Id: ");
        headers.extend_from_slice(attempt_id.as_bytes());
        headers.extend_from_slice(b"\r\nX-Part-Seals: ");
        for (index, part) in parts.iter().enumerate() {
            if index > 0 {
                headers.extend_from_slice(b", ");
            }
            let seal = part.head.header("x-replica-seal").unwrap_or_default();
            headers.extend_from_slice(seal.as_bytes());
        }
        headers.extend_from_slice(b"\r\nX-Missing-Parts: ");
        write_decimal(&mut headers, (part_count - parts.len()) as u64);
        headers.extend_from_slice(b"\r\n");
        Response {
            status: 200,
            headers,
            body: merge_top_records(parts.iter().map(|part| part.body.as_slice()), limit),
        }
    }

    /// No response could be had. Only where nothing of the request can have run does the status promise that; it
    /// says when to retry, if there is advice.
    pub(crate) fn abandoned(may_have_run: bool, retry_after: Option<TenthMillis>) -> Response {
        let headers = retry_after.map_or(Vec::new(), |retry_after| {
            let seconds = (retry_after as f64 / TENTHS_PER_SECOND).max(MIN_RETRY_AFTER_SECONDS);
            format!("Retry-After: {seconds:.3}\r\n").into_bytes()
        });
        Response::with_headers(if may_have_run { 502 } else { 503 }, headers)
    }
}
