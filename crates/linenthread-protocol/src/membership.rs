//! The lists of replicas that service discovery serves.

use std::net::SocketAddr;

use linenthread_core::interface::Phase;
use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

/// A list of more replicas than these is not accepted.
pub const MAX_REPLICAS: usize = 4096;

/// A longer body, in bytes, is not read.
pub const MAX_BYTES: usize = 2 * 1024 * 1024;

/// The path of the complete list.
pub const LIST_PATH: &str = "/v1/servers";

/// The longest id of a replica, and the longest name of a zone, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// The path of a watch for what is newer than a revision; the response is held back for up to `hold_ms`
/// milliseconds while there is nothing.
pub fn watch_path(revision: u64, hold_ms: u64) -> String {
    format!("{LIST_PATH}?from={revision}&hold_ms={hold_ms}")
}

/// A list of replicas, or of those that have changed.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct MembershipList {
    /// Rises with each change.
    pub revision: u64,
    /// Replicas that the list leaves out are removed.
    pub complete: bool,
    /// The entries.
    #[serde(rename = "members")]
    pub replicas: Vec<Member>,
}

/// One replica as a list has it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Member {
    /// Its id, the same at every co-ordinator.
    pub id: String,
    /// Where it listens.
    #[serde(rename = "host_port")]
    pub address: SocketAddr,
    /// The zone it runs in.
    #[serde(rename = "locality")]
    pub zone: String,
    /// The number of its replica group.
    #[serde(rename = "cell")]
    pub replica_group: usize,
    /// Whether it serves.
    #[serde(deserialize_with = "phase")]
    pub phase: Phase,
    /// When it last started, in milliseconds since 1970; 0 for long ago.
    #[serde(rename = "up_since_ms", default)]
    pub started_at_ms: f64,
}

/// Why a list cannot be used.
#[derive(Debug, Snafu)]
pub enum MembershipError {
    /// It is not JSON, or has another form.
    #[snafu(display("the list is invalid: {source}"))]
    Parse {
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// It has more than [`MAX_REPLICAS`] entries.
    #[snafu(display("the list has {count} replicas, more than {MAX_REPLICAS}"))]
    TooManyReplicas {
        /// Number of its entries.
        count: usize,
    },
    /// An entry names a replica group that does not exist, or has too long a name.
    #[snafu(display("the list places {id:.40} in cell {replica_group} of {replica_groups}"))]
    InvalidMember {
        /// The replica.
        id: String,
        /// Its replica group.
        replica_group: usize,
        /// Number of replica groups.
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

/// Decodes a list, for a cluster with so many replica groups.
///
/// # Errors
///
/// [`MembershipError`] if it does not parse or does not fit the cluster.
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
