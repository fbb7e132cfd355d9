//! The size of a simulated system.

use std::time::Duration;

/// How large a simulated system is, and what happens in it while it is measured.
#[derive(Clone, Debug)]
pub struct Scale {
    /// Ingress nodes.
    pub ingress_nodes: usize,
    /// Replicas.
    pub replicas: usize,
    /// Control nodes, voters among them.
    pub control: usize,
    /// Control nodes whose disks may vote.
    pub voters: usize,
    /// Simulated seconds that are measured.
    pub seconds: u64,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Between two heartbeats of a replica.
    pub heartbeat_interval: Duration,
    /// Size of the configuration document.
    pub document_bytes: usize,
    /// Configuration changes in the measured time, evenly spread.
    pub changes: usize,
    /// Replicas that drain, depart and come back under a new name in the measured time, evenly spread.
    pub restarts: usize,
    /// Ingress nodes that come back with nothing at one moment, after the measured time.
    pub storm: usize,
}

impl Default for Scale {
    fn default() -> Scale {
        Scale {
            ingress_nodes: 30,
            replicas: 192,
            control: 3,
            voters: 3,
            seconds: 4,
            seed: 1,
            heartbeat_interval: Duration::from_millis(1_000),
            document_bytes: 60_000,
            changes: 1,
            restarts: 2,
            storm: 10,
        }
    }
}
