//! Messages for usage reports: the request counts of ingress nodes, and the reports that control nodes have decided.

use prost::Message;

/// The number of a tenant's requests that replicas began to process in a window.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct TenantCount {
    /// The tenant's name.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// The number of requests since the window's start.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
}

/// The counts of one ingress node in one window.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct WindowCounts {
    /// The number of the window, which starts `window` window lengths after the start of 1970.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// One count for each tenant that had requests.
    #[prost(message, repeated, tag = "2")]
    pub tenants: Vec<TenantCount>,
}

/// The counts of one incarnation of an ingress node, for some windows.
///
/// Counts are totals that never decrease, not differences. A receiver keeps the greatest count for each window and
/// tenant, so messages may arrive in any order and more than once.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct IngressUsage {
    /// The ingress node's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The windows in which a count has increased since they were last sent in this session, or all stored windows.
    #[prost(message, repeated, tag = "3")]
    pub windows: Vec<WindowCounts>,
}

/// From an ingress node: its own counts. From a control node to another one: the counts of ingress nodes.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct UsageUpdate {
    /// The counts to merge, each entry from one incarnation of an ingress node.
    #[prost(message, repeated, tag = "1")]
    pub ingress_nodes: Vec<IngressUsage>,
}

/// The usage report of one window. It is decided once and never changes.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct UsageReport {
    /// The number of the window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// The exact body of the call to the platform's API.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: prost::bytes::Bytes,
}

/// The usage reports in a replicated value.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct DecidedUsage {
    /// The newest window with a decided report. Reports are decided in the order of their windows, without gaps.
    #[prost(uint64, tag = "1")]
    pub newest_window: u64,
    /// The decided reports that the platform is not known to have received, oldest first.
    #[prost(message, repeated, tag = "2")]
    pub reports: Vec<UsageReport>,
}
