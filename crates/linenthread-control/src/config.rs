//! The configuration that a control node is started with.

use std::time::Duration;

use linenthread_consensus::Incarnation;
use linenthread_time::WindowLength;

/// Identity and settings of one control node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The node's name, unique among the control nodes.
    pub name: String,
    /// The failure domain in which the node runs.
    pub zone: String,
    /// Distinguishes this run of the process from all other runs.
    pub incarnation: Incarnation,
    /// `host:port` at which the node accepts calls of replicas and operators. Peers identify the node by this address.
    pub control_address: String,
    /// Whether the node may become a voter.
    pub voter_eligible: bool,
    /// A voter is removed without a successor only if there are more voters than this. The initial number of voters may
    /// be smaller.
    pub min_voters: usize,
    /// The approximate interval between the heartbeats of a replica.
    pub heartbeat_interval: Duration,
    /// Control addresses to dial at start-up.
    pub bootstrap: Vec<String>,
    /// Whether the cluster starts for the first time and this node's disk was empty.
    pub is_genesis: bool,
    /// The number of retries that all ingress nodes together may make in any window.
    pub retry_allowance: f64,
    /// The length of the window of [`NodeConfig::retry_allowance`].
    pub retry_window: Duration,
    /// How usage is reported to the platform; `None` if it is not reported.
    pub usage: Option<UsageConfig>,
}

/// Settings of the usage reports to the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageConfig {
    /// The length of the reported windows.
    pub window_length: WindowLength,
    /// How long after the end of a window its report is due.
    pub report_delay: Duration,
    /// The platform must not receive calls from one node, then from another one and then from the first again within
    /// this time.
    pub lease: Duration,
    /// The number of calls per second that the platform accepts from all nodes together.
    pub calls_per_second: f64,
}
