//! The zones, the placement of shards, and the failover controller.

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;
use linenthread_zones::{FailoverController, Placement, Topology, Zone};

use super::replica::Replica;
use super::{REPLICAS, SHARDS, ZONES};
use crate::failover_config::failover_config;
use crate::number;

const REPLICATION_FACTOR: usize = 2;

pub(super) fn zone_names() -> Vec<String> {
    ["palermo", "catania", "messina"]
        .map(str::to_owned)
        .to_vec()
}

/// Returns a controller that has made no decision yet.
pub(super) fn controller(now: TenthMillis) -> FailoverController {
    let zones = topology(&[]).zones;
    FailoverController::new(failover_config(), zones, None, now)
        .expect("the configuration is valid")
}

/// Returns the topology of zones and shards, with the replicas that are up.
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
        *shares.entry(replicas).or_default() += 1.0 / number::to_f64(SHARDS);
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
