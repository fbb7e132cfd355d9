//! Several processes of the program and faults between them: membership, the replicated log, and zones that all leave
//! and take back together. The scenarios are in `linenthread-stand-ins`, whose checker reads all responses to clients
//! and all runs on replicas.

use linenthread_stand_ins::scenarios;

const EXE: &str = env!("CARGO_BIN_EXE_linenthread");

fn play(name: &str) {
    let (_, script) = scenarios::ALL.iter().find(|(n, _)| *n == name).unwrap();
    let mut rig = script(EXE, 1);
    let breaches = rig.judge();
    assert!(
        breaches.is_empty(),
        "{} breaches: {:#?}",
        breaches.len(),
        &breaches[..breaches.len().min(5)]
    );
    assert!(rig.answered() > 40, "{} answered", rig.answered());
}

#[test]
fn requests_stay_in_their_zone_while_it_is_healthy() {
    play("near");
}

#[test]
fn the_leader_is_killed() {
    play("leader-killed");
}

#[test]
fn the_leader_is_stopped_and_resumed() {
    play("leader-stopped");
}

#[test]
fn a_zone_is_lost_and_recovers() {
    play("zone-lost");
}

#[test]
fn two_zones_are_partitioned_from_each_other() {
    play("pair-cut");
}

#[test]
fn a_voter_loses_its_disk() {
    play("disk-lost");
}

#[test]
fn a_voters_disk_is_full() {
    play("disk-full");
}

#[test]
fn a_minority_keeps_its_routes_and_serves() {
    play("minority");
}

#[test]
fn a_rolling_restart() {
    play("rolling");
}

#[test]
fn an_operator_drains_and_restores_a_zone() {
    play("orders");
}

#[test]
fn slow_and_lossy_paths_change_no_route() {
    play("slow-and-lossy");
}

#[test]
fn the_demo_shows_the_loss_and_recovery_of_a_zone() {
    let output = std::process::Command::new(EXE)
        .args(["try", "--zones", "3"])
        .output()
        .unwrap();
    let said = String::from_utf8(output.stdout).unwrap();
    assert!(
        output.status.success(),
        "{said}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(
        said.contains("Service is whole again") && said.contains(", 0 breaches of the rules"),
        "{said}"
    );
}
