//! Decodes the names within a cluster and the limits of connections to its replicas.

use linenthread_core::interface::TenthMillis;
use serde_json::Value;

use crate::error::SettingsError;
use crate::reader::{count, names, time};

/// The names within a cluster, and the limits of connections to its replicas. Names are in the order of the numbers by
/// which the decision module identifies indexes, customers and zones.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterConfig {
    /// The names of the indexes.
    pub index_names: Vec<String>,
    /// The names of the customers.
    pub customer_names: Vec<String>,
    /// The names of the zones.
    pub zone_names: Vec<String>,
    /// The number of shards.
    pub shard_count: usize,
    /// The maximum number of sub-requests in one request to a replica; at least 1.
    pub max_sub_requests_per_call: usize,
    /// The maximum number of concurrent requests on one connection; at least 1.
    pub max_streams: usize,
    /// The time limit for establishing a connection.
    pub connect_timeout: TenthMillis,
    /// The time after which a replica closes an idle connection.
    pub idle_timeout: TenthMillis,
}

/// Decodes the configuration of connections.
///
/// # Errors
///
/// [`SettingsError`] if a setting is missing or has the wrong type.
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
