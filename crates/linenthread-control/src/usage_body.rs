//! The body of a usage report in the platform's JSON format.

use std::collections::BTreeMap;

use linenthread_time::WindowNumber;
use serde::Serialize;

/// The body; the platform defines its field names.
#[derive(Serialize)]
struct Body<'a> {
    #[serde(rename = "epoch")]
    window: u64,
    #[serde(rename = "tallies")]
    requests: &'a BTreeMap<&'a str, u64>,
}

/// Encodes the body of the report of a window, with the number of requests of each tenant.
pub(crate) fn usage_body(window: WindowNumber, requests: &BTreeMap<&str, u64>) -> Vec<u8> {
    let body = Body {
        window: window.get(),
        requests,
    };
    serde_json::to_vec(&body).expect("a map of strings to integers encodes as JSON")
}
