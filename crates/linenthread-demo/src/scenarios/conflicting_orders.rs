//! Point 2: two operators send different orders of one revision at the same time. One must be committed and the other
//! rejected, by every control node, also after a restart of all control nodes.

use std::net::SocketAddr;
use std::sync::Barrier;
use std::time::Duration;

use linenthread_ctl::control_api::{OK, PRECONDITION_FAILED};
use oorandom::Rand64;

use super::context::Context;
use super::findings::Findings;
use super::key_watch::{KeyWatch, check_keys};
use super::scale::RECOVERY_TIMEOUT;
use super::setup::{SERVICES, describe, draw_duration, draw_index, restart_all, start_cluster};
use crate::client::{CALL_TIMEOUT, CallOutcome, replace_at, replace_at_any};
use crate::cluster::Cluster;
use crate::error::DemoError;
use crate::order::Order;

/// Each operator waits for a random time below this before its first call.
const MAX_DELAY: Duration = Duration::from_millis(20);

/// Two orders of one revision, of which one was committed.
struct Conflict {
    committed: Order,
    rejected: Order,
}

pub(super) fn run(context: &mut Context<'_>) -> Result<Findings, DemoError> {
    let mut findings = Findings::default();
    let (mut cluster, first) = start_cluster(context)?;
    let keys = KeyWatch::start(&cluster, &first);
    let mut conflicts: Vec<Conflict> = Vec::new();
    for number in 0..context.scale.conflicts {
        let newest = conflicts.last().map_or(&first, |last| &last.committed);
        let base = newest.revision;
        let orders =
            [1, 2].map(|variant| Order::new(base, base + 1, &SERVICES, 2 * number + variant));
        let Some(conflict) = send_both(&mut findings, &cluster, orders, context.random) else {
            return Ok(findings);
        };
        conflicts.push(conflict);
    }
    check_conflicts(&mut findings, &cluster, &conflicts);
    restart_all(&mut cluster)?;
    check_conflicts(&mut findings, &cluster, &conflicts);
    if let Some(newest) = conflicts.last() {
        check_keys(&mut findings, &cluster, &newest.committed);
    }
    keys.check(&mut findings, &mut cluster);
    Ok(findings)
}

/// Sends both orders at the same time, and checks that one is committed and the other rejected; returns `None` unless
/// exactly one is committed.
fn send_both(
    findings: &mut Findings,
    cluster: &Cluster,
    orders: [Order; 2],
    random: &mut Rand64,
) -> Option<Conflict> {
    let outcomes = send_concurrently(&cluster.control_addresses(), &orders, random);
    let committed = outcomes
        .iter()
        .filter(|outcome| outcome.has_status(OK))
        .count();
    let rejected = outcomes
        .iter()
        .filter(|outcome| outcome.has_status(PRECONDITION_FAILED))
        .count();
    findings.check(
        (committed, rejected) == (1, 1),
        "one of two is committed, the other rejected",
        || format!("{}; {}", describe(&outcomes[0]), describe(&outcomes[1])),
    );
    if committed != 1 {
        return None;
    }
    let [left, right] = orders;
    let (committed, rejected) = if outcomes[0].has_status(OK) {
        (left, right)
    } else {
        (right, left)
    };
    Some(Conflict {
        committed,
        rejected,
    })
}

/// Sends each order from its own thread, first to a different node, until the response is final.
fn send_concurrently(
    addresses: &[SocketAddr],
    orders: &[Order; 2],
    random: &mut Rand64,
) -> [CallOutcome; 2] {
    let barrier = Barrier::new(orders.len());
    let start = draw_index(0, addresses.len(), random);
    let delays = [
        draw_duration(MAX_DELAY, random),
        draw_duration(MAX_DELAY, random),
    ];
    std::thread::scope(|scope| {
        let send = |index: usize| {
            let mut rotated = addresses.to_vec();
            rotated.rotate_left((start + index) % addresses.len());
            let (barrier, order, delay) = (&barrier, &orders[index], delays[index]);
            scope.spawn(move || {
                barrier.wait();
                std::thread::sleep(delay);
                replace_at_any(&rotated, order, RECOVERY_TIMEOUT)
            })
        };
        [send(0), send(1)].map(|thread| thread.join().unwrap_or_default())
    })
}

/// Checks at every control node that committed orders are not rejected and the others not committed.
fn check_conflicts(findings: &mut Findings, cluster: &Cluster, conflicts: &[Conflict]) {
    for peer in cluster.control_addresses() {
        for conflict in conflicts {
            check_conflict(findings, peer, conflict);
        }
        if let Some(newest) = conflicts.last() {
            check_newest(findings, peer, newest);
        }
    }
}

fn check_conflict(findings: &mut Findings, peer: SocketAddr, conflict: &Conflict) {
    let outcome = replace_at(peer, &conflict.committed, CALL_TIMEOUT);
    findings.check(
        outcome.is_or_not_final(OK),
        "a committed order is never rejected",
        || describe(&outcome),
    );
    let outcome = replace_at(peer, &conflict.rejected, CALL_TIMEOUT);
    findings.check(
        outcome.is_or_not_final(PRECONDITION_FAILED),
        "the other order is never committed",
        || describe(&outcome),
    );
}

/// Checks at one node that the newest conflict has the expected outcome, with final responses within the bound.
fn check_newest(findings: &mut Findings, peer: SocketAddr, newest: &Conflict) {
    let outcome = replace_at_any(&[peer], &newest.committed, RECOVERY_TIMEOUT);
    findings.check(
        outcome.has_status(OK),
        "the newest order is acknowledged again",
        || describe(&outcome),
    );
    let outcome = replace_at_any(&[peer], &newest.rejected, RECOVERY_TIMEOUT);
    findings.check(
        outcome.has_status(PRECONDITION_FAILED),
        "the order in conflict with it is rejected at every node",
        || describe(&outcome),
    );
}
