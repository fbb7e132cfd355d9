//! Scenarios with faults of single processes: the leader, the disk of a voter, and restarts.

use std::thread::sleep;
use std::time::{Duration, Instant};

use super::ALL_ZONES;
use super::steps::{
    log_positions, others, start_serving, stop, wait_for_logs, with_seed, zone_by_seed,
};
use crate::rig::{LEADERSHIP_LOST, Rig, TABLE_IN_USE};

/// Longer than any lease.
const LONG_STOP: Duration = Duration::from_secs(10);
/// The file size limit in bytes that simulates a full disk.
const FULL_DISK_BYTES: u64 = 64;

/// Kills the leader. Another voter must take over with the same table and record, and all queries must succeed again.
pub(super) fn leader_killed(exe: &str, seed: u64) -> Rig {
    let mut rig = start_serving(exe, with_seed(seed));
    let leader = rig.wait_for_leader();
    rig.kill(leader, false);
    let rest = others(&rig, &[leader]);
    let new_leader = rig.wait_for_leader();
    assert_ne!(new_leader, leader);
    wait_for_logs(&rig, &rest, &log_positions(&rig), TABLE_IN_USE);
    rig.wait_until_serving(&rest, 20);
    rig.start(leader);
    rig.wait_for_log(leader, TABLE_IN_USE);
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// Stops the leader for longer than any lease and then continues it. It must no longer be the leader, and nothing may
/// be decided twice.
pub(super) fn leader_stopped(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(exe, with_seed(seed));
    let leader = rig.wait_for_leader();
    stop(&rig, leader);
    let rest = others(&rig, &[leader]);
    let started_at = Instant::now();
    wait_for_logs(&rig, &rest, &log_positions(&rig), TABLE_IN_USE);
    rig.wait_until_serving(&rest, 20);
    sleep(LONG_STOP.saturating_sub(started_at.elapsed()));
    let from = rig.log_position(leader);
    rig.signal(leader, "-CONT");
    rig.wait_for_log_after(leader, from, LEADERSHIP_LOST);
    rig.wait_for_log_after(leader, from, TABLE_IN_USE);
    rig.set_queried(leader, true);
    assert_ne!(rig.wait_for_leader(), leader);
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// Deletes the disk of a voter. The voter must restart as a new incarnation, and its vote must count.
pub(super) fn disk_lost(exe: &str, seed: u64) -> Rig {
    let mut rig = start_serving(exe, with_seed(seed));
    let lost = zone_by_seed(seed);
    rig.kill(lost, true);
    rig.wait_for_leader();
    let rest = others(&rig, &[lost]);
    let from = log_positions(&rig);
    rig.start(lost);
    rig.wait_for_log(lost, "the disk is empty although the fleet exists");
    wait_for_logs(&rig, &rest, &from, "voter change committed: add");
    rig.wait_for_log(lost, TABLE_IN_USE);
    rig.wait_until_serving(&ALL_ZONES, 20);
    // While another voter is down, a majority needs its vote.
    let killed = rest[usize::from(seed / 3 % 2 == 1)];
    rig.kill(killed, false);
    rig.wait_for_leader();
    let from = rig.log_position(lost);
    rig.wait_for_log_after(lost, from, TABLE_IN_USE);
    rig.start(killed);
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// Fills the disk of the leader. It must step down and log that, continue to serve queries and to follow routing
/// tables, and vote again once there is space on the disk.
pub(super) fn disk_full(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(exe, with_seed(seed));
    let old_leader = rig.wait_for_leader();
    let from = rig.log_position(old_leader);
    rig.fill_disk(old_leader, Some(FULL_DISK_BYTES));
    rig.wait_for_log_after(old_leader, from, "voter stopped: the disk failed");
    rig.wait_for_log_after(old_leader, from, LEADERSHIP_LOST);
    let new_leader = rig.wait_for_leader();
    assert_ne!(new_leader, old_leader);
    rig.wait_until_serving(&ALL_ZONES, 20);
    let from = rig.log_position(old_leader);
    rig.wait_for_log_after(old_leader, from, TABLE_IN_USE);
    rig.fill_disk(old_leader, None);
    rig.wait_for_log_after(old_leader, from, "voter started");
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// Restarts all processes, one after the other.
pub(super) fn rolling_restart(exe: &str, seed: u64) -> Rig {
    let mut rig = start_serving(exe, with_seed(seed));
    for process in rig.all_processes() {
        let rest = others(&rig, &[process]);
        assert!(
            rig.terminate(process),
            "{} did not exit successfully",
            rig.name(process)
        );
        rig.wait_until_serving(&rest, 10);
        rig.start(process);
        rig.wait_for_log(process, TABLE_IN_USE);
        rig.wait_for_leader();
    }
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}
