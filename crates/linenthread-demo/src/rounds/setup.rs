//! What all scenarios begin with and end with.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use oorandom::Rand64;

use crate::operator::{Observed, Order, read_anywhere, replace_anywhere};
use crate::rounds::{BOUND, Findings};
use crate::{Cluster, Written};

pub(super) const SERVICES: [&str; 2] = ["s1", "s2"];
/// Processes are up and in touch within this time.
const START: Duration = Duration::from_secs(20);

/// A cluster with the first order in force at every front, and that order.
pub(super) fn started(
    program: &Path,
    controls: usize,
    fronts: usize,
) -> std::io::Result<(Cluster, Order)> {
    let mut cluster = Cluster::new(program)?;
    cluster.start(controls, fronts)?;
    for service in SERVICES {
        cluster.serve(service, 2)?;
    }
    let first = configured(&mut cluster, 2 * SERVICES.len())?;
    Ok((cluster, first))
}

/// Brings the first order into force and waits until every front goes by it and knows so many replicas.
pub(super) fn configured(cluster: &mut Cluster, replicas: usize) -> std::io::Result<Order> {
    let late = |what: String| std::io::Error::new(std::io::ErrorKind::TimedOut, what);
    for name in cluster.control_names() {
        let open = cluster.wait_for(&name, &["event=control_listening"], START)
            && cluster.wait_members(&name, START, |m| m["whole"] == true);
        if !open {
            return Err(late(format!("{name} is not in touch")));
        }
    }
    let first = Order::new(0, 1, &SERVICES, 0);
    if !replace_anywhere(&cluster.control(), &first, START).is(200) {
        return Err(late("the first order is not acknowledged".into()));
    }
    for front in cluster.front_names() {
        let ready = cluster.wait_for(
            &front,
            &["event=configuration_applied", "revision=1"],
            START,
        ) && cluster.wait_for(
            &front,
            &["event=replicas_updated", &format!("available={replicas}")],
            START,
        );
        if !ready {
            return Err(late(format!("{front} is not ready")));
        }
    }
    Ok(first)
}

/// One of these names, and the others.
pub(super) fn draw_one(names: &[String], random: &mut Rand64) -> (String, Vec<String>) {
    let index = random.rand_range(0..names.len() as u64) as usize;
    let mut others = names.to_vec();
    let one = others.remove(index);
    (one, others)
}

/// A time up to this one.
pub(super) fn draw_time(most: Duration, random: &mut Rand64) -> Duration {
    most.mul_f64(random.rand_float())
}

/// What a caller saw, in words.
pub(super) fn words(seen: &Observed) -> String {
    let body = String::from_utf8_lossy(&seen.body);
    let body: String = body.chars().take(60).collect();
    format!(
        "{:?} after {} ms {body}",
        seen.status,
        seen.after.as_millis()
    )
}

/// The operator who is alone was refused nothing, and everything acknowledged reads back at these addresses.
pub(super) fn check_written(findings: &mut Findings, written: &Written, addresses: &[SocketAddr]) {
    findings.check(
        written.refused.is_none(),
        "an operator alone is not refused",
        || format!("{:?}", written.refused),
    );
    findings.check(
        written.longest <= BOUND,
        "orders go on within the bound",
        || {
            format!(
                "{} ms without an acknowledgement",
                written.longest.as_millis()
            )
        },
    );
    let read = read_anywhere(addresses, BOUND);
    let same = |order: &Order| read.is(200) && read.body == order.document;
    let reads_back = same(&written.last) || written.pending.as_ref().is_some_and(same);
    findings.check(reads_back, "everything acknowledged reads back", || {
        format!("{} after revision {}", words(&read), written.last.revision)
    });
    findings.note(format!(
        "{} orders acknowledged, {} ms between two at most",
        written.acknowledged,
        written.longest.as_millis()
    ));
}

/// A new order on top of all is acknowledged within the bound at one of these addresses.
pub(super) fn check_next_order(
    findings: &mut Findings,
    written: &Written,
    addresses: &[SocketAddr],
) -> Order {
    let mut last = written.last.clone();
    if let Some(pending) = &written.pending {
        let seen = replace_anywhere(addresses, pending, BOUND);
        findings.check(
            seen.is(200),
            "an order without a clear answer is taken when sent again",
            || words(&seen),
        );
        last = pending.clone();
    }
    let next = Order::new(last.revision, last.revision + 1, &SERVICES, 0);
    let seen = replace_anywhere(addresses, &next, BOUND);
    findings.check(
        seen.is(200),
        "a new order is acknowledged within the bound",
        || words(&seen),
    );
    findings.note(format!("new order: {}", words(&seen)));
    next
}
