//! What clients ask, and what they are answered.

use serde::{Deserialize, Serialize};

/// Where a front or the operators ask whether lookups are taken.
pub const HEALTH_PATH: &str = "/healthz";
pub const MAX_BODY_BYTES: usize = 64 * 1024;

const ID: &str = "x-trace-id";
const CUSTOMER: &str = "x-customer";
const KEY: &str = "x-object";
const EXPIRES: &str = "x-expires-in-ms";
/// Ids go into frames and are kept while their lookup is open.
const LONGEST_NAME: usize = 128;
/// Shares are rounded, each on its own.
const ROUNDING: f64 = 0.01;
/// No client waits longer: a day.
const LONGEST_WAIT_MS: u64 = 86_400_000;

/// One lookup as its client asked it.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    pub id: String,
    pub customer: Option<String>,
    pub key: Option<String>,
    pub expires_in_ms: u64,
    pub sub_requests: Vec<SubRequest>,
    /// What each part call carries, unchanged.
    pub body: String,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct SubRequest {
    #[serde(rename = "bucket")]
    pub shard: usize,
    #[serde(rename = "part")]
    pub weight: f64,
    /// An estimate of the work, in microseconds, and a seed of 16 hex digits: held to their form only.
    #[serde(default)]
    effort: Option<f64>,
    #[serde(default)]
    seed: Option<String>,
}

impl SubRequest {
    fn is_well_formed(&self) -> bool {
        let hex = |s: &String| s.len() == 16 && s.bytes().all(|b| b.is_ascii_hexdigit());
        self.weight > 0.0
            && self.weight <= 1.0
            && self.effort.is_none_or(|e| e >= 0.0)
            && self.seed.as_ref().is_none_or(hex)
    }
}

#[derive(Deserialize)]
struct Asked {
    buckets: Vec<SubRequest>,
    body: String,
}

fn name(value: Option<&str>, field: &str) -> Result<Option<String>, String> {
    match value {
        Some(v) if v.is_empty() || v.len() > LONGEST_NAME => {
            Err(format!("{field} cannot be of {} bytes", v.len()))
        }
        other => Ok(other.map(str::to_owned)),
    }
}

/// The index that a path names.
pub fn index_name(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or("")
}

/// Reads a request: its headers by name in small letters, and its body.
pub fn decode<'a>(header: impl Fn(&str) -> Option<&'a str>, body: &[u8]) -> Result<Query, String> {
    let id = name(header(ID), ID)?.ok_or_else(|| format!("{ID} is missing"))?;
    if !id
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
    {
        return Err(format!("{ID} may hold letters, digits, - and _ only"));
    }
    let expires = header(EXPIRES).ok_or_else(|| format!("{EXPIRES} is missing"))?;
    let expires_in_ms = match expires.trim().parse() {
        Ok(ms) if (1..=LONGEST_WAIT_MS).contains(&ms) => ms,
        _ => {
            return Err(format!(
                "{EXPIRES} is no number of milliseconds from 1 to {LONGEST_WAIT_MS}"
            ));
        }
    };
    let asked: Asked =
        serde_json::from_slice(body).map_err(|e| format!("the body does not parse: {e}"))?;
    if asked.buckets.is_empty() {
        return Err("no parts are asked for".into());
    }
    let mut shards: Vec<usize> = asked.buckets.iter().map(|p| p.shard).collect();
    shards.sort_unstable();
    if shards.windows(2).any(|pair| pair[0] == pair[1]) {
        return Err("a shard is named twice".into());
    }
    if !asked.buckets.iter().all(SubRequest::is_well_formed) {
        return Err(
            "a part's share is not above 0 and up to 1, or its effort or seed has no such form"
                .into(),
        );
    }
    if (asked.buckets.iter().map(|p| p.weight).sum::<f64>() - 1.0).abs() > ROUNDING {
        return Err("the parts' shares don't add up to 1".into());
    }
    Ok(Query {
        id,
        customer: name(header(CUSTOMER), CUSTOMER)?,
        key: name(header(KEY), KEY)?,
        expires_in_ms,
        sub_requests: asked.buckets,
        body: asked.body,
    })
}

/// Which page of a merged index is wanted: `"page":{"rows":20,"after":"MARK"}` in a request's body.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Page {
    pub rows: Option<usize>,
    #[serde(rename = "after")]
    pub cursor: Option<String>,
}

/// Reads the page from a request's body; other indexes than merged ones take no notice of it.
///
/// # Errors
///
/// A page that has another form.
pub fn decode_page(body: &[u8]) -> Result<Page, String> {
    #[derive(Deserialize)]
    struct Asked {
        page: Option<Page>,
    }
    let asked: Asked =
        serde_json::from_slice(body).map_err(|e| format!("the page does not parse: {e}"))?;
    Ok(asked.page.unwrap_or_default())
}

#[derive(Serialize)]
struct Found<'a> {
    bucket: usize,
    item: &'a str,
}

#[derive(Serialize)]
struct Body<'a> {
    finished: bool,
    found: Vec<Found<'a>>,
}

/// The body of an answer: shards with their values, as replicas gave them.
pub fn encode_response<'a>(whole: bool, values: impl Iterator<Item = (usize, &'a str)>) -> Vec<u8> {
    let found = values
        .map(|(bucket, item)| Found { bucket, item })
        .collect();
    serde_json::to_vec(&Body {
        finished: whole,
        found,
    })
    .unwrap_or_default()
}

/// Seconds that a client is asked to wait, with as many decimals as the time has.
pub fn retry_after_seconds(ms: f64) -> String {
    format!("{:.3}", ms / 1000.0)
}
