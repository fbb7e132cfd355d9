//! Reads and decodes query requests, and checks them against the deployment.

use std::pin::Pin;
use std::time::Duration;

use actix_http::{HttpMessage, Request, StatusCode, header};
use bytes::{Bytes, BytesMut};
use futures_core::Stream;
use linenthread_protocol::hash_id;
use linenthread_protocol::query::{self as protocol, QueryError};
use snafu::{OptionExt, Snafu, ensure};
use tokio::time::{Instant, timeout_at};

use crate::clock;
use crate::coordinator_driver::{QuerySubmission, SubRequestSubmission};
use crate::query::{QueryContext, QueryRequest};

/// The reason why a request is rejected. The text is sent to the client.
#[derive(Debug, Snafu)]
pub(super) enum RequestError {
    #[snafu(display("the body was not complete in time"))]
    BodyTimeout,
    #[snafu(display("the body is too long"))]
    BodyTooLong,
    #[snafu(display("the body cannot be read"))]
    BodyUnreadable,
    #[snafu(display("no such index"))]
    UnknownIndex,
    #[snafu(display("the customer is missing"))]
    MissingCustomer,
    #[snafu(display("no such customer"))]
    UnknownCustomer,
    #[snafu(display("no such shard: {shard}"))]
    UnknownShard { shard: usize },
    #[snafu(transparent)]
    Query { source: QueryError },
    #[snafu(transparent)]
    Page {
        source: linenthread_merge::QueryError,
    },
    #[snafu(display("a query of this id is in flight"))]
    DuplicateId,
}

impl RequestError {
    pub(super) fn status(&self) -> StatusCode {
        match self {
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::UnknownIndex => StatusCode::NOT_FOUND,
            RequestError::DuplicateId => StatusCode::CONFLICT,
            RequestError::BodyUnreadable
            | RequestError::MissingCustomer
            | RequestError::UnknownCustomer
            | RequestError::UnknownShard { .. }
            | RequestError::Query { .. }
            | RequestError::Page { .. } => StatusCode::BAD_REQUEST,
        }
    }
}

/// Decodes a request and checks it against the deployment.
pub(super) fn decode(
    request: &Request,
    body: &[u8],
    context: &QueryContext,
) -> Result<QueryRequest, RequestError> {
    let cluster = &context.cluster;
    let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok());
    let index = position(&cluster.index_names, protocol::index_name(request.path()))
        .context(UnknownIndexSnafu)?;
    let query = protocol::decode(header, body)?;
    let customer = match &query.customer {
        _ if cluster.customer_names.is_empty() => 0,
        Some(name) => position(&cluster.customer_names, name).context(UnknownCustomerSnafu)?,
        None => return MissingCustomerSnafu.fail(),
    };
    for sub_request in &query.sub_requests {
        let shard = sub_request.shard;
        ensure!(shard < cluster.shard_count, UnknownShardSnafu { shard });
    }
    let submission = QuerySubmission {
        index,
        customer,
        key: query.key.as_deref().map(hash_id),
        sequence_number: hash_id(&query.id),
        expires_in: clock::to_tenths(Duration::from_millis(query.expires_in_ms)),
        sub_requests: query
            .sub_requests
            .iter()
            .map(|sub_request| SubRequestSubmission {
                shard: sub_request.shard,
                weight: sub_request.weight,
            })
            .collect(),
    };
    let is_merged = context.merging.plans.borrow().is_merged(index);
    let page = if is_merged {
        protocol::decode_page(body)?
    } else {
        protocol::Page::default()
    };
    Ok(QueryRequest {
        query,
        submission,
        page,
    })
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// Reads the complete body, which must arrive by the deadline.
pub(super) async fn read_body(
    request: &mut Request,
    deadline: Instant,
) -> Result<Bytes, RequestError> {
    match timeout_at(deadline, read_all(request)).await {
        Ok(body) => body,
        Err(_) => BodyTimeoutSnafu.fail(),
    }
}

/// Reads a body of at most [`protocol::MAX_BODY_BYTES`]. If its announced length exceeds that, nothing is read.
async fn read_all(request: &mut Request) -> Result<Bytes, RequestError> {
    let length: Option<u64> = request
        .head()
        .headers()
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let is_too_long = length.is_some_and(|length| {
        usize::try_from(length).map_or(true, |length| length > protocol::MAX_BODY_BYTES)
    });
    ensure!(!is_too_long, BodyTooLongSnafu);
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    loop {
        let next = std::future::poll_fn(|cx| Pin::new(&mut payload).poll_next(cx)).await;
        match next {
            None => return Ok(body.freeze()),
            Some(Ok(bytes)) if body.len() + bytes.len() <= protocol::MAX_BODY_BYTES => {
                body.extend_from_slice(&bytes);
            }
            Some(Ok(_)) => return BodyTooLongSnafu.fail(),
            Some(Err(_)) => return BodyUnreadableSnafu.fail(),
        }
    }
}
