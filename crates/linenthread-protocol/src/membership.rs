//! The roster's lists of replicas.

use std::net::SocketAddr;

use linenthread_core::interface::Phase;
use serde::Deserialize;

/// More replicas than these are no list to go by, and a longer body is not read.
pub const MAX_REPLICAS: usize = 4096;
pub const MAX_BYTES: usize = 2 * 1024 * 1024;

/// The path of the whole list.
pub const LIST_PATH: &str = "/v1/servers";

/// The path of a watch for what is newer than a revision.
pub fn watch_path(revision: u64, hold_ms: u64) -> String {
    format!("{LIST_PATH}?from={revision}&hold_ms={hold_ms}")
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct MembershipList {
    pub revision: u64,
    /// What the list leaves out is gone.
    #[serde(rename = "complete")]
    pub complete: bool,
    #[serde(rename = "members")]
    pub replicas: Vec<Member>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Member {
    pub id: String,
    #[serde(rename = "host_port")]
    pub address: SocketAddr,
    #[serde(rename = "locality")]
    pub zone: String,
    #[serde(rename = "cell")]
    pub replica_group: usize,
    #[serde(deserialize_with = "phase")]
    pub phase: Phase,
    /// When it last started, by the system's clock; 0 for long ago.
    #[serde(rename = "up_since_ms", default)]
    pub started_at_ms: f64,
}

fn phase<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Phase, D::Error> {
    match String::deserialize(from)?.as_str() {
        "active" => Ok(Phase::Ready),
        "leaving" => Ok(Phase::Draining),
        "left" => Ok(Phase::Removed),
        other => Err(serde::de::Error::custom(format!(
            "phase cannot be {other:?}"
        ))),
    }
}

/// Reads a list, and holds it to the number of cells that the deployment has.
pub fn decode(text: &[u8], cells: usize) -> Result<MembershipList, String> {
    held_to(cells, serde_json::from_slice(text))
}

/// The same for a list that stands in a larger text, already read.
pub fn from_value(value: &serde_json::Value, cells: usize) -> Result<MembershipList, String> {
    held_to(cells, MembershipList::deserialize(value))
}

fn held_to(
    cells: usize,
    read: serde_json::Result<MembershipList>,
) -> Result<MembershipList, String> {
    let list = read.map_err(|e| format!("the list does not parse: {e}"))?;
    if list.replicas.len() > MAX_REPLICAS {
        return Err(format!(
            "the list has {} replicas, more than {MAX_REPLICAS}",
            list.replicas.len()
        ));
    }
    match list
        .replicas
        .iter()
        .find(|r| r.replica_group >= cells || r.id.len() > 128 || r.zone.len() > 128)
    {
        Some(bad) => Err(format!(
            "the list places {:.40} in cell {} of {cells}",
            bad.id, bad.replica_group
        )),
        None => Ok(list),
    }
}
