//! Point 4: a control node is started again after it missed many changes: it catches up within the bound, never serves
//! an old configuration, and keeps its disk small. Then another node is killed, and the remaining two commit orders.

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

/// The time after its start within which the restarted node serves the newest configuration.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);
/// A log is compacted when it is longer than 16 MiB; up to twice that is on the disk during the compaction.
const MAX_DISK_BYTES: u64 = 33 << 20;
/// A node that was down stores the newest state as a whole, without the changes that it missed.
const MAX_LAGGING_DISK_BYTES: u64 = 1 << 20;
/// The pause between two reads while the node catches up.
const READ_INTERVAL: Duration = Duration::from_millis(10);

pub(super) fn run(context: &mut Context<'_>) -> Result<Findings, DemoError> {
    let mut findings = Findings::default();
    let (mut cluster, first) = start_cluster(context)?;
    let (lagging, others) = draw_one(&cluster.control_names(), context.random);
    cluster.kill(&lagging);
    let keys = KeyWatch::start(&cluster, &first);
    let running = cluster.control_addresses_except(&[&lagging]);
    let Some(last) = send_changes(&mut findings, &running, first, context.scale.changes) else {
        return Ok(findings);
    };
    check_keys(&mut findings, &cluster, &last);
    let largest = check_disks(&mut findings, &cluster, &others);

    cluster.start_process(&lagging)?;
    let Some(peer) = cluster.control_address(&lagging) else {
        return Ok(findings);
    };
    let elapsed = check_first_read(&mut findings, peer, &last);
    let is_current = cluster.wait_for_members(&lagging, CATCH_UP_TIMEOUT, |members| {
        members.revision == last.revision
    });
    findings.check(
        is_current,
        "the restarted node has the newest revision within the bound",
        || lagging.clone(),
    );
    let bytes = cluster.disk_bytes(&lagging);
    findings.check(
        bytes <= MAX_LAGGING_DISK_BYTES,
        "the disk of the restarted node does not contain the missed changes",
        || format!("{bytes} bytes"),
    );
    findings.add_note(format!(
        "caught up after {elapsed:?}; its disk: {bytes} bytes, the others: at most {largest} bytes"
    ));

    let (killed, _) = draw_one(&others, context.random);
    cluster.kill(&killed);
    let survivors = cluster.control_addresses_except(&[&killed]);
    check_survivors(&mut findings, &survivors, peer, &last, context.random);
    keys.check(&mut findings, &mut cluster);
    Ok(findings)
}

/// Sends this many changes, one after another; returns the last one, or `None` if one was not acknowledged.
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
            outcome.has_status(OK),
            "an order is acknowledged with one node down",
            || describe(&outcome),
        );
        if !outcome.has_status(OK) {
            return None;
        }
        last = order;
    }
    Some(last)
}

/// Checks that the disks of these nodes are bounded; returns the size of the largest in bytes.
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

/// Checks that the first final response to a read at a node that has just started is the newest configuration and comes
/// within the bound; returns the time it took.
fn check_first_read(findings: &mut Findings, peer: SocketAddr, last: &Order) -> Duration {
    let started_at = Instant::now();
    loop {
        let outcome = read_at(peer, CATCH_UP_TIMEOUT);
        if outcome.is_final() {
            let is_newest = outcome.has_status(OK) && outcome.body == last.document;
            findings.check(
                is_newest,
                "the first read at the restarted node returns the newest configuration",
                || describe(&outcome),
            );
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
        "the restarted node catches up within the bound",
        || format!("{elapsed:?}"),
    );
    elapsed
}

/// Checks that the remaining nodes, of which one missed the changes, serve the newest configuration, don't reject missed
/// orders, and commit a new one.
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
            "reads return the newest configuration with one node of the old majority left",
            || describe(&outcome),
        );
    }
    for missed in missed_orders(last, random) {
        let outcome = replace_at(peer, &missed, RECOVERY_TIMEOUT);
        findings.check(
            outcome.is_or_not_final(OK),
            "a missed order is not rejected when sent again to the restarted node",
            || format!("revision {}: {}", missed.revision, describe(&outcome)),
        );
    }
    let outcome = replace_at_any(survivors, &last.next(&SERVICES), RECOVERY_TIMEOUT);
    findings.check(
        outcome.has_status(OK),
        "a new order is acknowledged within the bound",
        || describe(&outcome),
    );
}

/// Returns three of the orders up to the last one: the first missed one, a random one and the last one.
fn missed_orders(last: &Order, random: &mut Rand64) -> [Order; 3] {
    let drawn = random.rand_range(2..last.revision);
    [2, drawn, last.revision].map(|revision| Order::new(revision - 1, revision, &SERVICES, 0))
}
