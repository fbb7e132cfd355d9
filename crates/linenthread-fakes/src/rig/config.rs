//! The configuration of a rig.

use std::time::Duration;

/// The time that a replica takes to respond to a sub-request, unless configured otherwise.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(4);

/// A zone of a rig.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Zone {
    /// The name of the zone.
    pub name: &'static str,
    /// The region that contains it.
    pub region: &'static str,
}

/// The size of a rig, and the seed of its random numbers.
#[derive(Clone, Debug)]
pub struct RigConfig {
    /// The zones, by number.
    pub zones: Vec<Zone>,
    /// The number of coordinators in each zone.
    pub coordinators: usize,
    /// The number of replicas in each zone.
    pub replicas: usize,
    /// The number of voters: the coordinators with the lowest numbers.
    pub voters: usize,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The time that a replica takes to respond to a sub-request.
    pub service_time: Duration,
}

impl RigConfig {
    pub(super) fn process_count(&self) -> usize {
        self.zones.len() * self.coordinators
    }

    pub(super) fn replica_count(&self) -> usize {
        self.zones.len() * self.replicas
    }
}

impl Default for RigConfig {
    fn default() -> Self {
        let in_sicily = |name| Zone {
            name,
            region: "sicily",
        };
        RigConfig {
            zones: ["palermo", "catania", "messina"].map(in_sicily).to_vec(),
            coordinators: 1,
            replicas: 2,
            voters: 3,
            seed: 1,
            service_time: DEFAULT_SERVICE_TIME,
        }
    }
}
