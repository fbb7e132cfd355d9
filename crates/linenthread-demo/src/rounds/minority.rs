//! Point 1: two of three control nodes are stopped. The third can know nothing for sure: it confirms nothing,
//! refuses nothing as settled, and says so soon; traffic goes on by the last table.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use oorandom::Rand64;

use crate::cluster::ask_at;
use crate::operator::{
    Observed, Order, drain_at, members_at, read_at, replace_anywhere, replace_at,
};
use crate::rounds::setup::{SERVICES, draw_one, started, words};
use crate::rounds::{BOUND, Findings, Scale};
use crate::{Cluster, Signal};

/// A call without the others is refused, or left without an answer, within this time.
const REFUSAL: Duration = Duration::from_secs(2);
/// Traffic has no longer gap than this.
const GAP: Duration = Duration::from_secs(1);
const BETWEEN: Duration = Duration::from_millis(20);

pub(super) fn play(
    program: &Path,
    scale: &Scale,
    random: &mut Rand64,
) -> std::io::Result<Findings> {
    let mut findings = Findings::default();
    let (mut cluster, first) = started(program, 3, 1)?;
    let (alone, others) = draw_one(&cluster.control_names(), random);
    let (Some(peer), Some(ingress)) = (cluster.control_of(&alone), cluster.ingress("front-1"))
    else {
        return Ok(findings);
    };
    let second = Order::new(1, 2, &SERVICES, 0);
    let done = AtomicBool::new(false);
    let traffic = std::thread::scope(|scope| {
        let traffic = scope.spawn(|| send_traffic(ingress, &done));
        for other in &others {
            cluster.signal(other, Signal::Stop);
        }
        let until = Instant::now() + scale.pause;
        while Instant::now() < until {
            check_refusals(&mut findings, peer, &first, &second);
            std::thread::sleep(BETWEEN);
        }
        let alone_known = cluster.wait_members(&alone, REFUSAL, |m| m["whole"] == false);
        findings.check(
            alone_known,
            "it knows that it is without the others",
            || alone.clone(),
        );
        for other in &others {
            cluster.signal(other, Signal::Continue);
        }
        let seen = replace_anywhere(&cluster.control(), &second, BOUND);
        findings.check(
            seen.is(200),
            "the order is taken within the bound when the others are back",
            || words(&seen),
        );
        if !seen.is(200) {
            note_state(&mut findings, &cluster, &second);
        }
        let told = cluster.wait_for(
            "front-1",
            &["event=configuration_applied", "revision=2"],
            BOUND,
        );
        findings.check(told, "the front has it within the bound", || {
            "no news of revision 2".into()
        });
        done.store(true, Ordering::Relaxed);
        traffic.join().unwrap_or_default()
    });
    findings.check(traffic.longest <= GAP, "traffic goes on", || {
        format!("{traffic:?}")
    });
    findings.check(
        traffic.failed * 20 <= traffic.asked,
        "19 of 20 lookups are answered",
        || format!("{traffic:?}"),
    );
    findings.note(format!("{traffic:?}"));
    Ok(findings)
}

/// What each node knows and says after an order had no clear answer.
fn note_state(findings: &mut Findings, cluster: &Cluster, order: &Order) {
    for peer in cluster.control() {
        let seen = replace_at(peer, order, BOUND);
        findings.note(format!(
            "{peer}: {}; members {:?}",
            words(&seen),
            members_at(peer)
        ));
    }
}

/// Each kind of call, all at once.
fn check_refusals(findings: &mut Findings, peer: SocketAddr, first: &Order, second: &Order) {
    let rival = Order::new(0, 1, &SERVICES, 3);
    let patience = REFUSAL + Duration::from_millis(500);
    let calls: [(&str, &(dyn Fn() -> Observed + Sync)); 5] = [
        ("read", &|| read_at(peer, patience)),
        ("order", &|| replace_at(peer, second, patience)),
        ("repeat", &|| replace_at(peer, first, patience)),
        ("rival", &|| replace_at(peer, &rival, patience)),
        ("drain", &|| {
            drain_at(peer, "i-drains", SERVICES[0], patience)
        }),
    ];
    let seen = std::thread::scope(|scope| {
        let running: Vec<_> = calls
            .iter()
            .map(|(name, call)| (name, scope.spawn(*call)))
            .collect();
        running
            .into_iter()
            .filter_map(|(name, r)| Some((*name, r.join().ok()?)))
            .collect::<Vec<_>>()
    });
    for (name, seen) in seen {
        findings.check(
            !seen.is_clear(),
            "nothing is settled without the others",
            || format!("{name}: {}", words(&seen)),
        );
        let soon = seen.status.is_none() || seen.after <= REFUSAL;
        findings.check(soon, "a refusal comes within its bound", || {
            format!("{name}: {}", words(&seen))
        });
    }
}

/// What a client saw of its lookups.
#[derive(Debug, Default)]
struct Traffic {
    asked: usize,
    failed: usize,
    /// The longest time between two answers.
    longest: Duration,
}

fn send_traffic(ingress: SocketAddr, done: &AtomicBool) -> Traffic {
    let mut traffic = Traffic::default();
    let mut answered_at = Instant::now();
    while !done.load(Ordering::Relaxed) {
        let attempt = format!("t-{}", traffic.asked);
        let reply = ask_at(
            ingress,
            "GET",
            "/all/x",
            &attempt,
            Duration::from_millis(900),
        );
        traffic.asked += 1;
        let gap = answered_at.elapsed();
        if reply.is_ok_and(|r| r.status == 200) {
            answered_at = Instant::now();
        } else {
            traffic.failed += 1;
        }
        traffic.longest = traffic.longest.max(gap);
        std::thread::sleep(BETWEEN);
    }
    traffic
}
