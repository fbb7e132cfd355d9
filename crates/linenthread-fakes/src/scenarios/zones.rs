//! Scenarios of zones: their traffic, their loss, and partitions between them.

use std::time::Duration;

use super::steps::{
    log_positions, lose_zone, others, restore_zone, start_serving, with_seed, zone_by_seed,
};
use super::{ALL_ZONES, ZONES};
use crate::rig::{Rig, RigConfig, Route, TABLE_IN_USE, ZonePair};

/// Without faults, sub-requests stay in a zone that holds their shard, with two coordinators a zone, but for those
/// that avoid a replica for its score: calls on loopback take a millisecond or so, and what else the machine does
/// shows in them. Up to an eighth left so, and a third or more without a preference for the own zone.
pub(super) fn stay_in_zone(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(
        exe,
        RigConfig {
            coordinators: 2,
            ..with_seed(seed)
        },
    );
    let since = rig.executed();
    rig.wait_until_serving(&ALL_ZONES, 80);
    let traffic = rig.traffic(since);
    let (all, avoidable) = (traffic.total(), traffic.avoidable);
    assert!(
        all > 300 && avoidable * 5 < all,
        "{avoidable} of {all} parts left a zone that holds them: {traffic:?}"
    );
    rig
}

/// A zone fails with all in it, is drained by all the others, and recovers.
pub(super) fn zone_lost(exe: &str, seed: u64) -> Rig {
    let mut rig = start_serving(exe, with_seed(seed));
    let lost = zone_by_seed(seed);
    let rest: Vec<usize> = ALL_ZONES.into_iter().filter(|zone| *zone != lost).collect();
    let from = log_positions(&rig);
    lose_zone(&mut rig, lost);
    for &zone in &rest {
        for process in rig.coordinators(zone) {
            let zones = ZonePair {
                from: zone,
                to: lost,
            };
            rig.wait_for_route(process, from[process], zones, |route| {
                route.is_left_for("ZoneDown")
            });
        }
    }
    rig.wait_until_serving(&rest, 20);
    let since = rig.executed();
    rig.wait_until_serving(&rest, 20);
    // What still goes there are health checks and first steps of slow start.
    let traffic = rig.traffic(since);
    let to_lost: usize = rest.iter().map(|&zone| traffic.between(zone, lost)).sum();
    assert!(to_lost <= 3, "{traffic:?}");
    restore_zone(&mut rig, lost);
    let from = log_positions(&rig);
    for process in rig.all() {
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

/// Two zones are partitioned, with their coordinators: only the traffic between them moves.
pub(super) fn zones_partitioned(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(exe, with_seed(seed));
    let (a, b) = (zone_by_seed(seed), zone_by_seed(seed + 1));
    let third = ALL_ZONES.iter().sum::<usize>() - a - b;
    let from = log_positions(&rig);
    rig.network.partition(&rig.zone(a), &rig.zone(b));
    // The third zone's routes stay as they are; at least one of the two sees the shards of the other.
    let process = rig.coordinators(third)[0];
    let between = ZonePair { from: a, to: b };
    rig.wait_for_partition(process, from[process], between);
    rig.wait_until_serving(&[third], 20);
    let to_first = ZonePair { from: third, to: a };
    let line = rig.wait_for_route(process, from[process], to_first, |route| route.share > 0);
    assert!(
        !line.contains("Down"),
        "a zone is left for a pair that is cut: {line}"
    );
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig.network.heal();
    let from = log_positions(&rig);
    rig.wait_for_route(process, from[process], between, Route::is_healthy);
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// A coordinator is partitioned from all others, not from replicas: it moves no traffic, and serves its clients.
pub(super) fn minority(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(exe, with_seed(seed));
    let alone = zone_by_seed(seed);
    let from = rig.log_position(alone);
    rig.network.partition(&[alone], &others(&rig, &[alone]));
    rig.wait_for_log_after(alone, from, "routing table expired");
    rig.wait_until_serving(&ALL_ZONES, 20);
    let from = rig.log_position(alone);
    rig.network.heal();
    rig.wait_for_log_after(alone, from, TABLE_IN_USE);
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// All connections are slow and lossy for a while: no zone is drained for it, and nobody leads twice.
pub(super) fn slow_and_lossy(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(exe, with_seed(seed));
    rig.network.degrade(Duration::from_millis(30), 300);
    rig.wait_until_serving(&ALL_ZONES, 30);
    rig.leader();
    rig.network.heal();
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}
