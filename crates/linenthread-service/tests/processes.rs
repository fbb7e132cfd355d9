//! Several processes of the program under faults: membership, the replicated log, and zones that all processes drain
//! and restore together. The scenarios are in `linenthread-fakes`; its checker verifies the invariants on all responses
//! to clients and all executions on replicas.

use linenthread_fakes::scenarios;

const EXE: &str = env!("CARGO_BIN_EXE_linenthread");

fn run_scenario(name: &str) {
    let scenario = scenarios::ALL.iter().find(|s| s.name == name).unwrap();
    let mut rig = (scenario.run)(EXE, 1);
    let violations = rig.stop_and_check();
    assert!(
        violations.is_empty(),
        "{} violations: {:#?}",
        violations.len(),
        &violations[..violations.len().min(5)]
    );
    assert!(rig.success_count() > 40, "{} answered", rig.success_count());
}

#[test]
fn requests_stay_in_their_zone_while_it_is_healthy() {
    run_scenario("near");
}

#[test]
fn invariants_hold_when_the_leader_is_killed() {
    run_scenario("leader-killed");
}

#[test]
fn invariants_hold_when_the_leader_is_stopped_and_resumed() {
    run_scenario("leader-stopped");
}

#[test]
fn invariants_hold_when_a_zone_is_lost_and_recovers() {
    run_scenario("zone-lost");
}

#[test]
fn invariants_hold_when_two_zones_are_partitioned_from_each_other() {
    run_scenario("pair-cut");
}

#[test]
fn invariants_hold_when_a_voter_loses_its_disk() {
    run_scenario("disk-lost");
}

#[test]
fn invariants_hold_when_a_voters_disk_is_full() {
    run_scenario("disk-full");
}

#[test]
fn a_minority_keeps_its_routes_and_serves() {
    run_scenario("minority");
}

#[test]
fn invariants_hold_during_a_rolling_restart() {
    run_scenario("rolling");
}

#[test]
fn invariants_hold_when_an_operator_drains_and_restores_a_zone() {
    run_scenario("orders");
}

#[test]
fn slow_and_lossy_paths_change_no_route() {
    run_scenario("slow-and-lossy");
}

#[test]
fn the_demo_shows_the_loss_and_recovery_of_a_zone() {
    let output = std::process::Command::new(EXE)
        .args(["try", "--zones", "3"])
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(
        output.status.success(),
        "{text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(
        text.contains("Service is complete again") && text.contains(", 0 violations."),
        "{text}"
    );
}
