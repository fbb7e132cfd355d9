//! Bodies as they are on the wire.
//!
//! A request that does not parse is answered with the parser's message, which contains the names of these types
//! and fields: they are part of the wire and do not change.

use serde::{Deserialize, Serialize};

/// The length of a part's seed, in hexadecimal digits.
const SEED_DIGITS: usize = 16;

/// A request's body.
#[derive(Deserialize)]
pub(super) struct Asked {
    pub(super) buckets: Vec<Part>,
    pub(super) body: String,
}

/// One sub-request.
#[derive(Deserialize)]
pub(super) struct Part {
    /// The shard.
    pub(super) bucket: usize,
    /// The weight.
    pub(super) part: f64,
    /// An estimate of the work in microseconds; only its form is checked.
    #[serde(default)]
    effort: Option<f64>,
    /// 16 hexadecimal digits; only their form is checked.
    #[serde(default)]
    seed: Option<String>,
}

impl Part {
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

/// A response's body.
#[derive(Serialize)]
pub(super) struct Body<'a> {
    pub(super) finished: bool,
    pub(super) found: Vec<Found<'a>>,
}

/// One shard's value.
#[derive(Serialize)]
pub(super) struct Found<'a> {
    pub(super) bucket: usize,
    pub(super) item: &'a str,
}
