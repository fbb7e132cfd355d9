//! Point 1: a control node is stopped for longer than every lease while the others acknowledge a new
//! configuration. When it goes on, calls wait on its sockets: it answers none of them by what it held before.

use std::net::SocketAddr;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use oorandom::Rand64;

use crate::Signal;
use crate::operator::{
    Observed, Order, drain_at, is_draining_at, read_anywhere, read_at, replace_anywhere, replace_at,
};
use crate::rounds::setup::{SERVICES, draw_one, started, words};
use crate::rounds::{BOUND, Findings, Scale};

const DRAINING: &str = "i-drains";

/// A call that waits on the socket of the stopped node.
enum Queued {
    Read,
    /// An order that was acknowledged before.
    Repeat(Order),
    /// Another order under a number that is taken.
    Rival(Order),
    Drain,
}

pub(super) fn play(
    program: &Path,
    scale: &Scale,
    random: &mut Rand64,
) -> std::io::Result<Findings> {
    let mut findings = Findings::default();
    let (mut cluster, first) = started(program, 3, 1)?;
    let (frozen, _) = draw_one(&cluster.control_names(), random);
    let others = cluster.control_without(&[&frozen]);
    let Some(peer) = cluster.control_of(&frozen) else {
        return Ok(findings);
    };

    cluster.signal(&frozen, Signal::Stop);
    let until = Instant::now() + scale.pause;
    let second = Order::new(1, 2, &SERVICES, 0);
    let seen = replace_anywhere(&others, &second, BOUND);
    findings.check(seen.is(200), "the others acknowledge an order", || {
        words(&seen)
    });
    let told = cluster.wait_for(
        "front-1",
        &["event=configuration_applied", "revision=2"],
        BOUND,
    );
    findings.check(
        told,
        "the front has the new configuration while the node is stopped",
        || frozen.clone(),
    );

    let rival = Order::new(1, 2, &SERVICES, 7);
    let queued = vec![
        Queued::Read,
        Queued::Read,
        Queued::Repeat(second),
        Queued::Repeat(first),
        Queued::Rival(rival.clone()),
        Queued::Rival(Order::new(0, 1, &SERVICES, 9)),
        Queued::Drain,
    ];
    let patience = until.saturating_duration_since(Instant::now()) + BOUND;
    let waiting: Vec<_> = queued
        .into_iter()
        .map(|call| start_call(peer, call, patience))
        .collect();
    std::thread::sleep(until.saturating_duration_since(Instant::now()));
    cluster.signal(&frozen, Signal::Continue);
    for call in waiting {
        if let Ok((call, seen)) = call.join() {
            judge(&mut findings, &call, &seen, &others);
        }
    }
    let seen = read_anywhere(&[peer], BOUND);
    findings.check(
        seen.revision() == Some(2),
        "it serves the newest again within the bound",
        || words(&seen),
    );
    let seen = replace_anywhere(&[peer], &rival, BOUND);
    findings.check(
        seen.is(412),
        "it refuses the other order once it knows",
        || words(&seen),
    );
    Ok(findings)
}

fn start_call(
    peer: SocketAddr,
    call: Queued,
    patience: Duration,
) -> JoinHandle<(Queued, Observed)> {
    std::thread::spawn(move || {
        let seen = match &call {
            Queued::Read => read_at(peer, patience),
            Queued::Repeat(order) | Queued::Rival(order) => replace_at(peer, order, patience),
            Queued::Drain => drain_at(peer, DRAINING, SERVICES[0], patience),
        };
        (call, seen)
    })
}

fn judge(findings: &mut Findings, call: &Queued, seen: &Observed, others: &[SocketAddr]) {
    match call {
        Queued::Read => {
            let newest = !seen.is_clear() || seen.is(200) && seen.revision() == Some(2);
            findings.check(newest, "a read on waking is the newest or refused", || {
                words(seen)
            });
            findings.note(format!("read on waking: {}", words(seen)));
        }
        Queued::Repeat(order) => {
            let fair = seen.is(200) || !seen.is_clear();
            findings.check(
                fair,
                "an acknowledged order is not refused on waking",
                || format!("revision {}: {}", order.revision, words(seen)),
            );
        }
        Queued::Rival(order) => {
            let fair = seen.is(412) || !seen.is_clear();
            findings.check(
                fair,
                "another order under a taken number is not acknowledged",
                || format!("revision {}: {}", order.revision, words(seen)),
            );
        }
        Queued::Drain => {
            let known = !seen.is(200) || others.iter().any(|o| is_draining_at(*o, DRAINING));
            findings.check(known, "an acknowledged drain is known to another", || {
                words(seen)
            });
        }
    }
}
