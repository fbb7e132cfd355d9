//! How large a rig is.

/// A zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Its name.
    pub name: &'static str,
    /// The region that it is in.
    pub region: &'static str,
}

/// How large a rig is.
#[derive(Clone, Debug)]
pub struct RigConfig {
    /// The zones, by number.
    pub zones: Vec<Zone>,
    /// Coordinators in each zone.
    pub coordinators: usize,
    /// Replicas in each zone.
    pub replicas: usize,
    /// How many of the first coordinators are voters.
    pub voters: usize,
    /// The seed of all random numbers.
    pub seed: u64,
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
        }
    }
}
