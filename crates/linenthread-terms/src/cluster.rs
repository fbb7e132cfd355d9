//! What the cluster calls its parts, and what connections to its replicas may do.

use linenthread_core::interface::TenthMillis;
use serde_json::Value;

use crate::error::SettingsError;
use crate::reader::{count, names, time};

/// The names within a cluster, and the limits of connections to its replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterConfig {
    /// The indexes, in the order of their numbers.
    pub index_names: Vec<String>,
    /// The customers, in the order of their numbers.
    pub customer_names: Vec<String>,
    /// The zones, in the order of their numbers.
    pub zone_names: Vec<String>,
    /// Number of shards.
    pub shard_count: usize,
    /// Sub-requests that one request to a replica carries at most; at least 1.
    pub max_sub_requests_per_call: usize,
    /// Requests that one connection carries at once; at least 1.
    pub max_streams: usize,
    /// How long a connection may take to be established.
    pub connect_timeout: TenthMillis,
    /// A connection idle for this long is closed by the replica.
    pub idle_timeout: TenthMillis,
}

/// Decodes what connections need.
///
/// # Errors
///
/// [`SettingsError`] if a setting is missing or has another type.
pub fn cluster_config(root: &Value) -> Result<ClusterConfig, SettingsError> {
    Ok(ClusterConfig {
        index_names: names(root, "classes", |class| class.get("name")?.as_str())?,
        customer_names: names(root, "accounts", |account| account.get("name")?.as_str())?,
        zone_names: names(root, "dcs", Value::as_str)?,
        shard_count: count(root, "family-info.ranges")?,
        max_sub_requests_per_call: count(root, "family-info.parts-a-call")?.max(1),
        max_streams: count(root, "allowed.streams-per-conn")?.max(1),
        connect_timeout: time(root, "allowed.connect-timeout-ms")?,
        idle_timeout: time(root, "allowed.conn-idle-ms")?,
    })
}
