//! Orders under load: replacement of a voter while operators send orders back to back, and orders with slow disks.

use std::time::Duration;

use linenthread_control::{CallId, Response};
use linenthread_time::Instant;
use yare::parameterized;

use crate::cluster::{Cluster, address, committed, ms};

/// Time from the start of a successor within which it must become a voter.
const SUCCESSOR_JOINS_WITHIN: Duration = ms(4_000);

/// Sends orders to both nodes until `until`, each pair as soon as the previous pair is answered or after 1 s. Returns the
/// last committed revision.
fn order_continuously(cluster: &mut Cluster, nodes: [usize; 2], until: Instant) -> u64 {
    let mut newest = 0;
    while cluster.now < until {
        let calls: Vec<(usize, CallId)> = nodes
            .into_iter()
            .zip(1..)
            .map(|(n, increment)| (n, cluster.order(n, newest, newest + increment)))
            .collect();
        let answered = |c: &Cluster| {
            calls
                .iter()
                .all(|(n, call)| c.nodes[*n].responses.contains_key(call))
        };
        cluster.run_until(ms(1_000), answered);
        for (n, call) in calls {
            if let Some(Response::Committed(committed)) = cluster.nodes[n].responses.get(&call) {
                newest = newest.max(committed.get());
            }
        }
    }
    newest
}

#[parameterized(
    disks_of_2_ms = { 2 },
    disks_of_20_ms = { 20 },
    disks_of_60_ms = { 60 },
    disks_of_110_ms = { 110 },
)]
fn back_to_back_orders_do_not_delay_the_replacement_of_a_voter(sync_ms: u64) {
    let mut cluster = Cluster::new(4, 3);
    let leader = cluster.leader().expect("a leader");
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    cluster
        .nodes
        .iter_mut()
        .for_each(|n| n.sync_time = ms(sync_ms));
    cluster.wipe(others[1]);
    cluster.start(3);
    let until = cluster.now + SUCCESSOR_JOINS_WITHIN;
    let committed = order_continuously(&mut cluster, [leader, others[0]], until);
    assert!(
        committed > 3,
        "orders are committed during the replacement: {committed}"
    );
    let voters = cluster.voters(leader);
    assert!(
        voters.contains(&address(3)) && voters.len() == 3,
        "{voters:?}"
    );
}

/// Time within which an operator's order must be acknowledged after any single loss.
const RECOVERS_WITHIN: Duration = ms(6_000);

/// With one of three voters down, an order needs the disks of both others: two syncs one after another within the 900 ms
/// of a call. Orders must be acknowledged even if each sync is slow.
#[parameterized(
    disks_of_100_ms = { 100 },
    disks_of_200_ms = { 200 },
    disks_of_250_ms = { 250 },
    disks_of_300_ms = { 300 },
    disks_of_400_ms = { 400 },
)]
fn orders_are_acknowledged_despite_slow_syncs(sync_ms: u64) {
    let mut cluster = Cluster::new(3, 3);
    cluster.crash(0);
    cluster
        .nodes
        .iter_mut()
        .for_each(|n| n.sync_time = ms(sync_ms));
    for revision in 1..=5 {
        let started_at = cluster.now;
        let response = cluster.order_until_committed(RECOVERS_WITHIN, revision - 1, revision);
        let elapsed = cluster.now.since(started_at);
        assert_eq!(response, Some(committed(revision)), "after {elapsed:?}");
    }
}
