//! The heartbeats that replicas send.

use linenthread_messages::Replica;
use serde::Deserialize;

/// The body of a replica's heartbeat call, in JSON.
#[derive(Clone, Debug, Deserialize)]
pub struct ReplicaHeartbeat {
    /// Name of the backend that the replica belongs to.
    pub backend: String,
    /// `host:port` at which the replica serves requests.
    pub address: String,
    /// The failure domain in which the replica runs.
    pub zone: String,
    /// The revision of the replica's software.
    #[serde(default)]
    pub revision: String,
    /// How many requests the replica processes concurrently; 0 if it is not reported.
    #[serde(default)]
    pub capacity: u32,
    /// Whether the replica accepts requests.
    pub phase: ReportedPhase,
    /// The remaining time of the replica's warm-up, in milliseconds. Only the value in the first heartbeat is used.
    #[serde(default)]
    pub warmup_ms: u32,
    /// The replica's count of its calls to control nodes, which orders the calls.
    pub call_count: u64,
}

impl ReplicaHeartbeat {
    /// Converts the heartbeat to the form that control nodes send to each other.
    pub(crate) fn into_replica(self, id: &str) -> Replica {
        Replica {
            id: id.to_owned(),
            backend: self.backend,
            address: self.address,
            zone: self.zone,
            revision: self.revision,
            capacity: self.capacity,
            call_count: self.call_count,
            draining: self.phase == ReportedPhase::Draining,
            warmup_ms: self.warmup_ms,
            ..Replica::default()
        }
    }
}

/// Whether a replica accepts requests, as reported in its heartbeats.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum ReportedPhase {
    /// The replica accepts requests.
    Available,
    /// The replica accepts no new requests and is about to end.
    Draining,
}
