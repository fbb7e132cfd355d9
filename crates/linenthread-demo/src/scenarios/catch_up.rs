//! Point 4: a control node that was down for many changes comes back: it catches up soon, reads are never old, its
//! disk stays small, and with it and one other the system goes on.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linenthread_ctl::control_api::OK;
use oorandom::Rand64;

use super::context::Context;
use super::findings::Findings;
use super::key_watch::{KeyWatch, check_keys};
use super::scale::RECOVERY_TIMEOUT;
use super::setup::{SERVICES, describe, draw_one, start_cluster};
use crate::client::{read_at, read_at_any, replace_at, replace_at_any};
use crate::cluster::Cluster;
use crate::error::DemoError;
use crate::order::Order;

/// It serves the newest configuration within this time of its start.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);
/// A disk's log is compacted when it is longer than 16 MiB; twice that is there for a moment.
const MAX_DISK_BYTES: u64 = 33 << 20;
/// A node that was down stores the newest state in one piece, not the changes that it missed.
const MAX_DISK_BYTES_OF_ABSENT: u64 = 1 << 20;
/// Between two reads while it catches up.
const READ_INTERVAL: Duration = Duration::from_millis(10);

pub(super) fn run(context: &mut Context<'_>) -> Result<Findings, DemoError> {
    let mut findings = Findings::default();
    let (mut cluster, first) = start_cluster(context)?;
    let (absent, others) = draw_one(&cluster.control_names(), context.random);
    cluster.kill(&absent);
    let keys = KeyWatch::start(&cluster, &first);
    let running = cluster.control_addresses_except(&[&absent]);
    let Some(last) = send_changes(&mut findings, &running, first, context.scale.changes) else {
        return Ok(findings);
    };
    check_keys(&mut findings, &cluster, &last);
    let largest = check_disks(&mut findings, &cluster, &others);

    cluster.start_process(&absent)?;
    let Some(peer) = cluster.control_address(&absent) else {
        return Ok(findings);
    };
    let elapsed = check_first_read(&mut findings, peer, &last);
    let holds = cluster.wait_for_members(&absent, CATCH_UP_TIMEOUT, |members| {
        members.revision == last.revision
    });
    findings.check(holds, "it has the newest revision within the bound", || {
        absent.clone()
    });
    let bytes = cluster.disk_bytes(&absent);
    findings.check(
        bytes <= MAX_DISK_BYTES_OF_ABSENT,
        "its disk holds no missed changes",
        || format!("{bytes} bytes"),
    );
    findings.add_note(format!(
        "caught up after {elapsed:?}; disks: {bytes} bytes, the others {largest} at most"
    ));

    let (killed, _) = draw_one(&others, context.random);
    cluster.kill(&killed);
    let survivors = cluster.control_addresses_except(&[&killed]);
    check_survivors(&mut findings, &survivors, peer, &last, context.random);
    keys.check(&mut findings, &mut cluster);
    Ok(findings)
}

/// Sends so many changes, one after another; returns the last one, if all are acknowledged.
fn send_changes(
    findings: &mut Findings,
    running: &[SocketAddr],
    first: Order,
    changes: u64,
) -> Option<Order> {
    let mut last = first;
    for _ in 0..changes {
        let order = last.next(&SERVICES);
        let outcome = replace_at_any(running, &order, RECOVERY_TIMEOUT);
        findings.check(
            outcome.is(OK),
            "an order is acknowledged with one node down",
            || describe(&outcome),
        );
        if !outcome.is(OK) {
            return None;
        }
        last = order;
    }
    Some(last)
}

/// The disks of these nodes are bounded; returns the bytes of the largest.
fn check_disks(findings: &mut Findings, cluster: &Cluster, names: &[String]) -> u64 {
    let bytes = names.iter().map(|name| cluster.disk_bytes(name));
    let largest = bytes.max().unwrap_or_default();
    findings.check(
        largest <= MAX_DISK_BYTES,
        "the disks of the others are bounded",
        || format!("{largest} bytes"),
    );
    largest
}

/// The first clear read of a node that has just started is the newest; returns how long it took.
fn check_first_read(findings: &mut Findings, peer: SocketAddr, last: &Order) -> Duration {
    let started_at = Instant::now();
    loop {
        let outcome = read_at(peer, CATCH_UP_TIMEOUT);
        if outcome.is_final() {
            let is_newest = outcome.is(OK) && outcome.body == last.document;
            findings.check(is_newest, "its first read is the newest", || {
                describe(&outcome)
            });
            break;
        }
        if started_at.elapsed() > CATCH_UP_TIMEOUT {
            break;
        }
        std::thread::sleep(READ_INTERVAL);
    }
    let elapsed = started_at.elapsed();
    findings.check(
        elapsed <= CATCH_UP_TIMEOUT,
        "it catches up within the bound",
        || format!("{elapsed:?}"),
    );
    elapsed
}

/// With one node of the old majority lost, the others, of which one was down before, go on.
fn check_survivors(
    findings: &mut Findings,
    survivors: &[SocketAddr],
    peer: SocketAddr,
    last: &Order,
    random: &mut Rand64,
) {
    for survivor in survivors {
        let outcome = read_at_any(&[*survivor], RECOVERY_TIMEOUT);
        findings.check(
            outcome.body == last.document,
            "reads are the newest with one of the old majority",
            || describe(&outcome),
        );
    }
    for missed in missed_orders(last, random) {
        let outcome = replace_at(peer, &missed, RECOVERY_TIMEOUT);
        findings.check(
            outcome.is_or_not_final(OK),
            "an order that it missed is not rejected when sent again",
            || format!("revision {}: {}", missed.revision, describe(&outcome)),
        );
    }
    let outcome = replace_at_any(survivors, &last.next(&SERVICES), RECOVERY_TIMEOUT);
    findings.check(
        outcome.is(OK),
        "a new order is acknowledged within the bound",
        || describe(&outcome),
    );
}

/// Some of the orders up to the last one.
fn missed_orders(last: &Order, random: &mut Rand64) -> [Order; 3] {
    let drawn = random.rand_range(2..last.revision);
    [2, drawn, last.revision].map(|revision| Order::new(revision - 1, revision, &SERVICES, 0))
}
