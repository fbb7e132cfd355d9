//! The demo of three zones, of which one is lost and recovers.

use std::process::ExitCode;
use std::thread;
use std::time::Instant;

use linenthread_fakes::rig::{Rig, RigConfig, Route, ZonePair};

/// The zone that is lost and recovers.
const LOST_ZONE: usize = 2;

/// Prints the numbers of sub-requests between each pair of zones; `since` is a position in the list of executed
/// sub-requests.
fn print_flows(rig: &Rig, names: &[&str], since: usize) {
    let flows = rig.traffic(since);
    for (from, name) in names.iter().enumerate() {
        let to: Vec<String> = names
            .iter()
            .enumerate()
            .map(|(to, name)| format!("{name} {}", flows.between(from, to)))
            .collect();
        println!("  sub-requests from {name}: {}", to.join(", "));
    }
}

/// Runs the demo of three zones in a separate thread, which panics with a message if an expected event does not occur
/// in time.
pub(super) fn run(seed: u64) -> ExitCode {
    let exe = match std::env::current_exe() {
        Ok(exe) => exe.to_string_lossy().into_owned(),
        Err(error) => {
            eprintln!("linenthread: {error}");
            return ExitCode::FAILURE;
        }
    };
    match thread::spawn(move || show_zones(&exe, seed)).join() {
        Ok(true) => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Runs three zones with a common routing table, each with a co-ordinator and two replicas; one zone is killed and
/// restarted. Returns whether all invariants hold.
fn show_zones(exe: &str, seed: u64) -> bool {
    let config = RigConfig {
        seed,
        ..RigConfig::default()
    };
    let names: Vec<&str> = config.zones.iter().map(|zone| zone.name).collect();
    println!(
        "Three co-ordinators in {} bootstrap a fleet.",
        names.join(", ")
    );
    let mut rig = Rig::start_all(exe, config);
    rig.start_clients(25);
    rig.wait_until_serving(&[0, 1, 2], 20);
    let since = rig.execution_count();
    rig.wait_until_serving(&[0, 1, 2], 40);
    println!("All use one routing table; sub-requests stay in the zones that hold their shards:");
    print_flows(&rig, &names, since);
    lose_zone(&mut rig, &names, LOST_ZONE);
    restore_zone(&mut rig, &names, LOST_ZONE);
    let violations = rig.stop_and_check();
    println!(
        "{} queries, {} violations.",
        rig.outcomes().len(),
        violations.len()
    );
    violations.is_empty()
}

/// Kills a zone and waits until the others use a routing table without it.
fn lose_zone(rig: &mut Rig, names: &[&str], lost: usize) {
    let from = [rig.log_position(0), rig.log_position(1)];
    println!(
        "\n{} is killed, its co-ordinator and its replicas.",
        names[lost]
    );
    let began = Instant::now();
    for node in rig.nodes_in_zone(lost) {
        rig.network.set_down(node, true);
        if node < rig.process_count() {
            rig.kill(node, false);
        }
    }
    for n in [0, 1] {
        let zones = ZonePair { from: n, to: lost };
        rig.wait_for_route(n, from[n], zones, |route| route.share == 0);
    }
    println!(
        "After {:.1} s all others use a routing table without it:",
        began.elapsed().as_secs_f64()
    );
    let since = rig.execution_count();
    rig.wait_until_serving(&[0, 1], 30);
    print_flows(rig, names, since);
    println!(
        "Service is complete again in {} and {}.\n",
        names[0], names[1]
    );
}

/// Restarts a zone and waits until the route to it is healthy again.
fn restore_zone(rig: &mut Rig, names: &[&str], lost: usize) {
    let from = rig.log_position(0);
    println!("{} is started again.", names[lost]);
    let began = Instant::now();
    for node in rig.nodes_in_zone(lost) {
        rig.network.set_down(node, false);
        if node < rig.process_count() {
            rig.start(node);
        }
    }
    let zones = ZonePair { from: 0, to: lost };
    rig.wait_for_route(0, from, zones, Route::is_healthy);
    println!(
        "After {:.1} s all traffic to it was restored, in steps.",
        began.elapsed().as_secs_f64()
    );
    rig.wait_until_serving(&[0, 1, 2], 20);
}
