//! Nodes that shut down and are replaced, and further losses at any time during a replacement.

use crate::cluster::{Cluster, address, committed, ms};
use linenthread_control::Response;
use yare::parameterized;

fn shut_down(cluster: &mut Cluster, n: usize) {
    cluster.run_on(n, linenthread_control::ControlNode::begin_shutdown);
}

#[test]
fn a_voter_without_a_standby_exits_once_the_other_disks_hold_everything() {
    let mut cluster = Cluster::new(3, 3);
    let leader = cluster.leader().unwrap();
    let other = (0..3).find(|n| *n != leader).unwrap();
    shut_down(&mut cluster, other);
    assert!(cluster.run_until(ms(100), |c| c.may_exit(other)));
    assert_eq!(cluster.voters(leader).len(), 3);
    // A second request has no effect.
    shut_down(&mut cluster, other);
    assert!(cluster.may_exit(other));
}

#[test]
fn a_voter_does_not_exit_before_the_other_disks_hold_everything() {
    let mut cluster = Cluster::new(3, 3);
    let leader = cluster.leader().unwrap();
    let (leaving, slow) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.nodes[slow].sync_time = ms(3_000);
    let call = cluster.order(leader, 0, 1);
    assert!(cluster.run_until(ms(900), |c| c.nodes[leader].responses.contains_key(&call)));
    assert_eq!(cluster.nodes[leader].responses[&call], committed(1));
    shut_down(&mut cluster, leaving);
    assert!(
        !cluster.run_until(ms(1_500), |c| c.may_exit(leaving)),
        "only one other disk would hold the order"
    );
    assert!(cluster.run_until(ms(6_000), |c| c.may_exit(leaving)));
    // Now the leader and its disk can be lost while the other nodes crash.
    cluster.crash(leaving);
    cluster.wipe(leader);
    cluster.crash(slow);
    cluster.nodes[slow].sync_time = ms(2);
    cluster.start(slow);
    cluster.start(leaving);
    assert_eq!(
        cluster.order_until_committed(ms(8_000), 0, 1),
        Some(committed(1))
    );
}

#[test]
fn a_leader_is_replaced_by_a_standby_and_releases_its_lease_before_it_exits() {
    let mut cluster = Cluster::new(4, 3);
    let leader = cluster.leader().unwrap();
    cluster.nodes[3].sync_time = ms(300);
    cluster.start(3);
    assert!(cluster.run_until(ms(2_000), |c| c.control(3).has_quorum(c.now)));
    cluster.run(ms(10));
    shut_down(&mut cluster, leader);
    assert!(cluster.run_until(ms(2_000), |c| c.may_exit(leader)));
    let other = (0..3).find(|n| *n != leader).unwrap();
    let voters = cluster.voters(other);
    assert!(
        voters.contains(&address(3)) && !voters.contains(&address(leader)) && voters.len() == 3
    );
    assert_ne!(cluster.leader(), Some(leader));
    // A node that is shutting down is not a standby.
    cluster.run(ms(3_000));
    assert!(cluster.voters(other).len() == 3 && cluster.leader().is_some());
}

#[test]
fn another_node_leads_soon_after_a_leader_without_a_standby_shuts_down() {
    let mut cluster = Cluster::new(3, 3);
    let leader = cluster.leader().unwrap();
    shut_down(&mut cluster, leader);
    assert!(cluster.run_until(ms(100), |c| c.may_exit(leader)));
    // Much earlier than its lease of 2 s would have expired.
    assert!(cluster.run_until(ms(300), |c| c.leader().is_some_and(|n| n != leader)));
    assert_eq!(
        cluster.order_until_committed(ms(1_000), 0, 1),
        Some(committed(1))
    );
}

#[test]
fn when_two_voters_shut_down_the_second_waits_until_the_first_has_restarted() {
    let mut cluster = Cluster::new(3, 3);
    let leader = cluster.leader().unwrap();
    let leaving: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    leaving.iter().for_each(|n| shut_down(&mut cluster, *n));
    assert!(cluster.run_until(ms(500), |c| leaving.iter().any(|n| c.may_exit(*n))));
    let first = *leaving.iter().find(|n| cluster.may_exit(**n)).unwrap();
    let second = *leaving.iter().find(|n| **n != first).unwrap();
    cluster.crash(first);
    assert!(!cluster.run_until(ms(3_000), |c| c.may_exit(second)));
    cluster.start(first);
    assert!(cluster.run_until(ms(4_000), |c| c.may_exit(second)));
}

#[test]
fn all_nodes_may_exit_if_all_shut_down() {
    let mut cluster = Cluster::new(3, 3);
    (0..3).for_each(|n| shut_down(&mut cluster, n));
    let started_at = cluster.now;
    while cluster.nodes.iter().any(|n| n.control.is_some()) && cluster.now < started_at + ms(6_000)
    {
        cluster.run(ms(5));
        for n in 0..3 {
            if cluster.may_exit(n) {
                cluster.crash(n);
            }
        }
    }
    assert!(cluster.nodes.iter().all(|n| n.control.is_none()));
}

#[test]
fn a_node_that_shuts_down_redirects_calls() {
    let mut cluster = Cluster::new(3, 3);
    shut_down(&mut cluster, 0);
    let call = cluster.order(0, 0, 1);
    let Response::Redirect(to) = cluster.nodes[0].responses[&call].clone() else {
        panic!("the call was not redirected")
    };
    assert!([address(1), address(2)].contains(&to));
}

#[test]
fn a_node_becomes_a_voter_only_once_its_disk_holds_the_newest_value() {
    let mut cluster = Cluster::new(4, 3);
    assert_eq!(
        cluster.order_until_committed(ms(1_000), 0, 1),
        Some(committed(1))
    );
    cluster.nodes[3].sync_time = ms(4_000);
    cluster.start(3);
    cluster.run(ms(1_500));
    let newest = |c: &Cluster, n: usize| c.control(n).register().decided().map(|v| v.number);
    assert_eq!(
        newest(&cluster, 3),
        newest(&cluster, 0),
        "it has the newest value in memory"
    );
    let leader = cluster.leader().unwrap();
    let leaving = (leader + 1) % 3;
    shut_down(&mut cluster, leaving);
    let joined = |c: &Cluster| c.voters(leader).contains(&address(3));
    assert!(
        !cluster.run_until(ms(1_500), joined),
        "its disk does not hold the newest value yet"
    );
    assert!(cluster.run_until(ms(12_000), joined));
    assert_eq!(cluster.voters(leader).len(), 3);
}

#[test]
fn a_surplus_node_stays_a_standby_until_a_voter_is_lost() {
    let mut cluster = Cluster::new(4, 3);
    let leader = cluster.leader().unwrap();
    let lost = (leader + 1) % 3;
    cluster.start(3);
    cluster.run(ms(3_000));
    assert!(cluster.voters(leader).len() == 3 && !cluster.voters(leader).contains(&address(3)));
    cluster.crash(lost);
    assert!(cluster.run_until(ms(4_000), |c| c.voters(leader).contains(&address(3))));
    assert!(cluster.voters(leader).len() == 3 && !cluster.voters(leader).contains(&address(lost)));
}

/// Guards against the loss of a committed order: a voter shuts down permanently while its successor joins. At some time
/// during or after that, as many other nodes as the voters tolerate are lost with their disks, and all remaining nodes
/// crash and restart. The committed order must still be there, and new orders must be committed.
#[parameterized(fast = { 2, 2 }, slow_voter = { 300, 2 }, slow_successor = { 2, 300 }, all_slow = { 100, 100 })]
fn a_second_loss_during_a_planned_replacement_loses_no_committed_order(
    voter_sync: u64,
    successor_sync: u64,
) {
    for loss_after_ms in (0..3_000).step_by(60) {
        for lost in [&[0][..], &[1]] {
            run_planned_replacement(ReplacementPlan {
                voters: 3,
                voter_sync,
                successor_sync,
                loss_after_ms,
                lost,
            });
        }
    }
}

#[parameterized(fast = { 2, 2 }, slow_voter = { 300, 2 }, slow_successor = { 2, 300 })]
fn two_more_losses_during_a_planned_replacement_of_five_voters_lose_no_committed_order(
    voter_sync: u64,
    successor_sync: u64,
) {
    for loss_after_ms in (0..3_000).step_by(200) {
        for lost in [&[0, 1][..], &[0, 3], &[1, 2]] {
            run_planned_replacement(ReplacementPlan {
                voters: 5,
                voter_sync,
                successor_sync,
                loss_after_ms,
                lost,
            });
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ReplacementPlan<'a> {
    voters: usize,
    voter_sync: u64,
    successor_sync: u64,
    loss_after_ms: u64,
    lost: &'a [usize],
}

fn run_planned_replacement(plan: ReplacementPlan) {
    let (leaving, successor) = (plan.voters - 1, plan.voters);
    let mut cluster = Cluster::new(plan.voters + 1, plan.voters);
    cluster.nodes[1].sync_time = ms(plan.voter_sync);
    cluster.nodes[successor].sync_time = ms(plan.successor_sync);
    cluster.start(successor);
    assert_eq!(
        cluster.order_until_committed(ms(3_000), 0, 1),
        Some(committed(1)),
        "{plan:?}"
    );
    // The successor is in contact with the others; its disk need not hold anything yet.
    assert!(
        cluster.run_until(ms(2_000), |c| c.control(successor).has_quorum(c.now)),
        "{plan:?}"
    );
    cluster.run(ms(10));
    shut_down(&mut cluster, leaving);
    let end = cluster.now + ms(plan.loss_after_ms);
    while cluster.now < end {
        cluster.run(ms(5));
        if cluster.may_exit(leaving) {
            cluster.wipe(leaving);
        }
    }
    lose_and_restart(&mut cluster, plan.lost);
    assert_eq!(
        cluster.order_until_committed(ms(10_000), 1, 2),
        Some(committed(2)),
        "{plan:?}"
    );
}

/// Erases the disks of the `lost` nodes, and crashes and restarts all others that are running.
fn lose_and_restart(cluster: &mut Cluster, lost: &[usize]) {
    lost.iter().for_each(|n| cluster.wipe(*n));
    let rest: Vec<usize> = (0..cluster.nodes.len())
        .filter(|n| !lost.contains(n) && cluster.nodes[*n].control.is_some())
        .collect();
    rest.iter().for_each(|n| cluster.crash(*n));
    for n in rest {
        cluster.nodes[n].sync_time = ms(2);
        cluster.start(n);
    }
}

/// Guards against the loss of a committed order: a voter is lost with its disk and a successor starts. Once the
/// successor has had time to become a voter, another voter is lost with its disk and all remaining nodes crash.
#[parameterized(at_its_address = { 2 }, elsewhere = { 3 })]
fn a_second_loss_after_an_unplanned_replacement_loses_no_committed_order(successor: usize) {
    for lost in 0..2 {
        let mut cluster = Cluster::new(4, 3);
        assert_eq!(
            cluster.order_until_committed(ms(3_000), 0, 1),
            Some(committed(1))
        );
        cluster.wipe(2);
        cluster.run(ms(100));
        cluster.start(successor);
        // The time-out of a voter (1.5 s), a tick, and a round of the register with its syncs.
        cluster.run(ms(2_500));
        lose_and_restart(&mut cluster, &[lost]);
        let response = cluster.order_until_committed(ms(10_000), 1, 2);
        assert_eq!(response, Some(committed(2)), "node {lost} lost");
    }
}
