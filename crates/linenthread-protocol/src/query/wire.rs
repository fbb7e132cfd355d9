//! The bodies of requests and responses as they are on the wire. The names of the fields are part of the wire format
//! and must not change.

use serde::{Deserialize, Serialize};

/// The length of a seed in hexadecimal digits.
const SEED_DIGITS: usize = 16;

/// The body of a request.
#[derive(Deserialize)]
pub(super) struct RequestBody {
    pub(super) buckets: Vec<RequestedPart>,
    pub(super) body: String,
}

/// A sub-request.
#[derive(Deserialize)]
pub(super) struct RequestedPart {
    /// The number of the shard.
    pub(super) bucket: usize,
    /// The weight.
    pub(super) part: f64,
    /// An estimate of the work in microseconds; it is validated but not used.
    #[serde(default)]
    effort: Option<f64>,
    /// [`SEED_DIGITS`] hexadecimal digits; they are validated but not used.
    #[serde(default)]
    seed: Option<String>,
}

impl RequestedPart {
    pub(super) fn is_well_formed(&self) -> bool {
        let is_seed = |seed: &String| {
            seed.len() == SEED_DIGITS && seed.bytes().all(|digit| digit.is_ascii_hexdigit())
        };
        self.part > 0.0
            && self.part <= 1.0
            && self.effort.is_none_or(|effort| effort >= 0.0)
            && self.seed.as_ref().is_none_or(is_seed)
    }
}

/// The body of a response.
#[derive(Serialize)]
pub(super) struct ResponseBody<'a> {
    pub(super) finished: bool,
    pub(super) found: Vec<FoundValue<'a>>,
}

/// The value of a shard.
#[derive(Serialize)]
pub(super) struct FoundValue<'a> {
    pub(super) bucket: usize,
    pub(super) item: &'a str,
}
