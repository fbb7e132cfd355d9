//! Reports of a control node about nodes and replicas, and their output.
//!
//! The JSON keys of the control API are older than the terms of the output and are kept for compatibility. `serde`
//! maps them when a report is decoded; the output uses the fields' own names.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The nodes as the queried control node knows them, not confirmed by others. A report without one of the keys is from
/// another version and is rejected, since a default would look like an outage.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct MembersStatus {
    /// Name of the reporting control node.
    pub name: String,
    /// Zone of the reporting control node.
    pub zone: String,
    /// Whether the reporting node is in contact with a majority of the voters.
    #[serde(rename(deserialize = "whole"))]
    pub quorum: bool,
    /// Whether the reporting node is shutting down.
    #[serde(rename = "leaving")]
    pub shutting_down: bool,
    /// Epoch of the leader lease; absent if the reporting node doesn't hold the lease.
    #[serde(rename(deserialize = "duty_epoch"))]
    pub lease_epoch: Option<u64>,
    /// Number of the last value that the reporting node knows to be committed.
    #[serde(rename = "value")]
    pub value_number: u64,
    /// Revision of the configuration in force; 0 for none.
    pub revision: u64,
    /// Control addresses of the voters.
    #[serde(rename(deserialize = "counted"))]
    pub voters: Vec<String>,
    /// The other control nodes with which the reporting node has a session.
    #[serde(rename(deserialize = "hubs"))]
    pub control_nodes: Vec<ControlNodeStatus>,
    /// The ingress nodes that have a session with any control node.
    #[serde(rename(deserialize = "fronts"))]
    pub ingress_nodes: Vec<IngressStatus>,
}

/// Another control node, as the reporting one sees it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ControlNodeStatus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its control address.
    #[serde(rename(deserialize = "control"))]
    pub address: String,
    /// Whether it reports contact with a majority of the voters.
    #[serde(rename(deserialize = "whole"))]
    pub quorum: bool,
    /// Number of the last value that it knows to be committed.
    #[serde(rename = "value")]
    pub value_number: u64,
    /// Whether it is shutting down.
    #[serde(rename = "leaving")]
    pub shutting_down: bool,
    /// How long ago its last message was received, in milliseconds.
    #[serde(rename(deserialize = "heard_ms"))]
    pub last_message_ms: u64,
}

/// An ingress node.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct IngressStatus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Revision of the configuration that it has applied.
    pub revision: u64,
}

/// Whether requests are sent to a replica.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaPhase {
    /// The replica accepts requests.
    Available,
    /// The replica completes its accepted requests and accepts no new ones.
    Draining,
    /// The replica's heartbeats stopped.
    #[serde(rename(deserialize = "silent"))]
    TimedOut,
    /// The replica has departed, or another one uses its address.
    Ended,
    /// The control node reports a phase that this version doesn't know.
    #[default]
    #[serde(other)]
    Unknown,
}

/// A replica of a backend.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ReplicaStatus {
    /// Its identifier.
    #[serde(rename(deserialize = "ident"))]
    pub id: String,
    /// Name of its backend.
    pub backend: String,
    /// Its address.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Whether requests are sent to it.
    pub phase: ReplicaPhase,
    /// How long ago its last heartbeat was received, in milliseconds.
    #[serde(rename(deserialize = "heard_ms"))]
    pub last_heartbeat_ms: u64,
}

/// A summary of the system.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Control nodes with which the reporting one has a session, itself included.
    pub control_nodes: usize,
    /// Voters that the reporting control node knows.
    pub voters: usize,
    /// Ingress nodes with a session.
    pub ingress_nodes: usize,
    /// Whether the reporting control node is in contact with a majority of the voters.
    pub quorum: bool,
    /// Revision of the configuration in force; 0 for none.
    pub revision: u64,
    /// Replicas that accept requests.
    pub available: usize,
    /// Replicas that complete their accepted requests and accept no new ones.
    pub draining: usize,
    /// Replicas whose heartbeats stopped.
    pub timed_out: usize,
}

impl Summary {
    /// Counts the nodes and replicas in a control node's reports.
    pub fn new(members: &MembersStatus, replicas: &[ReplicaStatus]) -> Summary {
        let count_in_phase = |phase| replicas.iter().filter(|r| r.phase == phase).count();
        Summary {
            control_nodes: members.control_nodes.len() + 1,
            voters: members.voters.len(),
            ingress_nodes: members.ingress_nodes.len(),
            quorum: members.quorum,
            revision: members.revision,
            available: count_in_phase(ReplicaPhase::Available),
            draining: count_in_phase(ReplicaPhase::Draining),
            timed_out: count_in_phase(ReplicaPhase::TimedOut),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "control_nodes={} voters={} ingress_nodes={} quorum={} revision={} available={} draining={} \
             timed_out={}",
            self.control_nodes,
            self.voters,
            self.ingress_nodes,
            self.quorum,
            self.revision,
            self.available,
            self.draining,
            self.timed_out
        )
    }
}

impl MembersStatus {
    /// Returns the name of another control node by its address, or `None` if the reporting one has no session with it.
    pub fn name_of(&self, address: &str) -> Option<&str> {
        let mut nodes = self.control_nodes.iter();
        let node = nodes.find(|node| node.address == address)?;
        Some(&node.name)
    }
}

/// Prints a line for the reporting node, then one for each other node.
impl fmt::Display for MembersStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "reported_by={} zone={}", self.name, self.zone)?;
        for node in &self.control_nodes {
            write!(f, "\ncontrol_node {node}")?;
        }
        for node in &self.ingress_nodes {
            write!(f, "\ningress_node {node}")?;
        }
        Ok(())
    }
}

impl fmt::Display for ControlNodeStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "name={} zone={} address={} quorum={} value={} leaving={} last_message_ms={}",
            self.name,
            self.zone,
            self.address,
            self.quorum,
            self.value_number,
            self.shutting_down,
            self.last_message_ms
        )
    }
}

impl fmt::Display for IngressStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let IngressStatus {
            name,
            zone,
            revision,
        } = self;
        write!(f, "name={name} zone={zone} revision={revision}")
    }
}

impl fmt::Display for ReplicaPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReplicaPhase::Available => "available",
            ReplicaPhase::Draining => "draining",
            ReplicaPhase::TimedOut => "timed_out",
            ReplicaPhase::Ended => "ended",
            ReplicaPhase::Unknown => "unknown",
        })
    }
}

impl fmt::Display for ReplicaStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "id={} backend={} address={} zone={} phase={} last_heartbeat_ms={}",
            self.id, self.backend, self.address, self.zone, self.phase, self.last_heartbeat_ms
        )
    }
}
