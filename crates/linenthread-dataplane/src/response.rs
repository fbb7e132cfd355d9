//! Responses to clients.

use linenthread_core::interface::TenthMillis;
use linenthread_http::{content_length, merge_top_records, write_decimal};
use smallvec::SmallVec;

use crate::outcome::SendState;
use crate::pool::ReplicaResponse;

/// Time units of the decision module per second.
const TENTHS_PER_SECOND: f64 = 10_000.0;
/// The shortest `Retry-After`, in seconds: the header has three decimal places.
const MIN_RETRY_AFTER_SECONDS: f64 = 0.001;
/// Initial capacity for the header lines of a forwarded response, in bytes.
const FORWARDED_HEADER_BYTES: usize = 256;

/// Initial capacity for the header lines of a merged response without the seals, in bytes.
const MERGED_HEADER_BYTES: usize = 128;
/// Initial capacity per seal of a merged response, in bytes.
const SEAL_BYTES: usize = 64;

/// The responses of the sub-requests that succeeded.
pub(crate) type SubRequestResponses<'a> = SmallVec<[&'a ReplicaResponse; 8]>;

/// The `Content-Length` of a response to a `HEAD`, which omits the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OmittedLength {
    /// The length of the response's own body: it would be the same for a `GET`.
    OfBody,
    /// The length that the replica stated.
    Stated(u64),
    /// The length is unknown, so the header is omitted.
    Unknown,
}

pub(crate) struct Response {
    pub(crate) status: u16,
    /// Complete lines, without `Connection` and `Content-Length`.
    pub(crate) headers: Vec<u8>,
    pub(crate) body: Vec<u8>,
    /// Determines `Content-Length` in a response to a `HEAD`.
    pub(crate) omitted_length: OmittedLength,
}

impl Response {
    pub(crate) fn empty(status: u16) -> Response {
        Response::with_headers(status, Vec::new())
    }

    pub(crate) fn with_headers(status: u16, headers: Vec<u8>) -> Response {
        Response {
            status,
            headers,
            body: Vec::new(),
            omitted_length: OmittedLength::OfBody,
        }
    }

    /// Forwards a replica's response unchanged.
    pub(crate) fn forwarded(response: ReplicaResponse) -> Response {
        let mut headers = Vec::with_capacity(FORWARDED_HEADER_BYTES);
        response.head.forward_headers(&mut headers, &[]);
        Response {
            status: response.head.status(),
            headers,
            omitted_length: stated_length(&response),
            body: response.body,
        }
    }

    /// Merges responses into the `limit` greatest records, and states how many of the `sub_request_count` sub-requests
    /// are missing.
    pub(crate) fn merged(
        request_id: &str,
        responses: &[&ReplicaResponse],
        sub_request_count: usize,
        limit: usize,
    ) -> Response {
        let mut headers = Vec::with_capacity(MERGED_HEADER_BYTES + responses.len() * SEAL_BYTES);
        headers.extend_from_slice(b"X-Attempt-Id: ");
        headers.extend_from_slice(request_id.as_bytes());
        headers.extend_from_slice(b"\r\nX-Part-Seals: ");
        for (index, response) in responses.iter().enumerate() {
            if index > 0 {
                headers.extend_from_slice(b", ");
            }
            let seal = response.head.header("x-replica-seal").unwrap_or_default();
            headers.extend_from_slice(seal.as_bytes());
        }
        headers.extend_from_slice(b"\r\nX-Missing-Parts: ");
        write_decimal(&mut headers, (sub_request_count - responses.len()) as u64);
        headers.extend_from_slice(b"\r\n");
        Response {
            status: 200,
            headers,
            body: merge_top_records(
                responses.iter().map(|response| response.body.as_slice()),
                limit,
            ),
            // Without the replicas' records, the length of the merged body is unknown.
            omitted_length: OmittedLength::Unknown,
        }
    }

    /// Builds the response to an abandoned query. `furthest` is how far the request got at any replica: if nothing of
    /// it can have run, the status is 503, which guarantees that; otherwise it is 502, which guarantees nothing. If
    /// `retry_after` is present, the response says when to retry.
    pub(crate) fn abandoned(furthest: SendState, retry_after: Option<TenthMillis>) -> Response {
        let status = match furthest {
            SendState::NotSent | SendState::Rejected => 503,
            SendState::MayHaveRun => 502,
        };
        let headers = retry_after.map_or(Vec::new(), |retry_after| {
            let seconds = (retry_after as f64 / TENTHS_PER_SECOND).max(MIN_RETRY_AFTER_SECONDS);
            format!("Retry-After: {seconds:.3}\r\n").into_bytes()
        });
        Response::with_headers(status, headers)
    }
}

fn stated_length(response: &ReplicaResponse) -> OmittedLength {
    match content_length(&response.head) {
        Ok(Some(length)) => OmittedLength::Stated(length),
        Ok(None) | Err(_) => OmittedLength::Unknown,
    }
}
