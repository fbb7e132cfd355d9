//! Point 1: two of three control nodes are paused. The third has no quorum: it confirms nothing, rejects nothing for
//! good, and says so soon; traffic goes on by the last configuration.

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

/// A call without a quorum is turned down, or left without a response, within this time.
const UNAVAILABLE_WITHIN: Duration = Duration::from_secs(2);
/// Calls are given up so much later.
const CALL_SLACK: Duration = Duration::from_millis(500);
/// Traffic has no longer gap than this.
const MAX_GAP: Duration = Duration::from_secs(1);
/// Between two queries, and two rounds of calls.
const INTERVAL: Duration = Duration::from_millis(20);
/// The deadline of a query.
const QUERY_DEADLINE: Duration = Duration::from_millis(900);
/// At most one query in so many fails.
const QUERIES_PER_FAILURE: usize = 20;

pub(super) fn run(context: &mut Context<'_>) -> Result<Findings, DemoError> {
    let mut findings = Findings::default();
    let (mut cluster, first) = start_cluster(context)?;
    let (alone, others) = draw_one(&cluster.control_names(), context.random);
    let Some(ingress) = cluster.ingress_address(INGRESS) else {
        return Ok(findings);
    };
    let second = first.next(&SERVICES);
    let is_done = AtomicBool::new(false);
    let traffic = std::thread::scope(|scope| {
        let traffic = scope.spawn(|| send_traffic(ingress, &is_done));
        for other in &others {
            cluster.signal(other, Signal::Stop);
        }
        check_node_alone(
            &mut findings,
            &cluster,
            &alone,
            &first,
            &second,
            context.scale.pause,
        );
        for other in &others {
            cluster.signal(other, Signal::Continue);
        }
        check_recovery(&mut findings, &mut cluster, &second);
        is_done.store(true, Ordering::Relaxed);
        traffic.join().unwrap_or_default()
    });
    check_traffic(&mut findings, &traffic);
    Ok(findings)
}

/// While the others are paused, the node commits nothing, and knows that it has no quorum.
fn check_node_alone(
    findings: &mut Findings,
    cluster: &Cluster,
    alone: &str,
    first: &Order,
    second: &Order,
    pause: Duration,
) {
    let Some(peer) = cluster.control_address(alone) else {
        return;
    };
    let deadline = Instant::now() + pause;
    while Instant::now() < deadline {
        check_unavailable(findings, peer, first, second);
        std::thread::sleep(INTERVAL);
    }
    let knows = cluster.wait_for_members(alone, UNAVAILABLE_WITHIN, |members| {
        members.name == alone && !members.quorum
    });
    findings.check(knows, "it knows that it has no quorum", || alone.to_owned());
}

/// When the others are back, the order is committed and reaches the ingress node.
fn check_recovery(findings: &mut Findings, cluster: &mut Cluster, order: &Order) {
    let outcome = replace_at_any(&cluster.control_addresses(), order, RECOVERY_TIMEOUT);
    findings.check(
        outcome.is(OK),
        "the order is committed within the bound when the others are back",
        || describe(&outcome),
    );
    if !outcome.is(OK) {
        add_state(findings, cluster, order);
    }
    let applied = ["event=configuration_applied", "revision=2"];
    let is_applied = cluster.wait_for_line(INGRESS, &applied, RECOVERY_TIMEOUT);
    findings.check(
        is_applied,
        "the ingress node has it within the bound",
        || "no update with revision 2".to_owned(),
    );
    check_keys(findings, cluster, order);
}

/// Adds what each node knows and responds after an order had no clear response.
fn add_state(findings: &mut Findings, cluster: &Cluster, order: &Order) {
    for peer in cluster.control_addresses() {
        let outcome = replace_at(peer, order, RECOVERY_TIMEOUT);
        findings.add_note(format!(
            "{peer}: {}; members {:?}",
            describe(&outcome),
            members_at(peer)
        ));
    }
}

/// A kind of call, and its outcome.
struct NamedOutcome {
    call: &'static str,
    outcome: CallOutcome,
}

/// Each kind of call, all at once.
fn check_unavailable(findings: &mut Findings, peer: SocketAddr, first: &Order, second: &Order) {
    for NamedOutcome { call, outcome } in call_all(peer, first, second) {
        findings.check(
            !outcome.is_final(),
            "nothing is settled without a quorum",
            || format!("{call}: {}", describe(&outcome)),
        );
        let is_soon = outcome.status.is_none() || outcome.elapsed <= UNAVAILABLE_WITHIN;
        findings.check(
            is_soon,
            "an unavailable response comes within its bound",
            || format!("{call}: {}", describe(&outcome)),
        );
    }
}

fn call_all(peer: SocketAddr, first: &Order, second: &Order) -> Vec<NamedOutcome> {
    let conflict = Order::new(0, 1, &SERVICES, 3);
    let timeout = UNAVAILABLE_WITHIN + CALL_SLACK;
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
        let running = calls.map(|(call, send)| (call, scope.spawn(send)));
        running
            .into_iter()
            .filter_map(|(call, thread)| {
                let outcome = thread.join().ok()?;
                Some(NamedOutcome { call, outcome })
            })
            .collect()
    })
}

/// What a client saw of its queries.
#[derive(Debug, Default)]
struct Traffic {
    queries: usize,
    failed: usize,
    /// The longest time between two responses.
    longest_gap: Duration,
}

fn send_traffic(ingress: SocketAddr, is_done: &AtomicBool) -> Traffic {
    let mut traffic = Traffic::default();
    let mut responded_at = Instant::now();
    while !is_done.load(Ordering::Relaxed) {
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
    findings.check(traffic.longest_gap <= MAX_GAP, "traffic goes on", || {
        format!("{traffic:?}")
    });
    findings.check(
        traffic.failed * QUERIES_PER_FAILURE <= traffic.queries,
        "19 of 20 queries are answered",
        || format!("{traffic:?}"),
    );
    findings.add_note(format!("{traffic:?}"));
}
