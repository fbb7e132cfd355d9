//! The zones, where the shards lie, and the settings of the failover controller.

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;
use linenthread_zones::{FailoverConfig, FailoverController, Placement, Topology, Zone};

use super::replica::Replica;
use super::{REPLICAS, SECOND, SHARDS, ZONES};
use crate::number;

/// Replicas of each shard.
const REPLICATION_FACTOR: usize = 2;

pub(super) fn zone_names() -> Vec<String> {
    ["palermo", "catania", "messina"]
        .map(str::to_owned)
        .to_vec()
}

/// The settings of the failover controller.
fn config() -> FailoverConfig {
    FailoverConfig {
        capacity_margin: 0.8,
        ejection_time: 5 * SECOND,
        max_ejection_time: 60 * SECOND,
        return_step: 3 * SECOND,
    }
}

/// A controller that has decided nothing yet.
pub(super) fn controller(now: TenthMillis) -> FailoverController {
    let zones = topology(&[]).zones;
    FailoverController::new(config(), zones, None, now).expect("a valid configuration")
}

/// Zones and shards, with the replicas that are up.
pub(super) fn topology(replicas: &[Replica]) -> Topology {
    let mut running = vec![0; ZONES];
    for (index, replica) in replicas.iter().enumerate() {
        running[index % ZONES] += u32::from(replica.is_up);
    }
    let mut shares: BTreeMap<Vec<u16>, f64> = BTreeMap::new();
    for shard in 0..SHARDS {
        let mut replicas = vec![0; ZONES];
        for copy in 0..REPLICATION_FACTOR {
            replicas[(shard + copy) % REPLICAS % ZONES] += 1;
        }
        *shares.entry(replicas).or_default() += 1.0 / number::float(SHARDS);
    }
    let zone = |name: String| Zone {
        name,
        region: "sicily".into(),
        replica_capacity: None,
    };
    let placement = |(replicas, share)| Placement { replicas, share };
    Topology {
        zones: zone_names().into_iter().map(zone).collect(),
        replicas: running,
        placements: shares.into_iter().map(placement).collect(),
    }
}
