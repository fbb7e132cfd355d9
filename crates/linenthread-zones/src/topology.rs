//! The zones, their replicas, and the placement of shards.

use std::collections::BTreeSet;

use snafu::{OptionExt, ensure};

use crate::error::{DrainError, NoReplicaLeftSnafu, NoSuchZoneSnafu};

/// A zone as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// The name, by which routing tables and operators refer to the zone.
    pub name: String,
    /// The region; zones of the same region are preferred to those of others.
    pub region: String,
    /// Sub-requests per second that one of its replicas can process. Without it, no route is closed for capacity.
    pub replica_capacity: Option<f64>,
}

/// A set of shards that are placed in the same zones.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The number of replicas with these shards that accept sub-requests, by zone.
    pub replicas: Vec<u16>,
    /// The share of all sub-requests that are for these shards.
    pub share: f64,
}

/// The zones, replicas and shards at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    /// The zones; a zone's index in this list identifies it everywhere else.
    pub zones: Vec<Zone>,
    /// The number of replicas that accept sub-requests, by zone.
    pub replicas: Vec<u32>,
    /// All shards, grouped by their placement.
    pub placements: Vec<Placement>,
}

/// The distance between two zones; nearer zones are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Distance {
    Local,
    SameRegion,
    Remote,
}

impl Distance {
    /// All distances, nearest first.
    pub(crate) const ALL: [Distance; 3] = [Distance::Local, Distance::SameRegion, Distance::Remote];
}

impl Topology {
    pub(crate) fn distance(&self, from: usize, to: usize) -> Distance {
        if from == to {
            Distance::Local
        } else if self.zones[from].region == self.zones[to].region {
            Distance::SameRegion
        } else {
            Distance::Remote
        }
    }

    /// Checks that a zone may be drained in addition to those that already are.
    ///
    /// # Errors
    /// There is no such zone, or some shards have replicas in no other undrained zone: requests for them would be
    /// rejected.
    pub fn check_drain(&self, zone: &str, drained: &BTreeSet<String>) -> Result<(), DrainError> {
        let mut names = self.zones.iter().map(|zone| &zone.name);
        let drains = names
            .position(|name| name == zone)
            .context(NoSuchZoneSnafu { zone })?;
        let is_drained = |zone: usize| zone == drains || drained.contains(&self.zones[zone].name);
        let has_replica_left = |placement: &Placement| {
            let mut zones = placement.replicas.iter().enumerate();
            zones.any(|(zone, replicas)| *replicas > 0 && !is_drained(zone))
        };
        let without_replica: f64 = self
            .placements
            .iter()
            .filter(|placement| !has_replica_left(placement))
            .map(|placement| placement.share)
            .sum();
        let percent = (without_replica * 100.0).ceil();
        ensure!(without_replica <= 0.0, NoReplicaLeftSnafu { percent });
        Ok(())
    }
}
