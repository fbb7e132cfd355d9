//! Point 1: two of three control nodes are paused. The third has no quorum: it must neither confirm nor finally reject
//! any call, and if it responds, it must do so within a bound. Ingress nodes must continue to serve queries with the
//! last configuration.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use linenthread_ctl::control_api::OK;

use super::context::Context;
use super::findings::Findings;
use super::key_watch::check_keys;
use super::scale::RECOVERY_TIMEOUT;
use super::setup::{INGRESS, SERVICES, describe, draw_one, start_cluster};
use crate::client::{
    CallOutcome, drain_at, members_at, query_at, read_at, replace_at, replace_at_any,
};
use crate::cluster::Cluster;
use crate::error::DemoError;
use crate::machine::Signal;
use crate::order::Order;

/// The time within which a node without a quorum responds that it is unavailable, if it responds at all.
const UNAVAILABLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long after [`UNAVAILABLE_TIMEOUT`] a call times out.
const CALL_SLACK: Duration = Duration::from_millis(500);
/// The longest time between two successful queries.
const MAX_GAP: Duration = Duration::from_secs(1);
/// The pause between two queries, and between two rounds of calls.
const INTERVAL: Duration = Duration::from_millis(20);
const QUERY_DEADLINE: Duration = Duration::from_millis(900);
/// At most one of this many queries may fail.
const QUERIES_PER_FAILURE: usize = 20;

pub(super) fn run(context: &mut Context<'_>) -> Result<Findings, DemoError> {
    let mut findings = Findings::default();
    let (mut cluster, first) = start_cluster(context)?;
    let (running, others) = draw_one(&cluster.control_names(), context.random);
    let Some(ingress) = cluster.ingress_address(INGRESS) else {
        return Ok(findings);
    };
    let second = first.next(&SERVICES);
    let is_stopped = AtomicBool::new(false);
    let traffic = std::thread::scope(|scope| {
        let traffic = scope.spawn(|| send_traffic(ingress, &is_stopped));
        for other in &others {
            cluster.signal(other, Signal::Stop);
        }
        check_without_quorum(
            &mut findings,
            &cluster,
            &running,
            &first,
            &second,
            context.scale.pause,
        );
        for other in &others {
            cluster.signal(other, Signal::Continue);
        }
        check_recovery(&mut findings, &mut cluster, &second);
        is_stopped.store(true, Ordering::Relaxed);
        traffic.join().unwrap_or_default()
    });
    check_traffic(&mut findings, &traffic);
    Ok(findings)
}

/// Checks that the running node gives no final response while the others are paused, and reports that it has no quorum.
fn check_without_quorum(
    findings: &mut Findings,
    cluster: &Cluster,
    running: &str,
    first: &Order,
    second: &Order,
    pause: Duration,
) {
    let Some(peer) = cluster.control_address(running) else {
        return;
    };
    let deadline = Instant::now() + pause;
    while Instant::now() < deadline {
        check_unavailable(findings, peer, first, second);
        std::thread::sleep(INTERVAL);
    }
    let reports_no_quorum = cluster.wait_for_members(running, UNAVAILABLE_TIMEOUT, |members| {
        members.name == running && !members.quorum
    });
    findings.check(
        reports_no_quorum,
        "the running node reports that it has no quorum",
        || running.to_owned(),
    );
}

/// Checks that the order is committed after the other nodes have resumed, and that the ingress node applies it.
fn check_recovery(findings: &mut Findings, cluster: &mut Cluster, order: &Order) {
    let outcome = replace_at_any(&cluster.control_addresses(), order, RECOVERY_TIMEOUT);
    findings.check(
        outcome.has_status(OK),
        "the order is committed within the bound after the other nodes have resumed",
        || describe(&outcome),
    );
    if !outcome.has_status(OK) {
        add_node_states(findings, cluster, order);
    }
    let applied = ["event=configuration_applied", "revision=2"];
    let is_applied = cluster.wait_for_line(INGRESS, &applied, RECOVERY_TIMEOUT);
    findings.check(
        is_applied,
        "the ingress node applies the order within the bound",
        || "revision 2 was not applied".to_owned(),
    );
    check_keys(findings, cluster, order);
}

/// Sends an order that was not acknowledged to each control node, and adds notes with the responses and the members.
fn add_node_states(findings: &mut Findings, cluster: &Cluster, order: &Order) {
    for peer in cluster.control_addresses() {
        let outcome = replace_at(peer, order, RECOVERY_TIMEOUT);
        findings.add_note(format!(
            "{peer}: {}; members {:?}",
            describe(&outcome),
            members_at(peer)
        ));
    }
}

struct NamedOutcome {
    call: &'static str,
    outcome: CallOutcome,
}

/// Sends calls of all kinds at the same time, and checks that none gets a final response or a late one.
fn check_unavailable(findings: &mut Findings, peer: SocketAddr, first: &Order, second: &Order) {
    for NamedOutcome { call, outcome } in call_all(peer, first, second) {
        findings.check(
            !outcome.is_final(),
            "no response is final without a quorum",
            || format!("{call}: {}", describe(&outcome)),
        );
        let is_in_time = outcome.status.is_none() || outcome.elapsed <= UNAVAILABLE_TIMEOUT;
        findings.check(
            is_in_time,
            "a response without a quorum comes within the bound",
            || format!("{call}: {}", describe(&outcome)),
        );
    }
}

fn call_all(peer: SocketAddr, first: &Order, second: &Order) -> Vec<NamedOutcome> {
    let conflict = Order::new(0, 1, &SERVICES, 3);
    let timeout = UNAVAILABLE_TIMEOUT + CALL_SLACK;
    let calls: [(&'static str, &(dyn Fn() -> CallOutcome + Sync)); 5] = [
        ("read", &|| read_at(peer, timeout)),
        ("order", &|| replace_at(peer, second, timeout)),
        ("retry", &|| replace_at(peer, first, timeout)),
        ("conflict", &|| replace_at(peer, &conflict, timeout)),
        ("drain", &|| {
            drain_at(peer, "i-drains", SERVICES[0], timeout)
        }),
    ];
    std::thread::scope(|scope| {
        let threads = calls.map(|(call, send)| (call, scope.spawn(send)));
        threads
            .into_iter()
            .filter_map(|(call, thread)| {
                let outcome = thread.join().ok()?;
                Some(NamedOutcome { call, outcome })
            })
            .collect()
    })
}

/// The outcomes of a client's queries.
#[derive(Debug, Default)]
struct Traffic {
    queries: usize,
    failed: usize,
    /// The longest time from a successful response, or from the start, to the end of a later query.
    longest_gap: Duration,
}

fn send_traffic(ingress: SocketAddr, is_stopped: &AtomicBool) -> Traffic {
    let mut traffic = Traffic::default();
    let mut responded_at = Instant::now();
    while !is_stopped.load(Ordering::Relaxed) {
        let attempt = format!("t-{}", traffic.queries);
        let response = query_at(ingress, "GET", "/all/x", &attempt, QUERY_DEADLINE);
        traffic.queries += 1;
        let gap = responded_at.elapsed();
        if response.is_ok_and(|response| response.status == 200) {
            responded_at = Instant::now();
        } else {
            traffic.failed += 1;
        }
        traffic.longest_gap = traffic.longest_gap.max(gap);
        std::thread::sleep(INTERVAL);
    }
    traffic
}

fn check_traffic(findings: &mut Findings, traffic: &Traffic) {
    findings.check(
        traffic.longest_gap <= MAX_GAP,
        "queries are served without a long gap",
        || format!("{traffic:?}"),
    );
    findings.check(
        traffic.failed * QUERIES_PER_FAILURE <= traffic.queries,
        "19 of 20 queries succeed",
        || format!("{traffic:?}"),
    );
    findings.add_note(format!("{traffic:?}"));
}
