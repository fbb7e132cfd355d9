//! Point 1: a control node is paused for longer than every lease while the others acknowledge a new configuration.
//! When it resumes, calls are pending on its sockets: it must not answer any of them from its old state.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use linenthread_ctl::control_api::{OK, PRECONDITION_FAILED};

use super::context::Context;
use super::findings::Findings;
use super::key_watch::{KeyWatch, check_keys};
use super::scale::RECOVERY_TIMEOUT;
use super::setup::{INGRESS, SERVICES, describe, draw_one, start_cluster};
use crate::client::{
    CallOutcome, drain_at, is_draining_at, read_at, read_at_any, replace_at, replace_at_any,
};
use crate::error::DemoError;
use crate::machine::Signal;
use crate::order::Order;

/// The id of the draining replica.
const DRAINING_REPLICA: &str = "i-drains";

/// A call that is pending on a socket of the paused node.
enum PendingCall {
    Read,
    /// An order that was acknowledged already.
    Retry(Order),
    /// An order that conflicts with a committed one of the same revision.
    Conflict(Order),
    Drain,
}

struct CompletedCall {
    call: PendingCall,
    outcome: CallOutcome,
}

pub(super) fn run(context: &mut Context<'_>) -> Result<Findings, DemoError> {
    let mut findings = Findings::default();
    let (mut cluster, first) = start_cluster(context)?;
    let keys = KeyWatch::start(&cluster, &first);
    let (paused, _) = draw_one(&cluster.control_names(), context.random);
    let others = cluster.control_addresses_except(&[&paused]);
    let Some(peer) = cluster.control_address(&paused) else {
        return Ok(findings);
    };

    cluster.signal(&paused, Signal::Stop);
    let resumes_at = Instant::now() + context.scale.pause;
    let second = first.next(&SERVICES);
    let outcome = replace_at_any(&others, &second, RECOVERY_TIMEOUT);
    findings.check(
        outcome.has_status(OK),
        "the others acknowledge an order",
        || describe(&outcome),
    );
    let applied = ["event=configuration_applied", "revision=2"];
    let is_applied = cluster.wait_for_line(INGRESS, &applied, RECOVERY_TIMEOUT);
    findings.check(
        is_applied,
        "the ingress node has the new configuration while the node is paused",
        || paused.clone(),
    );

    check_keys(&mut findings, &cluster, &second);

    let conflict = Order::new(1, 2, &SERVICES, 7);
    let pending = start_calls(peer, first, second, conflict.clone(), resumes_at);
    std::thread::sleep(resumes_at.saturating_duration_since(Instant::now()));
    cluster.signal(&paused, Signal::Continue);
    for thread in pending {
        if let Ok(CompletedCall { call, outcome }) = thread.join() {
            check_call(&mut findings, &call, &outcome, &others);
        }
    }
    let outcome = read_at_any(&[peer], RECOVERY_TIMEOUT);
    findings.check(
        outcome.revision() == Some(2),
        "the resumed node serves the newest configuration within the bound",
        || describe(&outcome),
    );
    let outcome = replace_at_any(&[peer], &conflict, RECOVERY_TIMEOUT);
    findings.check(
        outcome.has_status(PRECONDITION_FAILED),
        "the resumed node rejects the conflicting order once it has caught up",
        || describe(&outcome),
    );
    keys.check(&mut findings, &mut cluster);
    Ok(findings)
}

/// Sends calls of all kinds to the paused node, each from its own thread.
fn start_calls(
    peer: SocketAddr,
    first: Order,
    second: Order,
    conflict: Order,
    resumes_at: Instant,
) -> Vec<JoinHandle<CompletedCall>> {
    let calls = [
        PendingCall::Read,
        PendingCall::Read,
        PendingCall::Retry(second),
        PendingCall::Retry(first),
        PendingCall::Conflict(conflict),
        PendingCall::Conflict(Order::new(0, 1, &SERVICES, 9)),
        PendingCall::Drain,
    ];
    let timeout = resumes_at.saturating_duration_since(Instant::now()) + RECOVERY_TIMEOUT;
    calls
        .into_iter()
        .map(|call| start_call(peer, call, timeout))
        .collect()
}

fn start_call(peer: SocketAddr, call: PendingCall, timeout: Duration) -> JoinHandle<CompletedCall> {
    std::thread::spawn(move || {
        let outcome = match &call {
            PendingCall::Read => read_at(peer, timeout),
            PendingCall::Retry(order) | PendingCall::Conflict(order) => {
                replace_at(peer, order, timeout)
            }
            PendingCall::Drain => drain_at(peer, DRAINING_REPLICA, SERVICES[0], timeout),
        };
        CompletedCall { call, outcome }
    })
}

fn check_call(
    findings: &mut Findings,
    call: &PendingCall,
    outcome: &CallOutcome,
    others: &[SocketAddr],
) {
    match call {
        PendingCall::Read => {
            let is_newest =
                !outcome.is_final() || outcome.has_status(OK) && outcome.revision() == Some(2);
            findings.check(
                is_newest,
                "a read on resuming returns the newest configuration or is unavailable",
                || describe(outcome),
            );
            findings.add_note(format!("read on resuming: {}", describe(outcome)));
        }
        PendingCall::Retry(order) => findings.check(
            outcome.is_or_not_final(OK),
            "an acknowledged order is not rejected on resuming",
            || format!("revision {}: {}", order.revision, describe(outcome)),
        ),
        PendingCall::Conflict(order) => findings.check(
            outcome.is_or_not_final(PRECONDITION_FAILED),
            "another order of a committed revision is not acknowledged",
            || format!("revision {}: {}", order.revision, describe(outcome)),
        ),
        PendingCall::Drain => {
            let is_known = !outcome.has_status(OK)
                || others
                    .iter()
                    .any(|other| is_draining_at(*other, DRAINING_REPLICA));
            findings.check(
                is_known,
                "an acknowledged drain is known to another node",
                || describe(outcome),
            );
        }
    }
}
