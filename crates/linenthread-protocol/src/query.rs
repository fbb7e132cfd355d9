//! What clients request, and what they get.

mod wire;

use linenthread_core::interface::Completeness;
use serde::Deserialize;
use serde_json::error::Category;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Where the load balancer and the operators ask whether queries are accepted.
pub const HEALTH_PATH: &str = "/healthz";

/// A longer request body, in bytes, is not accepted.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

const ID_HEADER: &str = "x-trace-id";
const CUSTOMER_HEADER: &str = "x-customer";
const KEY_HEADER: &str = "x-object";
const EXPIRY_HEADER: &str = "x-expires-in-ms";

/// The longest id, customer or key, in bytes: ids go into frames and are stored while their query is open.
const MAX_NAME_BYTES: usize = 128;

/// The weights of a query may miss 1 by this much: each is rounded on its own.
const WEIGHT_ROUNDING: f64 = 0.01;

/// The form of a query's body, as clients are told it.
const QUERY_FORM: &str = r#"{"buckets":[{"bucket":3,"part":1}],"body":"text"}"#;

/// The form of a page, as clients are told it.
const PAGE_FORM: &str = r#"{"page":{"rows":20,"after":"cursor"}}"#;

/// The longest time, in milliseconds, that a client may wait: a day.
const MAX_WAIT_MS: u64 = 86_400_000;

/// One query as its client sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// Its id, unique among open queries.
    pub id: String,
    /// The customer it is from, where it names one.
    pub customer: Option<String>,
    /// Its routing key, where it has one.
    pub key: Option<String>,
    /// How long its client waits, in milliseconds.
    pub expires_in_ms: u64,
    /// Its sub-requests, at least one, each for a shard of its own.
    pub sub_requests: Vec<SubRequest>,
    /// What each sub-request carries, unchanged.
    pub body: String,
}

/// One sub-request of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct SubRequest {
    /// The shard it is for.
    pub shard: usize,
    /// Its share of the query, above 0 and up to 1.
    pub weight: f64,
}

/// Which page of a merged index is requested: `"page":{"rows":20,"after":"CURSOR"}` in a request's body.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Page {
    /// Number of rows.
    pub rows: Option<usize>,
    /// Where the page before ended.
    #[serde(rename = "after")]
    pub cursor: Option<String>,
}

/// Why a request is not accepted. The message is sent to the client.
#[derive(Debug, Snafu)]
pub enum QueryError {
    /// A required header is missing.
    #[snafu(display("{header} is missing"))]
    MissingHeader {
        /// The header.
        header: &'static str,
    },
    /// A header's value is empty or too long.
    #[snafu(display("{header} cannot be of {length} bytes"))]
    HeaderLength {
        /// The header.
        header: &'static str,
        /// The length of its value.
        length: usize,
    },
    /// The id has characters that ids cannot have.
    #[snafu(display("{ID_HEADER} may hold letters, digits, - and _ only"))]
    BadId,
    /// The client's wait is no number, or out of range.
    #[snafu(display("{EXPIRY_HEADER} is no number of milliseconds from 1 to {MAX_WAIT_MS}"))]
    BadExpiry,
    /// The body is not JSON, or has another form. The parser's own text names types of this program, so clients get
    /// another one.
    #[snafu(display("the body {}", json_fault(source, QUERY_FORM)))]
    Body {
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The page has another form.
    #[snafu(display("the page {}", json_fault(source, PAGE_FORM)))]
    Page {
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// There is no sub-request.
    #[snafu(display("no parts are asked for"))]
    NoSubRequests,
    /// Two sub-requests are for the same shard.
    #[snafu(display("a shard is named twice"))]
    RepeatedShard,
    /// A sub-request's weight, effort or seed has another form.
    #[snafu(display(
        "a part's share is not above 0 and up to 1, or its effort or seed has no such form"
    ))]
    BadSubRequest,
    /// The weights' sum is not 1.
    #[snafu(display("the parts' shares don't add up to 1"))]
    BadWeights,
}

/// What is wrong with JSON that should have a form, and where.
fn json_fault(error: &serde_json::Error, form: &str) -> String {
    let place = format!("line {}, column {}", error.line(), error.column());
    match error.classify() {
        Category::Data => format!("is not of the form {form}: {place}"),
        Category::Syntax | Category::Eof | Category::Io => format!("is not JSON: {place}"),
    }
}

/// The name of the index that a path is for.
pub fn index_name(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or("")
}

/// Decodes a request: its headers by their names in lower case, and its body.
///
/// # Errors
///
/// [`QueryError`] if a header or the body is missing or has another form.
pub fn decode<'a>(
    header: impl Fn(&str) -> Option<&'a str>,
    body: &[u8],
) -> Result<Query, QueryError> {
    let id = named_value(&header, ID_HEADER)?.context(MissingHeaderSnafu { header: ID_HEADER })?;
    let is_id_character = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    ensure!(id.bytes().all(is_id_character), BadIdSnafu);
    let expires_in_ms = expiry(&header)?;
    let request: wire::Asked = serde_json::from_slice(body).context(BodySnafu)?;
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

/// An id, customer or key from its header, which may be missing.
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

/// How long the client waits, in milliseconds.
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

fn validate(parts: &[wire::Part]) -> Result<(), QueryError> {
    ensure!(!parts.is_empty(), NoSubRequestsSnafu);
    let mut shards: Vec<usize> = parts.iter().map(|part| part.bucket).collect();
    shards.sort_unstable();
    let is_repeated = shards.windows(2).any(|pair| pair[0] == pair[1]);
    ensure!(!is_repeated, RepeatedShardSnafu);
    let is_well_formed = parts.iter().all(wire::Part::is_well_formed);
    ensure!(is_well_formed, BadSubRequestSnafu);
    let total: f64 = parts.iter().map(|part| part.part).sum();
    let misses_one = (total - 1.0).abs() > WEIGHT_ROUNDING;
    ensure!(!misses_one, BadWeightsSnafu);
    Ok(())
}

/// Decodes the page from a request's body; only merged indexes have pages.
///
/// # Errors
///
/// [`QueryError::Page`] if the page has another form.
pub fn decode_page(body: &[u8]) -> Result<Page, QueryError> {
    /// Named as clients know it, like [`wire`]'s types.
    #[derive(Deserialize)]
    struct Asked {
        page: Option<Page>,
    }
    let asked: Asked = serde_json::from_slice(body).context(PageSnafu)?;
    Ok(asked.page.unwrap_or_default())
}

/// The value of one shard, as its replica gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardValue<'a> {
    /// The shard.
    pub shard: usize,
    /// Its value.
    pub value: &'a str,
}

/// The body of a response.
pub fn encode_response<'a>(
    completeness: Completeness,
    values: impl Iterator<Item = ShardValue<'a>>,
) -> Vec<u8> {
    let found = values.map(|ShardValue { shard, value }| wire::Found {
        bucket: shard,
        item: value,
    });
    let body = wire::Body {
        finished: completeness == Completeness::Complete,
        found: found.collect(),
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

/// The value of `Retry-After`: seconds with three decimals, of a time in milliseconds.
pub fn retry_after_seconds(ms: f64) -> String {
    format!("{:.3}", ms / 1000.0)
}
