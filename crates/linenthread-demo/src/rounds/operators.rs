//! Point 2: two operators under one number, and an order that is sent again after many later ones.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Barrier;
use std::time::Duration;

use oorandom::Rand64;

use crate::Cluster;
use crate::operator::{Observed, Order, read_anywhere, replace_anywhere, replace_at};
use crate::rounds::setup::{SERVICES, draw_time, started, words};
use crate::rounds::{BOUND, Findings, Scale};

/// The second operator sends at most so much later than the first.
const APART: Duration = Duration::from_millis(20);
const PATIENCE: Duration = Duration::from_secs(2);

/// Two orders under one number: the one that was taken, and the other.
struct Pair {
    taken: Order,
    other: Order,
}

/// Two operators send different documents under one number to different nodes at once.
pub(super) fn play_rivals(
    program: &Path,
    scale: &Scale,
    random: &mut Rand64,
) -> std::io::Result<Findings> {
    let mut findings = Findings::default();
    let (mut cluster, first) = started(program, 3, 1)?;
    let mut pairs: Vec<Pair> = Vec::new();
    for number in 0..scale.pairs {
        let base = pairs.last().map_or(first.revision, |p| p.taken.revision);
        let orders =
            [1, 2].map(|variant| Order::new(base, base + 1, &SERVICES, 2 * number + variant));
        let seen = send_both(&cluster.control(), &orders, random);
        let taken = seen.iter().filter(|s| s.is(200)).count();
        let refused = seen.iter().filter(|s| s.is(412)).count();
        findings.check(
            (taken, refused) == (1, 1),
            "one of two is taken, the other refused",
            || format!("{}; {}", words(&seen[0]), words(&seen[1])),
        );
        if taken != 1 {
            return Ok(findings);
        }
        let [left, right] = orders;
        let (taken, other) = if seen[0].is(200) {
            (left, right)
        } else {
            (right, left)
        };
        pairs.push(Pair { taken, other });
    }
    check_pairs(&mut findings, &cluster, &pairs);
    restart_all(&mut cluster)?;
    check_pairs(&mut findings, &cluster, &pairs);
    Ok(findings)
}

/// Each operator begins at a node of its own and goes on until the answer is clear.
fn send_both(addresses: &[SocketAddr], orders: &[Order; 2], random: &mut Rand64) -> Vec<Observed> {
    let together = Barrier::new(2);
    let start = random.rand_range(0..addresses.len() as u64) as usize;
    let delays = [draw_time(APART, random), draw_time(APART, random)];
    std::thread::scope(|scope| {
        let send = |index: usize| {
            let mut own = addresses.to_vec();
            own.rotate_left((start + index) % addresses.len());
            let (together, order, delay) = (&together, &orders[index], delays[index]);
            scope.spawn(move || {
                together.wait();
                std::thread::sleep(delay);
                replace_anywhere(&own, order, BOUND)
            })
        };
        let sent = [send(0), send(1)];
        sent.into_iter()
            .map(|s| s.join().unwrap_or_default())
            .collect()
    })
}

/// Whichever node is asked, it knows which of two was taken.
fn check_pairs(findings: &mut Findings, cluster: &Cluster, pairs: &[Pair]) {
    for peer in cluster.control() {
        for (index, pair) in pairs.iter().enumerate() {
            let newest = index + 1 == pairs.len();
            let again = replace_at(peer, &pair.taken, PATIENCE);
            let fair = again.is(200) || !again.is_clear();
            findings.check(fair, "an order that was taken is never refused", || {
                words(&again)
            });
            let other = replace_at(peer, &pair.other, PATIENCE);
            let fair = other.is(412) || !other.is_clear();
            findings.check(fair, "the other order is never taken", || words(&other));
            if newest {
                let again = replace_anywhere(&[peer], &pair.taken, BOUND);
                findings.check(
                    again.is(200),
                    "the newest order is acknowledged again",
                    || words(&again),
                );
                let other = replace_anywhere(&[peer], &pair.other, BOUND);
                findings.check(other.is(412), "its rival is refused at every node", || {
                    words(&other)
                });
            }
        }
    }
}

/// Kills all control nodes at once and starts them again; they answer reads after it.
fn restart_all(cluster: &mut Cluster) -> std::io::Result<()> {
    let names = cluster.control_names();
    for name in &names {
        cluster.kill(name);
    }
    for name in &names {
        cluster.run(name)?;
    }
    for name in &names {
        cluster.wait_for(name, &["event=control_listening"], BOUND);
        cluster.wait_members(name, BOUND, |m| m["whole"] == true);
    }
    Ok(())
}

/// An order is sent again after many later ones, to every node, before and after a restart of all.
pub(super) fn play_late_repeat(
    program: &Path,
    scale: &Scale,
    random: &mut Rand64,
) -> std::io::Result<Findings> {
    let mut findings = Findings::default();
    let (mut cluster, first) = started(program, 3, 1)?;
    let mut orders = vec![first];
    for _ in 0..scale.later_orders {
        let base = orders.last().map_or(0, |o| o.revision);
        let order = Order::new(base, base + 1, &SERVICES, 0);
        let seen = replace_anywhere(&cluster.control(), &order, BOUND);
        findings.check(
            seen.is(200),
            "an order is acknowledged within the bound",
            || words(&seen),
        );
        if !seen.is(200) {
            return Ok(findings);
        }
        orders.push(order);
    }
    let drawn = random.rand_range(1..orders.len() as u64) as usize;
    let repeats = [
        &orders[0],
        &orders[1],
        &orders[drawn],
        &orders[orders.len() - 1],
    ];
    check_repeats(&mut findings, &cluster, &repeats);
    restart_all(&mut cluster)?;
    check_repeats(&mut findings, &cluster, &repeats);
    let last = &orders[orders.len() - 1];
    let read = read_anywhere(&cluster.control(), BOUND);
    findings.check(
        read.body == last.document,
        "the newest configuration reads back",
        || words(&read),
    );
    Ok(findings)
}

fn check_repeats(findings: &mut Findings, cluster: &Cluster, orders: &[&Order]) {
    for peer in cluster.control() {
        for order in orders {
            let seen = replace_at(peer, order, PATIENCE);
            let fair = seen.is(200) || !seen.is_clear();
            findings.check(fair, "an order that was taken is never refused", || {
                format!("revision {} at {peer}: {}", order.revision, words(&seen))
            });
        }
    }
}
