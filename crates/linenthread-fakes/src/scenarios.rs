//! Scripts of faults of several processes: run by the service's tests and by `linenthread-simulation processes`.

use std::ops::Range;
use std::thread::sleep;
use std::time::{Duration, Instant};

use oorandom::Rand64;

use crate::random::random_index;
use crate::rig::{Rig, RigConfig};

/// Zones of the default rig.
const ZONES: usize = 3;
/// Their numbers.
const ALL_ZONES: [usize; ZONES] = [0, 1, 2];
/// How long queries in flight may take before their process is stopped.
const IN_FLIGHT: Duration = Duration::from_millis(100);
/// Longer than any lease.
const LONG_STOP: Duration = Duration::from_secs(10);

/// The name of a scenario, and its script, which gets the program and a seed.
pub type Scenario = (&'static str, fn(&str, u64) -> Rig);

/// All scenarios.
pub const ALL: [Scenario; 11] = [
    ("near", stay_in_zone),
    ("leader-killed", leader_killed),
    ("leader-stopped", leader_stopped),
    ("zone-lost", zone_lost),
    ("pair-cut", pair_cut),
    ("disk-lost", disk_lost),
    ("disk-full", disk_full),
    ("minority", minority),
    ("rolling", rolling),
    ("orders", operator_orders),
    ("slow-and-lossy", slow_and_lossy),
];

/// The default rig with a seed.
fn with_seed(seed: u64) -> RigConfig {
    RigConfig {
        seed,
        ..RigConfig::default()
    }
}

/// Starts a rig with clients, and waits until all zones serve.
fn start_serving(exe: &str, config: RigConfig) -> Rig {
    let mut rig = Rig::start_all(exe, config);
    rig.start_clients(25);
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// All processes but some.
fn others(rig: &Rig, not: &[usize]) -> Vec<usize> {
    rig.all().into_iter().filter(|n| !not.contains(n)).collect()
}

/// The log positions of all processes.
fn log_positions(rig: &Rig) -> Vec<usize> {
    rig.all().iter().map(|&n| rig.log_position(n)).collect()
}

/// The zone, and the process in it, that a seed chooses.
fn zone_by_seed(seed: u64) -> usize {
    ALL_ZONES[(seed % ZONES as u64) as usize]
}

/// Waits until some processes log a text after these positions of all processes.
fn wait_for_logs(rig: &Rig, processes: &[usize], from: &[usize], text: &str) {
    for &n in processes {
        rig.wait_for_log_after(n, from[n], text);
    }
}

/// Stops a process, without queries in flight.
fn stop(rig: &Rig, process: usize) {
    rig.set_queried(process, false);
    sleep(IN_FLIGHT);
    rig.signal(process, "-STOP");
}

/// Kills the coordinators of a zone, and has all in it refuse connections.
fn lose_zone(rig: &mut Rig, zone: usize) {
    for node in rig.zone(zone) {
        rig.network.set_down(node, true);
        if node < rig.count() {
            rig.kill(node, false);
        }
    }
}

/// Starts the coordinators of a zone, and has all in it accept connections again.
fn restore_zone(rig: &mut Rig, zone: usize) {
    for node in rig.zone(zone) {
        rig.network.set_down(node, false);
        if node < rig.count() {
            rig.start(node);
        }
    }
}

/// Without faults, sub-requests stay in a zone that holds their shard, with two coordinators a zone, but for those
/// that avoid a replica for its score: calls on loopback take a millisecond or so, and what else the machine does
/// shows in them. Up to an eighth left so, and a third or more without a preference for the own zone.
fn stay_in_zone(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(
        exe,
        RigConfig {
            coordinators: 2,
            ..with_seed(seed)
        },
    );
    let since = rig.executed();
    rig.wait_until_serving(&ALL_ZONES, 80);
    let (traffic, avoidable) = rig.traffic(since);
    let all: usize = traffic.values().sum();
    assert!(
        all > 300 && avoidable * 5 < all,
        "{avoidable} of {all} parts left a zone that holds them: {traffic:?}"
    );
    rig
}

/// The leader is killed: another takes over with the same table and record, and all queries succeed again.
fn leader_killed(exe: &str, seed: u64) -> Rig {
    let mut rig = start_serving(exe, with_seed(seed));
    let leader = rig.leader();
    rig.kill(leader, false);
    let rest = others(&rig, &[leader]);
    let new = rig.leader();
    assert_ne!(new, leader);
    wait_for_logs(&rig, &rest, &log_positions(&rig), "acts on a table");
    rig.wait_until_serving(&rest, 20);
    rig.start(leader);
    rig.wait_for_log(leader, "acts on a table");
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// The leader is stopped for longer than any lease and continued: it does not lead any more, and nothing is decided
/// twice.
fn leader_stopped(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(exe, with_seed(seed));
    let leader = rig.leader();
    stop(&rig, leader);
    let rest = others(&rig, &[leader]);
    let began = Instant::now();
    wait_for_logs(&rig, &rest, &log_positions(&rig), "acts on a table");
    rig.wait_until_serving(&rest, 20);
    sleep(LONG_STOP.saturating_sub(began.elapsed()));
    let from = rig.log_position(leader);
    rig.signal(leader, "-CONT");
    rig.wait_for_log_after(leader, from, "does not lead any more");
    rig.wait_for_log_after(leader, from, "acts on a table");
    rig.set_queried(leader, true);
    assert_ne!(rig.leader(), leader);
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// A zone fails with all in it, is drained by all the others, and recovers.
fn zone_lost(exe: &str, seed: u64) -> Rig {
    let mut rig = start_serving(exe, with_seed(seed));
    let lost = zone_by_seed(seed);
    let rest: Vec<usize> = (0..3).filter(|z| *z != lost).collect();
    let from = log_positions(&rig);
    lose_zone(&mut rig, lost);
    for &zone in &rest {
        for n in rig.coordinators(zone) {
            rig.wait_for_route(n, from[n], (zone, lost), |share, reason| {
                share == 0 && reason == "ZoneDown"
            });
        }
    }
    rig.wait_until_serving(&rest, 20);
    let since = rig.executed();
    rig.wait_until_serving(&rest, 20);
    // What still goes there are health checks and first steps of slow start.
    let (traffic, _) = rig.traffic(since);
    let to_lost: usize = rest
        .iter()
        .filter_map(|zone| traffic.get(&(*zone, lost)))
        .sum();
    assert!(to_lost <= 3, "{traffic:?}");
    restore_zone(&mut rig, lost);
    let from = log_positions(&rig);
    for n in rig.all() {
        let zone = n % 3;
        rig.wait_for_route(
            n,
            from[n].min(rig.log_position(n)),
            (zone, lost),
            |share, reason| share == 1_000 && reason == "Healthy",
        );
    }
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// Two zones are partitioned, with their coordinators: only the traffic between them moves.
fn pair_cut(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(exe, with_seed(seed));
    let (a, b) = (zone_by_seed(seed), zone_by_seed(seed + 1));
    let third = 3 - a - b;
    let from = log_positions(&rig);
    rig.network.partition(&rig.zone(a), &rig.zone(b));
    // The third zone's routes stay as they are; at least one of the two sees the shards of the other.
    let n = rig.coordinators(third)[0];
    rig.wait_for_partition(n, from[n], (a, b));
    rig.wait_until_serving(&[third], 20);
    let line = rig.wait_for_route(n, from[n], (third, a), |share, _| share > 0);
    assert!(
        !line.contains("Down"),
        "a zone is left for a pair that is cut: {line}"
    );
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig.network.heal();
    let from = log_positions(&rig);
    rig.wait_for_route(n, from[n], (a, b), |share, reason| {
        share == 1_000 && reason == "Healthy"
    });
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// A voter loses its disk: it comes back as a new incarnation, and its vote counts.
fn disk_lost(exe: &str, seed: u64) -> Rig {
    let mut rig = start_serving(exe, with_seed(seed));
    let lost = zone_by_seed(seed);
    rig.kill(lost, true);
    rig.leader();
    let rest = others(&rig, &[lost]);
    let from = log_positions(&rig);
    rig.start(lost);
    rig.wait_for_log(lost, "its disk is empty beside a record that goes on");
    wait_for_logs(&rig, &rest, &from, "is in");
    rig.wait_for_log(lost, "acts on a table");
    rig.wait_until_serving(&ALL_ZONES, 20);
    // Without another voter its vote is needed.
    let gone = rest[usize::from(seed / 3 % 2 == 1)];
    rig.kill(gone, false);
    rig.leader();
    let from = rig.log_position(lost);
    rig.wait_for_log_after(lost, from, "acts on a table");
    rig.start(gone);
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// A voter's disk is full: it steps down and logs that, goes on to serve and to follow; and votes again later.
fn disk_full(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(exe, with_seed(seed));
    let full = rig.leader();
    let from = rig.log_position(full);
    rig.fill_disk(full, Some(64));
    rig.wait_for_log_after(full, from, "this voter steps down: the disk failed");
    rig.wait_for_log_after(full, from, "does not lead any more");
    let new = rig.leader();
    assert_ne!(new, full);
    rig.wait_until_serving(&ALL_ZONES, 20);
    let from = rig.log_position(full);
    rig.wait_for_log_after(full, from, "acts on a table");
    rig.fill_disk(full, None);
    rig.wait_for_log_after(full, from, "takes part as a voter");
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// A coordinator is partitioned from all others, not from replicas: it moves no traffic, and serves its clients.
fn minority(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(exe, with_seed(seed));
    let alone = zone_by_seed(seed);
    let from = rig.log_position(alone);
    rig.network.partition(&[alone], &others(&rig, &[alone]));
    rig.wait_for_log_after(alone, from, "no word of the table for its life");
    rig.wait_until_serving(&ALL_ZONES, 20);
    let from = rig.log_position(alone);
    rig.network.heal();
    rig.wait_for_log_after(alone, from, "acts on a table");
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// All are restarted one after the other.
fn rolling(exe: &str, seed: u64) -> Rig {
    let mut rig = start_serving(exe, with_seed(seed));
    for n in rig.all() {
        let rest = others(&rig, &[n]);
        assert!(rig.terminate(n), "{} did not end well", rig.name(n));
        rig.wait_until_serving(&rest, 10);
        rig.start(n);
        rig.wait_for_log(n, "acts on a table");
        rig.leader();
    }
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// An operator drains a zone and takes it back; an order that cannot be carried out is rejected with its reason.
fn operator_orders(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(exe, with_seed(seed));
    let printed = |output: &std::process::Output| {
        String::from_utf8_lossy(&[&output.stdout[..], &output.stderr[..]].concat()).into_owned()
    };
    let from = rig.log_position(0);
    let output = rig.run_operator_command(1, &["drain", "messina"]);
    assert!(output.status.success(), "{}", printed(&output));
    rig.wait_for_route(0, from, (0, 2), |share, reason| {
        share == 0 && reason == "Drained"
    });
    rig.wait_until_serving(&[0, 1], 20);
    let output = rig.run_operator_command(0, &["show"]);
    assert!(
        printed(&output).contains("0 drained")
            && printed(&output).contains("left by order: messina"),
        "{}",
        printed(&output)
    );
    // Without another zone some shards would have no replica.
    let output = rig.run_operator_command(2, &["drain", "catania"]);
    assert!(
        !output.status.success() && printed(&output).contains("no replica left"),
        "{}",
        printed(&output)
    );
    let output = rig.run_operator_command(0, &["drain", "malta"]);
    assert!(
        !output.status.success() && printed(&output).contains("there is no zone malta"),
        "{}",
        printed(&output)
    );
    let from = rig.log_position(0);
    let output = rig.run_operator_command(1, &["return", "messina"]);
    assert!(output.status.success(), "{}", printed(&output));
    rig.wait_for_route(0, from, (0, 2), |share, reason| {
        share == 1_000 && reason == "Healthy"
    });
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// All connections are slow and lossy for a while: no zone is drained for it, and nobody leads twice.
fn slow_and_lossy(exe: &str, seed: u64) -> Rig {
    let rig = start_serving(exe, with_seed(seed));
    rig.network.degrade(Duration::from_millis(30), 300);
    rig.wait_until_serving(&ALL_ZONES, 30);
    rig.leader();
    rig.network.heal();
    rig.wait_until_serving(&ALL_ZONES, 20);
    rig
}

/// A random duration in milliseconds.
fn random_duration(rng: &mut Rand64, milliseconds: Range<u64>) -> Duration {
    Duration::from_millis(rng.rand_range(milliseconds))
}

/// A random fault; its numbers are those that rounds print.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    KillWithRecord,
    Stop,
    LoseZone,
    PartitionZones,
    IsolateProcess,
    Restart,
    Degrade,
}

impl Fault {
    /// All faults, by number.
    const ALL: [Fault; 8] = [
        Fault::Kill,
        Fault::KillWithRecord,
        Fault::Stop,
        Fault::LoseZone,
        Fault::PartitionZones,
        Fault::IsolateProcess,
        Fault::Restart,
        Fault::Degrade,
    ];

    /// Injects the fault for a random while. Faults of the network are left to be healed.
    fn inject(self, rig: &mut Rig, rng: &mut Rand64, process: usize, zone: usize) {
        match self {
            Fault::Kill => kill_for_a_while(rig, rng, process, false),
            Fault::KillWithRecord => kill_for_a_while(rig, rng, process, true),
            Fault::Stop => {
                stop(rig, process);
                sleep(random_duration(rng, 1_000..10_000));
                rig.signal(process, "-CONT");
                rig.set_queried(process, true);
            }
            Fault::LoseZone => {
                lose_zone(rig, zone);
                sleep(random_duration(rng, 500..6_000));
                restore_zone(rig, zone);
            }
            Fault::PartitionZones => {
                let other = (zone + 1) % ZONES;
                rig.network.partition(&rig.zone(zone), &rig.zone(other));
                sleep(random_duration(rng, 500..6_000));
            }
            Fault::IsolateProcess => {
                rig.network
                    .partition_one_way(&[process], &others(rig, &[process]));
                sleep(random_duration(rng, 500..6_000));
            }
            Fault::Restart => {
                rig.terminate(process);
                rig.start(process);
            }
            Fault::Degrade => {
                let delay = random_duration(rng, 1..60);
                rig.network.degrade(delay, rng.rand_range(0..400));
                sleep(random_duration(rng, 500..4_000));
            }
        }
    }
}

fn kill_for_a_while(rig: &mut Rig, rng: &mut Rand64, process: usize, with_record: bool) {
    rig.kill(process, with_record);
    sleep(random_duration(rng, 50..3_000));
    rig.start(process);
}

/// Injects random faults, one round after the other, and ends all of them after each; how many queries were made,
/// and the violations.
pub fn rounds(exe: &str, rounds: usize, seed: u64) -> (usize, Vec<String>) {
    let mut rng = Rand64::new(u128::from(seed));
    let mut rig = start_serving(
        exe,
        RigConfig {
            coordinators: if seed.is_multiple_of(2) { 1 } else { 2 },
            ..with_seed(seed)
        },
    );
    for round in 0..rounds {
        let process = random_index(&mut rng, rig.count());
        let zone = random_index(&mut rng, ZONES);
        let number = random_index(&mut rng, Fault::ALL.len());
        println!("round {round}: fault {number}, process {process}, zone {zone}");
        Fault::ALL[number].inject(&mut rig, &mut rng, process, zone);
        rig.network.heal();
        rig.leader();
        rig.wait_until_serving(&ALL_ZONES, 15);
    }
    let violations = rig.check();
    (rig.outcomes().len(), violations)
}
