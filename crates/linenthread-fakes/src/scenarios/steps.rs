//! Steps that several scenarios share.

use std::thread::sleep;
use std::time::Duration;

use super::{ALL_ZONES, ZONES};
use crate::rig::{Rig, RigConfig};

/// The time for queries in flight to complete before their process is stopped.
const IN_FLIGHT: Duration = Duration::from_millis(100);
/// The number of queries per second of each client.
const QUERIES_PER_SECOND: u64 = 25;

/// Returns the default configuration with a seed.
pub(super) fn with_seed(seed: u64) -> RigConfig {
    RigConfig {
        seed,
        ..RigConfig::default()
    }
}

/// Starts a rig with clients, and waits until all zones serve queries.
pub(super) fn start_serving(exe: &str, config: RigConfig) -> Rig {
    let mut rig = Rig::start_all(exe, config);
    rig.start_clients(QUERIES_PER_SECOND);
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// Returns the numbers of all processes except the excluded ones.
pub(super) fn others(rig: &Rig, excluded: &[usize]) -> Vec<usize> {
    rig.all_processes()
        .into_iter()
        .filter(|process| !excluded.contains(process))
        .collect()
}

/// Returns the log positions of all processes.
pub(super) fn log_positions(rig: &Rig) -> Vec<usize> {
    rig.all_processes()
        .iter()
        .map(|&process| rig.log_position(process))
        .collect()
}

/// Returns the zone that a seed selects. It is also the number of the first process in that zone.
pub(super) fn zone_by_seed(seed: u64) -> usize {
    let zones = u64::try_from(ZONES).expect("there are few zones");
    usize::try_from(seed % zones).expect("a zone number is small")
}

/// Waits until each of these processes has logged a text at or after its position. `from` holds the positions of all
/// processes, by number.
pub(super) fn wait_for_logs(rig: &Rig, processes: &[usize], from: &[usize], text: &str) {
    for &process in processes {
        rig.wait_for_log_after(process, from[process], text);
    }
}

/// Stops a process with SIGSTOP, after clients have stopped querying it and queries in flight have completed.
pub(super) fn stop(rig: &Rig, process: usize) {
    rig.set_queried(process, false);
    sleep(IN_FLIGHT);
    rig.signal(process, "-STOP");
}

/// Kills the coordinators of a zone, and makes all nodes in it refuse connections.
pub(super) fn lose_zone(rig: &mut Rig, zone: usize) {
    for node in rig.nodes_in_zone(zone) {
        rig.network.set_down(node, true);
        if node < rig.process_count() {
            rig.kill(node, false);
        }
    }
}

/// Starts the coordinators of a zone, and makes all nodes in it accept connections again.
pub(super) fn restore_zone(rig: &mut Rig, zone: usize) {
    for node in rig.nodes_in_zone(zone) {
        rig.network.set_down(node, false);
        if node < rig.process_count() {
            rig.start(node);
        }
    }
}
