//! Decodes the lists of replicas that service discovery serves.

use std::net::SocketAddr;

use linenthread_core::interface::Phase;
use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

/// The maximum number of replicas in a list; a longer list is rejected.
pub const MAX_REPLICAS: usize = 4096;

/// The maximum size of a list's body in bytes; callers must not read a larger one.
pub const MAX_BYTES: usize = 2 * 1024 * 1024;

/// The path from which the complete list is requested.
pub const LIST_PATH: &str = "/v1/servers";

/// The maximum length of a replica's id and of a zone's name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Returns the path of a long poll for changes after a revision; service discovery responds at the latest after
/// `hold_ms` milliseconds, even if there are none.
pub fn watch_path(revision: u64, hold_ms: u64) -> String {
    format!("{LIST_PATH}?from={revision}&hold_ms={hold_ms}")
}

/// A list of all replicas, or of those that have changed.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct MembershipList {
    /// The revision; it increases with each change.
    pub revision: u64,
    /// The list is complete: replicas that it does not contain are removed.
    pub complete: bool,
    /// The replicas.
    #[serde(rename = "members")]
    pub replicas: Vec<Member>,
}

/// A replica in a list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Member {
    /// The id, the same at every co-ordinator.
    pub id: String,
    /// The address on which it listens.
    #[serde(rename = "host_port")]
    pub address: SocketAddr,
    /// The name of the zone in which it runs.
    #[serde(rename = "locality")]
    pub zone: String,
    /// The number of its replica group.
    #[serde(rename = "cell")]
    pub replica_group: usize,
    /// Whether it is ready, draining or removed.
    #[serde(deserialize_with = "phase")]
    pub phase: Phase,
    /// The time of its last start, in milliseconds since 1970; 0, the default, means long ago.
    #[serde(rename = "up_since_ms", default)]
    pub started_at_ms: f64,
}

/// The reason why a list is rejected.
#[derive(Debug, Snafu)]
pub enum MembershipError {
    /// The list is not JSON, or not of the expected form.
    #[snafu(display("the list is invalid: {source}"))]
    Parse {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The list has more than [`MAX_REPLICAS`] entries.
    #[snafu(display("the list has {count} replicas, more than {MAX_REPLICAS}"))]
    TooManyReplicas {
        /// The number of entries.
        count: usize,
    },
    /// An entry has a replica group that does not exist, or too long an id or zone name.
    #[snafu(display("the list places {id:.40} in cell {replica_group} of {replica_groups}"))]
    InvalidMember {
        /// The id of the replica.
        id: String,
        /// The number of its replica group.
        replica_group: usize,
        /// The number of replica groups in the cluster.
        replica_groups: usize,
    },
}

fn phase<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Phase, D::Error> {
    match String::deserialize(deserializer)?.as_str() {
        "active" => Ok(Phase::Ready),
        "leaving" => Ok(Phase::Draining),
        "left" => Ok(Phase::Removed),
        other => Err(serde::de::Error::custom(format!(
            "phase cannot be {other:?}"
        ))),
    }
}

/// Decodes a list for a cluster with `replica_groups` replica groups.
///
/// # Errors
///
/// [`MembershipError`] if the list cannot be parsed, is too long or does not fit the cluster.
pub fn decode(text: &[u8], replica_groups: usize) -> Result<MembershipList, MembershipError> {
    let list = serde_json::from_slice(text).context(ParseSnafu)?;
    validate(list, replica_groups)
}

/// Decodes a list that is part of a larger document.
///
/// # Errors
///
/// As [`decode`].
pub fn from_value(
    value: &serde_json::Value,
    replica_groups: usize,
) -> Result<MembershipList, MembershipError> {
    let list = MembershipList::deserialize(value).context(ParseSnafu)?;
    validate(list, replica_groups)
}

fn validate(
    list: MembershipList,
    replica_groups: usize,
) -> Result<MembershipList, MembershipError> {
    let count = list.replicas.len();
    ensure!(count <= MAX_REPLICAS, TooManyReplicasSnafu { count });
    for member in &list.replicas {
        ensure!(
            member.replica_group < replica_groups
                && member.id.len() <= MAX_NAME_BYTES
                && member.zone.len() <= MAX_NAME_BYTES,
            InvalidMemberSnafu {
                id: &member.id,
                replica_group: member.replica_group,
                replica_groups,
            }
        );
    }
    Ok(list)
}
