//! Decodes the queries of clients, and encodes the responses.

mod wire;

use linenthread_core::interface::Completeness;
use serde::Deserialize;
use serde_json::error::Category;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// The path at which load balancers and operators check whether queries are accepted.
pub const HEALTH_PATH: &str = "/healthz";

/// The maximum size of a request's body in bytes; a larger one is rejected.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

const ID_HEADER: &str = "x-trace-id";
const CUSTOMER_HEADER: &str = "x-customer";
const KEY_HEADER: &str = "x-object";
const EXPIRY_HEADER: &str = "x-expires-in-ms";

/// The maximum length of an id, customer or key, in bytes; ids are sent in frames and stored while their query is open.
const MAX_NAME_BYTES: usize = 128;

/// The tolerated difference between the sum of a query's weights and 1, as each weight is rounded separately.
const WEIGHT_ROUNDING: f64 = 0.01;

/// The form of a query's body, as shown to clients in error messages.
const QUERY_FORM: &str = r#"{"buckets":[{"bucket":3,"part":1}],"body":"text"}"#;

/// The form of a page, as shown to clients in error messages.
const PAGE_FORM: &str = r#"{"page":{"rows":20,"after":"cursor"}}"#;

/// The maximum time that a client may wait, in milliseconds: one day.
const MAX_WAIT_MS: u64 = 86_400_000;

/// A query as its client sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// The id, unique among open queries.
    pub id: String,
    /// The name of the customer, if there is one.
    pub customer: Option<String>,
    /// The routing key, if there is one.
    pub key: Option<String>,
    /// The time for which the client waits, in milliseconds.
    pub expires_in_ms: u64,
    /// The sub-requests: at least one, each for a different shard.
    pub sub_requests: Vec<SubRequest>,
    /// The text that is sent with each sub-request, unchanged.
    pub body: String,
}

/// A sub-request of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct SubRequest {
    /// The number of the shard.
    pub shard: usize,
    /// The share of the query, above 0 and at most 1.
    pub weight: f64,
}

/// The requested page of a merged index: `"page":{"rows":20,"after":"CURSOR"}` in a request's body.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Page {
    /// The requested number of rows, if not the default.
    pub rows: Option<usize>,
    /// The cursor from the response with the previous page; `None` for the first page.
    #[serde(rename = "after")]
    pub cursor: Option<String>,
}

/// The reason why a request is rejected. The message is sent to the client.
#[derive(Debug, Snafu)]
pub enum QueryError {
    /// A required header is missing.
    #[snafu(display("{header} is missing"))]
    MissingHeader {
        /// The name of the header.
        header: &'static str,
    },
    /// A header's value is empty or too long.
    #[snafu(display("{header} cannot be of {length} bytes"))]
    HeaderLength {
        /// The name of the header.
        header: &'static str,
        /// The length of its value in bytes.
        length: usize,
    },
    /// The id contains characters other than letters, digits, `-` and `_`.
    #[snafu(display("{ID_HEADER} may hold letters, digits, - and _ only"))]
    BadId,
    /// The client's waiting time is not a number, or out of range.
    #[snafu(display("{EXPIRY_HEADER} is no number of milliseconds from 1 to {MAX_WAIT_MS}"))]
    BadExpiry,
    /// The body is not JSON, or not of the expected form. The message has the parser's position but not its text, which
    /// would expose names of internal types to clients.
    #[snafu(display("the body {}", describe_json_error(source, QUERY_FORM)))]
    Body {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The page is not of the expected form.
    #[snafu(display("the page {}", describe_json_error(source, PAGE_FORM)))]
    Page {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// There are no sub-requests.
    #[snafu(display("no parts are asked for"))]
    NoSubRequests,
    /// Two sub-requests are for the same shard.
    #[snafu(display("a shard is named twice"))]
    RepeatedShard,
    /// A sub-request's weight, effort or seed is invalid.
    #[snafu(display(
        "a part's share is not above 0 and up to 1, or its effort or seed has no such form"
    ))]
    BadSubRequest,
    /// The sum of the weights is not 1, even within the tolerance for rounding.
    #[snafu(display("the parts' shares don't add up to 1"))]
    BadWeights,
}

/// Describes for clients whether text is not JSON or not of the expected form, and at which position.
fn describe_json_error(error: &serde_json::Error, form: &str) -> String {
    let position = format!("line {}, column {}", error.line(), error.column());
    match error.classify() {
        Category::Data => format!("is not of the form {form}: {position}"),
        Category::Syntax | Category::Eof | Category::Io => format!("is not JSON: {position}"),
    }
}

/// Returns the name of the index from a request's path: its first segment.
pub fn index_name(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or("")
}

/// Decodes a request from its body and its headers; `header` returns the value of a header by its name in lower case.
///
/// # Errors
///
/// [`QueryError`] if a header is missing, or if a header or the body is not of the expected form.
pub fn decode<'a>(
    header: impl Fn(&str) -> Option<&'a str>,
    body: &[u8],
) -> Result<Query, QueryError> {
    let id = named_value(&header, ID_HEADER)?.context(MissingHeaderSnafu { header: ID_HEADER })?;
    let is_id_character = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    ensure!(id.bytes().all(is_id_character), BadIdSnafu);
    let expires_in_ms = expiry(&header)?;
    let request: wire::RequestBody = serde_json::from_slice(body).context(BodySnafu)?;
    validate(&request.buckets)?;
    let sub_requests = request.buckets.iter().map(|part| SubRequest {
        shard: part.bucket,
        weight: part.part,
    });
    Ok(Query {
        id,
        customer: named_value(&header, CUSTOMER_HEADER)?,
        key: named_value(&header, KEY_HEADER)?,
        expires_in_ms,
        sub_requests: sub_requests.collect(),
        body: request.body,
    })
}

/// Returns an id, customer or key from its header; `None` if the header is missing.
fn named_value<'a>(
    header: &impl Fn(&str) -> Option<&'a str>,
    header_name: &'static str,
) -> Result<Option<String>, QueryError> {
    let Some(value) = header(header_name) else {
        return Ok(None);
    };
    ensure!(
        (1..=MAX_NAME_BYTES).contains(&value.len()),
        HeaderLengthSnafu {
            header: header_name,
            length: value.len(),
        }
    );
    Ok(Some(value.to_owned()))
}

/// Returns the time for which the client waits, in milliseconds.
fn expiry<'a>(header: &impl Fn(&str) -> Option<&'a str>) -> Result<u64, QueryError> {
    let value = header(EXPIRY_HEADER).context(MissingHeaderSnafu {
        header: EXPIRY_HEADER,
    })?;
    value
        .trim()
        .parse()
        .ok()
        .filter(|ms| (1..=MAX_WAIT_MS).contains(ms))
        .context(BadExpirySnafu)
}

fn validate(parts: &[wire::RequestedPart]) -> Result<(), QueryError> {
    ensure!(!parts.is_empty(), NoSubRequestsSnafu);
    let mut shards: Vec<usize> = parts.iter().map(|part| part.bucket).collect();
    shards.sort_unstable();
    let is_repeated = shards.windows(2).any(|pair| pair[0] == pair[1]);
    ensure!(!is_repeated, RepeatedShardSnafu);
    let is_well_formed = parts.iter().all(wire::RequestedPart::is_well_formed);
    ensure!(is_well_formed, BadSubRequestSnafu);
    let total: f64 = parts.iter().map(|part| part.part).sum();
    let differs_from_one = (total - 1.0).abs() > WEIGHT_ROUNDING;
    ensure!(!differs_from_one, BadWeightsSnafu);
    Ok(())
}

/// Decodes the requested page from a request's body; the default if there is none. Only merged indexes have pages.
///
/// # Errors
///
/// [`QueryError::Page`] if the page is not of the expected form.
pub fn decode_page(body: &[u8]) -> Result<Page, QueryError> {
    #[derive(Deserialize)]
    struct PageBody {
        page: Option<Page>,
    }
    let body: PageBody = serde_json::from_slice(body).context(PageSnafu)?;
    Ok(body.page.unwrap_or_default())
}

/// The value of a shard, as received from its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardValue<'a> {
    /// The number of the shard.
    pub shard: usize,
    /// The value.
    pub value: &'a str,
}

/// Encodes the body of a response that is not merged.
pub fn encode_response<'a>(
    completeness: Completeness,
    values: impl Iterator<Item = ShardValue<'a>>,
) -> Vec<u8> {
    let found = values.map(|ShardValue { shard, value }| wire::FoundValue {
        bucket: shard,
        item: value,
    });
    let body = wire::ResponseBody {
        finished: completeness == Completeness::Complete,
        found: found.collect(),
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

/// Formats a time in milliseconds as the value of `Retry-After`: seconds with three decimals.
pub fn retry_after_seconds(ms: f64) -> String {
    format!("{:.3}", ms / 1000.0)
}
