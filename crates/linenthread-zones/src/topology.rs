//! What there is: zones, their replicas, and where shards are placed.

use std::collections::BTreeSet;

use snafu::{OptionExt, ensure};

use crate::error::{DrainError, NoReplicaLeftSnafu, NoSuchZoneSnafu};

/// A zone, as it is configured.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// The region that it belongs to.
    pub region: String,
    /// Sub-requests a second that one of its replicas can process. Where it is not configured, no route is closed
    /// for capacity.
    pub replica_capacity: Option<f64>,
}

/// Shards that are placed in the same zones.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// By zone, how many replicas with these shards accept sub-requests.
    pub replicas: Vec<u16>,
    /// The share of sub-requests that are for these shards.
    pub share: f64,
}

/// Zones, replicas and shards at a moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    /// The zones; their indices are used wherever a zone is meant.
    pub zones: Vec<Zone>,
    /// By zone, how many replicas accept sub-requests.
    pub replicas: Vec<u32>,
    /// All shards by their placement.
    pub placements: Vec<Placement>,
}

/// How far one zone is from another; nearer ones are preferred.
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

    /// Whether a zone may be drained beside those that are drained already.
    ///
    /// # Errors
    /// There is no such zone, or shards are placed nowhere else: requests for them would be rejected.
    pub fn may_drain(&self, zone: &str, drained: &BTreeSet<String>) -> Result<(), DrainError> {
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
