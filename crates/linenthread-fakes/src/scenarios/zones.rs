//! Scenarios with zones: traffic between zones, loss of a zone, and partitions.

use std::time::Duration;

use super::steps::{
    log_positions, lose_zone, others, restore_zone, start_serving, with_seed, zone_by_seed,
};
use super::{ALL_ZONES, ZONES};
use crate::rig::{Rig, RigConfig, Route, TABLE_IN_USE, ZonePair};

/// A service time that a short stall of the machine does not multiply: a replica whose responses are much slower than
/// another's is no longer healthy, and is rightly avoided.
const LONG_SERVICE_TIME: Duration = Duration::from_millis(40);

/// Injects no faults, with two coordinators in each zone. Sub-requests must stay in the client's zone if it holds their
/// shard, except those that avoid a replica because of its score. Without a preference for the local zone, almost a
/// third leave it.
pub(super) fn stay_in_zone(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(
        exe,
        RigConfig {
            coordinators: 2,
            service_time: LONG_SERVICE_TIME,
            ..with_seed(seed)
        },
    );
    let since = rig.execution_count();
    rig.wait_until_serving(&ALL_ZONES, 80);
    let traffic = rig.traffic(since);
    let (all, avoidable) = (traffic.total(), traffic.avoidable);
    assert!(
        all > 300 && avoidable * 5 < all,
        "{avoidable} of {all} sub-requests left a zone that holds their shard: {traffic:?}"
    );
    rig
}

/// Stops all nodes of a zone and starts them again. The coordinators of all other zones must drain the zone, and use it
/// again afterwards.
pub(super) fn zone_lost(exe: &str, seed: u64) -> Rig {
    let mut rig = start_serving(exe, with_seed(seed));
    let lost = zone_by_seed(seed);
    let rest: Vec<usize> = ALL_ZONES.into_iter().filter(|zone| *zone != lost).collect();
    let from = log_positions(&rig);
    lose_zone(&mut rig, lost);
    for &zone in &rest {
        for process in rig.coordinators_in_zone(zone) {
            let zones = ZonePair {
                from: zone,
                to: lost,
            };
            rig.wait_for_route(process, from[process], zones, |route| {
                route.is_excluded_for("ZoneDown")
            });
        }
    }
    rig.wait_until_serving(&rest, 20);
    let since = rig.execution_count();
    rig.wait_until_serving(&rest, 20);
    // Only health checks and the first steps of a slow start are still sent to the lost zone.
    let traffic = rig.traffic(since);
    let to_lost: usize = rest.iter().map(|&zone| traffic.between(zone, lost)).sum();
    assert!(to_lost <= 3, "{traffic:?}");
    restore_zone(&mut rig, lost);
    let from = log_positions(&rig);
    for process in rig.all_processes() {
        let zones = ZonePair {
            from: process % ZONES,
            to: lost,
        };
        let position = from[process].min(rig.log_position(process));
        rig.wait_for_route(process, position, zones, Route::is_healthy);
    }
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// Partitions two zones, including their coordinators. Only the traffic between them may be rerouted.
pub(super) fn zones_partitioned(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(exe, with_seed(seed));
    let (a, b) = (zone_by_seed(seed), zone_by_seed(seed + 1));
    let third = ALL_ZONES.iter().sum::<usize>() - a - b;
    let from = log_positions(&rig);
    rig.network
        .partition(&rig.nodes_in_zone(a), &rig.nodes_in_zone(b));
    // The routes of the third zone stay unchanged. At least one of the two zones queries shards of the other, and so
    // detects the partition.
    let process = rig.coordinators_in_zone(third)[0];
    let between = ZonePair { from: a, to: b };
    rig.wait_for_partition(process, from[process], between);
    rig.wait_until_serving(&[third], 20);
    let to_first = ZonePair { from: third, to: a };
    let line = rig.wait_for_route(process, from[process], to_first, |route| route.share > 0);
    assert!(
        !line.contains("Down"),
        "a zone is drained because of a partition between two others: {line}"
    );
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig.network.heal();
    let from = log_positions(&rig);
    rig.wait_for_route(process, from[process], between, Route::is_healthy);
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// Partitions a coordinator from all other coordinators, but not from replicas. It must move no traffic, and continue
/// to serve its clients.
pub(super) fn coordinator_isolated(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(exe, with_seed(seed));
    let isolated = zone_by_seed(seed);
    let from = rig.log_position(isolated);
    rig.network
        .partition(&[isolated], &others(&rig, &[isolated]));
    rig.wait_for_log_after(isolated, from, "routing table expired");
    rig.wait_until_serving(&ALL_ZONES, 20);
    let from = rig.log_position(isolated);
    rig.network.heal();
    rig.wait_for_log_after(isolated, from, TABLE_IN_USE);
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// Delays all connections and drops datagrams for a time. No zone may be drained because of that, and there must be
/// only one leader.
pub(super) fn slow_and_lossy(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(exe, with_seed(seed));
    rig.network.degrade(Duration::from_millis(30), 300);
    rig.wait_until_serving(&ALL_ZONES, 30);
    rig.wait_for_leader();
    rig.network.heal();
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}
