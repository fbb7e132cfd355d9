//! Point 4: a control node that was down for many changes comes back: it catches up soon, reads are never
//! old, its disk stays small, and with it and one other the system goes on.

use std::path::Path;
use std::time::{Duration, Instant};

use oorandom::Rand64;

use crate::operator::{Order, read_anywhere, read_at, replace_anywhere, replace_at};
use crate::rounds::setup::{SERVICES, draw_one, started, words};
use crate::rounds::{BOUND, Findings, Scale};

/// It serves the newest configuration within this time of its start.
const CATCH_UP: Duration = Duration::from_secs(5);
/// A disk's log is written anew when it is longer than 16 MiB; twice that lies there for a moment.
const DISK: u64 = 33 << 20;
/// One that was down holds what it was told in one piece, not the changes that it missed.
const DISK_OF_THE_ABSENT: u64 = 1 << 20;
/// Between two reads while it catches up.
const LOOK: Duration = Duration::from_millis(10);

pub(super) fn play(
    program: &Path,
    scale: &Scale,
    random: &mut Rand64,
) -> std::io::Result<Findings> {
    let mut findings = Findings::default();
    let (mut cluster, first) = started(program, 3, 1)?;
    let (absent, others) = draw_one(&cluster.control_names(), random);
    cluster.kill(&absent);
    let running = cluster.control_without(&[&absent]);
    let mut last = first;
    for _ in 0..scale.changes {
        let order = Order::new(last.revision, last.revision + 1, &SERVICES, 0);
        let seen = replace_anywhere(&running, &order, BOUND);
        findings.check(
            seen.is(200),
            "an order is acknowledged with one node down",
            || words(&seen),
        );
        if !seen.is(200) {
            return Ok(findings);
        }
        last = order;
    }
    let largest = others
        .iter()
        .map(|name| cluster.disk_bytes(name))
        .max()
        .unwrap_or_default();
    findings.check(
        largest <= DISK,
        "the disks of the others are bounded",
        || format!("{largest} bytes"),
    );

    cluster.run(&absent)?;
    let started_at = Instant::now();
    let Some(peer) = cluster.control_of(&absent) else {
        return Ok(findings);
    };
    loop {
        let seen = read_at(peer, CATCH_UP);
        if seen.is_clear() {
            let newest = seen.is(200) && seen.body == last.document;
            findings.check(newest, "its first read is the newest", || words(&seen));
            break;
        }
        if started_at.elapsed() > CATCH_UP {
            break;
        }
        std::thread::sleep(LOOK);
    }
    let took = started_at.elapsed();
    findings.check(took <= CATCH_UP, "it catches up within the bound", || {
        format!("{took:?}")
    });
    let holds = cluster.wait_members(&absent, CATCH_UP, |m| m["revision"] == last.revision);
    findings.check(
        holds,
        "it holds the newest revision within the bound",
        || absent.clone(),
    );
    let bytes = cluster.disk_bytes(&absent);
    findings.check(
        bytes <= DISK_OF_THE_ABSENT,
        "its disk holds no missed changes",
        || format!("{bytes} bytes"),
    );
    findings.note(format!(
        "caught up after {took:?}; disks: {bytes} bytes, the others {largest} at most"
    ));

    let (lost, _) = draw_one(&others, random);
    cluster.kill(&lost);
    let survivors = cluster.control_without(&[&lost]);
    for survivor in &survivors {
        let seen = read_anywhere(&[*survivor], BOUND);
        findings.check(
            seen.body == last.document,
            "reads are the newest with one of the old majority",
            || words(&seen),
        );
    }
    for missed in missed_orders(&last, random) {
        let seen = replace_at(peer, &missed, BOUND);
        let fair = seen.is(200) || !seen.is_clear();
        findings.check(
            fair,
            "an order that it missed is not refused when sent again",
            || format!("revision {}: {}", missed.revision, words(&seen)),
        );
    }
    let next = Order::new(last.revision, last.revision + 1, &SERVICES, 0);
    let seen = replace_anywhere(&survivors, &next, BOUND);
    findings.check(
        seen.is(200),
        "a new order is acknowledged within the bound",
        || words(&seen),
    );
    Ok(findings)
}

/// Some of the orders up to the last one.
fn missed_orders(last: &Order, random: &mut Rand64) -> Vec<Order> {
    let drawn = random.rand_range(2..last.revision);
    let order = |revision| Order::new(revision - 1, revision, &SERVICES, 0);
    [2, drawn, last.revision].map(order).to_vec()
}
