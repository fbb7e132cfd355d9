//! What may happen to several processes of the program, each as a script: played by the service's tests and by
//! `linenthread-drill processes`.

use std::thread::sleep;
use std::time::{Duration, Instant};

use oorandom::Rand64;

use crate::rig::{Plan, Rig};

/// A script's name, and what it does.
pub type Scenario = (&'static str, fn(&str, u64) -> Rig);

/// All of them.
pub const ALL: [Scenario; 11] = [
    ("near", near),
    ("leader-killed", leader_killed),
    ("leader-stopped", leader_stopped),
    ("zone-lost", zone_lost),
    ("pair-cut", pair_cut),
    ("disk-lost", disk_lost),
    ("disk-full", disk_full),
    ("minority", minority),
    ("rolling", rolling),
    ("orders", orders),
    ("slow-and-lossy", slow_and_lossy),
];

fn plan(seed: u64) -> Plan {
    Plan {
        seed,
        ..Plan::default()
    }
}

fn asked(exe: &str, plan: Plan) -> Rig {
    let mut rig = Rig::started(exe, plan);
    rig.ask_all_along(25);
    rig.whole_again(&[0, 1, 2], 20);
    rig
}

fn others(rig: &Rig, not: &[usize]) -> Vec<usize> {
    rig.all().into_iter().filter(|n| !not.contains(n)).collect()
}

fn mend_zone(rig: &mut Rig, zone: usize) {
    for node in rig.zone(zone) {
        rig.net.down(node, false);
        if node < rig.count() {
            rig.start(node);
        }
    }
}

/// While all is sound parts stay in a zone that holds their shard, with two co-ordinators a zone, but for those
/// that leave a replica for its score: calls on loopback take a millisecond or so, and what else the machine does
/// shows in them. Up to an eighth left so, a third or more where nothing keeps them near.
fn near(exe: &str, seed: u64) -> Rig {
    let rig = asked(
        exe,
        Plan {
            co_ordinators: 2,
            ..plan(seed)
        },
    );
    let since = rig.ran();
    rig.whole_again(&[0, 1, 2], 80);
    let (flows, strays) = rig.flows(since);
    let all: usize = flows.values().sum();
    assert!(
        all > 300 && strays * 5 < all,
        "{strays} of {all} parts left a zone that holds them: {flows:?}"
    );
    rig
}

/// Who leads is killed: another leads, on the same table and record, and service is whole.
fn leader_killed(exe: &str, seed: u64) -> Rig {
    let mut rig = asked(exe, plan(seed));
    let leader = rig.leader();
    rig.kill(leader, false);
    let rest = others(&rig, &[leader]);
    let new = rig.leader();
    assert_ne!(new, leader);
    let from: Vec<usize> = rest.iter().map(|&n| rig.said(n)).collect();
    rest.iter()
        .zip(from)
        .for_each(|(&n, from)| drop(rig.logged_since(n, from, "acts on a table")));
    rig.whole_again(&rest, 20);
    rig.start(leader);
    rig.logged(leader, "acts on a table");
    rig.whole_again(&[0, 1, 2], 20);
    rig
}

/// Who leads is stopped for longer than any lease and woken: it does not lead any more, and nothing is decided twice.
fn leader_stopped(exe: &str, seed: u64) -> Rig {
    let rig = asked(exe, plan(seed));
    let leader = rig.leader();
    rig.ask_it(leader, false);
    sleep(Duration::from_millis(100));
    rig.signal(leader, "-STOP");
    let rest = others(&rig, &[leader]);
    let began = Instant::now();
    let from: Vec<usize> = rest.iter().map(|&n| rig.said(n)).collect();
    rest.iter()
        .zip(&from)
        .for_each(|(&n, &from)| drop(rig.logged_since(n, from, "acts on a table")));
    rig.whole_again(&rest, 20);
    sleep(Duration::from_secs(10).saturating_sub(began.elapsed()));
    let from = rig.said(leader);
    rig.signal(leader, "-CONT");
    rig.logged_since(leader, from, "does not lead any more");
    rig.logged_since(leader, from, "acts on a table");
    rig.ask_it(leader, true);
    assert_ne!(rig.leader(), leader);
    rig.whole_again(&[0, 1, 2], 20);
    rig
}

/// A zone is lost with all in it, left by all the others, and comes back.
fn zone_lost(exe: &str, seed: u64) -> Rig {
    let mut rig = asked(exe, plan(seed));
    let lost = (seed % 3) as usize;
    let rest: Vec<usize> = (0..3).filter(|z| *z != lost).collect();
    let from: Vec<usize> = rig.all().iter().map(|&n| rig.said(n)).collect();
    for node in rig.zone(lost) {
        rig.net.down(node, true);
        if node < rig.count() {
            rig.kill(node, false);
        }
    }
    for &zone in &rest {
        for n in rig.co_ordinators(zone) {
            rig.acts(n, from[n], (zone, lost), |share, reason| {
                share == 0 && reason == "Down"
            });
        }
    }
    rig.whole_again(&rest, 20);
    let since = rig.ran();
    rig.whole_again(&rest, 20);
    // What still goes there is a probe's or a first step's matter, not a part's.
    let (flows, _) = rig.flows(since);
    let to_lost: usize = rest
        .iter()
        .filter_map(|zone| flows.get(&(*zone, lost)))
        .sum();
    assert!(to_lost <= 3, "{flows:?}");
    mend_zone(&mut rig, lost);
    let from: Vec<usize> = rig.all().iter().map(|&n| rig.said(n)).collect();
    for n in rig.all() {
        let zone = n % 3;
        rig.acts(
            n,
            from[n].min(rig.said(n)),
            (zone, lost),
            |share, reason| share == 1_000 && reason == "Sound",
        );
    }
    rig.whole_again(&[0, 1, 2], 20);
    rig
}

/// Two zones cannot reach each other, their co-ordinators neither: only that pair's traffic moves.
fn pair_cut(exe: &str, seed: u64) -> Rig {
    let rig = asked(exe, plan(seed));
    let (a, b) = ((seed % 3) as usize, ((seed + 1) % 3) as usize);
    let third = 3 - a - b;
    let from: Vec<usize> = rig.all().iter().map(|&n| rig.said(n)).collect();
    rig.net.part(&rig.zone(a), &rig.zone(b));
    // The third zone's word is the same as before; one of the two sees the other's shards at least.
    let n = rig.co_ordinators(third)[0];
    rig.awaited_cut(n, from[n], (a, b));
    rig.whole_again(&[third], 20);
    let line = rig.acts(n, from[n], (third, a), |share, _| share > 0);
    assert!(
        !line.contains("Down"),
        "a zone is left for a pair that is cut: {line}"
    );
    rig.whole_again(&[0, 1, 2], 20);
    rig.net.heal();
    let from: Vec<usize> = rig.all().iter().map(|&n| rig.said(n)).collect();
    rig.acts(n, from[n], (a, b), |share, reason| {
        share == 1_000 && reason == "Sound"
    });
    rig.whole_again(&[0, 1, 2], 20);
    rig
}

/// A voter loses its disk: it comes back as another self, and its vote counts.
fn disk_lost(exe: &str, seed: u64) -> Rig {
    let mut rig = asked(exe, plan(seed));
    let lost = (seed % 3) as usize;
    rig.kill(lost, true);
    rig.leader();
    let rest = others(&rig, &[lost]);
    let from: Vec<usize> = rig.all().iter().map(|&n| rig.said(n)).collect();
    rig.start(lost);
    rig.logged(lost, "its disk is empty beside a record that goes on");
    rest.iter()
        .for_each(|&n| drop(rig.logged_since(n, from[n], "is in")));
    rig.logged(lost, "acts on a table");
    rig.whole_again(&[0, 1, 2], 20);
    // With another one gone its vote is needed.
    let gone = rest[(seed / 3 % 2) as usize];
    rig.kill(gone, false);
    rig.leader();
    let from = rig.said(lost);
    rig.logged_since(lost, from, "acts on a table");
    rig.start(gone);
    rig.whole_again(&[0, 1, 2], 20);
    rig
}

/// A voter's disk is full: it steps down and says so, serves on and follows; and takes part again later.
fn disk_full(exe: &str, seed: u64) -> Rig {
    let rig = asked(exe, plan(seed));
    let full = rig.leader();
    let from = rig.said(full);
    rig.fill_disk(full, Some(64));
    rig.logged_since(full, from, "this voter steps down: the disk failed");
    rig.logged_since(full, from, "does not lead any more");
    let new = rig.leader();
    assert_ne!(new, full);
    rig.whole_again(&[0, 1, 2], 20);
    let from = rig.said(full);
    rig.logged_since(full, from, "acts on a table");
    rig.fill_disk(full, None);
    rig.logged_since(full, from, "takes part as a voter");
    rig.whole_again(&[0, 1, 2], 20);
    rig
}

/// One is cut off from all other co-ordinators, not from replicas: it moves nothing, and its clients are served.
fn minority(exe: &str, seed: u64) -> Rig {
    let rig = asked(exe, plan(seed));
    let alone = (seed % 3) as usize;
    let from = rig.said(alone);
    rig.net.part(&[alone], &others(&rig, &[alone]));
    rig.logged_since(alone, from, "no word of the table for its life");
    rig.whole_again(&[0, 1, 2], 20);
    let from = rig.said(alone);
    rig.net.heal();
    rig.logged_since(alone, from, "acts on a table");
    rig.whole_again(&[0, 1, 2], 20);
    rig
}

/// All are restarted one after the other.
fn rolling(exe: &str, seed: u64) -> Rig {
    let mut rig = asked(exe, plan(seed));
    for n in rig.all() {
        let rest = others(&rig, &[n]);
        assert!(rig.end(n), "{} did not end well", rig.name(n));
        rig.whole_again(&rest, 10);
        rig.start(n);
        rig.logged(n, "acts on a table");
        rig.leader();
    }
    rig.whole_again(&[0, 1, 2], 20);
    rig
}

/// An operator has a zone left and taken back; an order that cannot be is refused with its reason.
fn orders(exe: &str, seed: u64) -> Rig {
    let rig = asked(exe, plan(seed));
    let said = |output: &std::process::Output| {
        String::from_utf8_lossy(&[&output.stdout[..], &output.stderr[..]].concat()).into_owned()
    };
    let from = rig.said(0);
    let output = rig.operator(1, &["drain", "messina"]);
    assert!(output.status.success(), "{}", said(&output));
    rig.acts(0, from, (0, 2), |share, reason| {
        share == 0 && reason == "Drained"
    });
    rig.whole_again(&[0, 1], 20);
    let output = rig.operator(0, &["show"]);
    assert!(
        said(&output).contains("0 drained") && said(&output).contains("left by order: messina"),
        "{}",
        said(&output)
    );
    // With another one gone some shards would lie nowhere.
    let output = rig.operator(2, &["drain", "catania"]);
    assert!(
        !output.status.success() && said(&output).contains("no replica left"),
        "{}",
        said(&output)
    );
    let output = rig.operator(0, &["drain", "malta"]);
    assert!(
        !output.status.success() && said(&output).contains("there is no zone malta"),
        "{}",
        said(&output)
    );
    let from = rig.said(0);
    let output = rig.operator(1, &["return", "messina"]);
    assert!(output.status.success(), "{}", said(&output));
    rig.acts(0, from, (0, 2), |share, reason| {
        share == 1_000 && reason == "Sound"
    });
    rig.whole_again(&[0, 1, 2], 20);
    rig
}

/// All ways are slow and lossy for a while: nobody is left for it, and nobody leads twice.
fn slow_and_lossy(exe: &str, seed: u64) -> Rig {
    let rig = asked(exe, plan(seed));
    rig.net.worsen(Duration::from_millis(30), 300);
    rig.whole_again(&[0, 1, 2], 30);
    rig.leader();
    rig.net.heal();
    rig.whole_again(&[0, 1, 2], 20);
    rig
}

/// Random troubles, one round after the other, and all mended after each.
pub fn rounds(exe: &str, rounds: usize, seed: u64) -> (usize, Vec<String>) {
    let mut chance = Rand64::new(u128::from(seed));
    let mut rig = asked(
        exe,
        Plan {
            co_ordinators: 1 + (seed % 2) as usize,
            ..plan(seed)
        },
    );
    for round in 0..rounds {
        let one = chance.rand_range(0..rig.count() as u64) as usize;
        let zone = chance.rand_range(0..3) as usize;
        let what = chance.rand_range(0..8);
        println!("round {round}: trouble {what}, process {one}, zone {zone}");
        match what {
            0 => {
                rig.kill(one, false);
                sleep(Duration::from_millis(chance.rand_range(50..3_000)));
                rig.start(one);
            }
            1 => {
                rig.kill(one, true);
                sleep(Duration::from_millis(chance.rand_range(50..3_000)));
                rig.start(one);
            }
            2 => {
                rig.ask_it(one, false);
                sleep(Duration::from_millis(100));
                rig.signal(one, "-STOP");
                sleep(Duration::from_millis(chance.rand_range(1_000..10_000)));
                rig.signal(one, "-CONT");
                rig.ask_it(one, true);
            }
            3 => {
                for node in rig.zone(zone) {
                    rig.net.down(node, true);
                    if node < rig.count() {
                        rig.kill(node, false);
                    }
                }
                sleep(Duration::from_millis(chance.rand_range(500..6_000)));
                mend_zone(&mut rig, zone);
            }
            4 => {
                let other = (zone + 1) % 3;
                rig.net.part(&rig.zone(zone), &rig.zone(other));
                sleep(Duration::from_millis(chance.rand_range(500..6_000)));
            }
            5 => {
                rig.net.cut(&[one], &others(&rig, &[one]));
                sleep(Duration::from_millis(chance.rand_range(500..6_000)));
            }
            6 => {
                rig.end(one);
                rig.start(one);
            }
            _ => {
                rig.net.worsen(
                    Duration::from_millis(chance.rand_range(1..60)),
                    chance.rand_range(0..400),
                );
                sleep(Duration::from_millis(chance.rand_range(500..4_000)));
            }
        }
        rig.net.heal();
        rig.leader();
        rig.whole_again(&[0, 1, 2], 15);
    }
    let breaches = rig.judge();
    (rig.told().len(), breaches)
}
