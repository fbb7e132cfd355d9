//! What several scenarios do.

use std::thread::sleep;
use std::time::Duration;

use super::{ALL_ZONES, ZONES};
use crate::rig::{Rig, RigConfig};

/// How long queries in flight may take before their process is stopped.
const IN_FLIGHT: Duration = Duration::from_millis(100);
/// The queries of each client in a second.
const QUERIES_PER_SECOND: u64 = 25;

/// The default rig with a seed.
pub(super) fn with_seed(seed: u64) -> RigConfig {
    RigConfig {
        seed,
        ..RigConfig::default()
    }
}

/// Starts a rig with clients, and waits until all zones serve.
pub(super) fn start_serving(exe: &str, config: RigConfig) -> Rig {
    let mut rig = Rig::start_all(exe, config);
    rig.start_clients(QUERIES_PER_SECOND);
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// All processes but some.
pub(super) fn others(rig: &Rig, not: &[usize]) -> Vec<usize> {
    rig.all()
        .into_iter()
        .filter(|process| !not.contains(process))
        .collect()
}

/// The log positions of all processes.
pub(super) fn log_positions(rig: &Rig) -> Vec<usize> {
    rig.all()
        .iter()
        .map(|&process| rig.log_position(process))
        .collect()
}

/// The zone, and the process in it, that a seed chooses.
pub(super) fn zone_by_seed(seed: u64) -> usize {
    let zones = u64::try_from(ZONES).expect("there are few zones");
    usize::try_from(seed % zones).expect("it is less than the number of zones")
}

/// Waits until some processes log a text after these positions of all processes.
pub(super) fn wait_for_logs(rig: &Rig, processes: &[usize], from: &[usize], text: &str) {
    for &process in processes {
        rig.wait_for_log_after(process, from[process], text);
    }
}

/// Stops a process, without queries in flight.
pub(super) fn stop(rig: &Rig, process: usize) {
    rig.set_queried(process, false);
    sleep(IN_FLIGHT);
    rig.signal(process, "-STOP");
}

/// Kills the coordinators of a zone, and has all in it refuse connections.
pub(super) fn lose_zone(rig: &mut Rig, zone: usize) {
    for node in rig.zone(zone) {
        rig.network.set_down(node, true);
        if node < rig.count() {
            rig.kill(node, false);
        }
    }
}

/// Starts the coordinators of a zone, and has all in it accept connections again.
pub(super) fn restore_zone(rig: &mut Rig, zone: usize) {
    for node in rig.zone(zone) {
        rig.network.set_down(node, false);
        if node < rig.count() {
            rig.start(node);
        }
    }
}
