//! Several processes of the program and faults between them: members, the agreed record, and zones left and taken
//! back in common. The scripts stand in `linenthread-stand-ins`; the judge reads all that clients were told and
//! replicas ran.

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
fn near_while_safe() {
    play("near");
}

#[test]
fn who_leads_is_killed() {
    play("leader-killed");
}

#[test]
fn who_leads_is_stopped_and_woken() {
    play("leader-stopped");
}

#[test]
fn a_zone_is_lost_and_comes_back() {
    play("zone-lost");
}

#[test]
fn a_pair_of_zones_is_cut() {
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
fn a_minority_moves_nothing_and_serves() {
    play("minority");
}

#[test]
fn all_are_restarted_one_by_one() {
    play("rolling");
}

#[test]
fn an_operator_has_a_zone_left_and_taken_back() {
    play("orders");
}

#[test]
fn slow_and_lossy_ways_move_nothing() {
    play("slow-and-lossy");
}

#[test]
fn a_first_try_shows_a_zone_killed_and_traffic_whole_again() {
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
