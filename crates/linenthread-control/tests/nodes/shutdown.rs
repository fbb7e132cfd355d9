//! Nodes that shut down and join, and a second loss at each moment of it.

use crate::cluster::{Cluster, address, committed, ms};
use linenthread_control::Response;
use yare::parameterized;

fn shut_down(cluster: &mut Cluster, n: usize) {
    cluster.at(n, linenthread_control::ControlNode::begin_shutdown);
}

#[test]
fn without_a_standby_a_voter_exits_as_soon_as_the_others_disks_are_complete() {
    let mut cluster = Cluster::new(3, 3);
    let leader = cluster.leader().unwrap();
    let other = (0..3).find(|n| *n != leader).unwrap();
    shut_down(&mut cluster, other);
    assert!(cluster.run_until(ms(100), |c| c.may_exit(other)));
    assert_eq!(cluster.voters(leader).len(), 3);
    // A second request changes nothing.
    shut_down(&mut cluster, other);
    assert!(cluster.may_exit(other));
}

#[test]
fn a_voter_stays_until_the_others_disks_are_complete() {
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
        "only one disk would hold it"
    );
    assert!(cluster.run_until(ms(6_000), |c| c.may_exit(leaving)));
    // Now the leader may be lost with its disk, while the others lose power.
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
    // It is no standby while it shuts down.
    cluster.run(ms(3_000));
    assert!(cluster.voters(other).len() == 3 && cluster.leader().is_some());
}

#[test]
fn a_leader_without_a_standby_hands_over_soon() {
    let mut cluster = Cluster::new(3, 3);
    let leader = cluster.leader().unwrap();
    shut_down(&mut cluster, leader);
    assert!(cluster.run_until(ms(100), |c| c.may_exit(leader)));
    // Much sooner than its lease of 2 s would have ended.
    assert!(cluster.run_until(ms(300), |c| c.leader().is_some_and(|n| n != leader)));
    assert_eq!(
        cluster.order_until_committed(ms(1_000), 0, 1),
        Some(committed(1))
    );
}

#[test]
fn of_two_that_shut_down_at_once_the_second_waits_for_the_first_to_return() {
    let mut cluster = Cluster::new(3, 3);
    let leader = cluster.leader().unwrap();
    let leavings: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    leavings.iter().for_each(|n| shut_down(&mut cluster, *n));
    assert!(cluster.run_until(ms(500), |c| leavings.iter().any(|n| c.may_exit(*n))));
    let first = *leavings.iter().find(|n| cluster.may_exit(**n)).unwrap();
    let second = *leavings.iter().find(|n| **n != first).unwrap();
    cluster.crash(first);
    assert!(!cluster.run_until(ms(3_000), |c| c.may_exit(second)));
    cluster.start(first);
    assert!(cluster.run_until(ms(4_000), |c| c.may_exit(second)));
}

#[test]
fn if_all_shut_down_all_may_exit() {
    let mut cluster = Cluster::new(3, 3);
    (0..3).for_each(|n| shut_down(&mut cluster, n));
    let begins = cluster.now;
    while cluster.nodes.iter().any(|n| n.control.is_some()) && cluster.now < begins + ms(6_000) {
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
fn a_call_at_a_node_that_shuts_down_is_redirected() {
    let mut cluster = Cluster::new(3, 3);
    shut_down(&mut cluster, 0);
    let call = cluster.order(0, 0, 1);
    let Response::Redirect(to) = cluster.nodes[0].responses[&call].clone() else {
        panic!("no redirect")
    };
    assert!([address(1), address(2)].contains(&to));
}

#[test]
fn a_node_votes_only_once_its_disk_holds_the_newest_value() {
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
        "it holds it in memory"
    );
    let leader = cluster.leader().unwrap();
    let leaving = (leader + 1) % 3;
    shut_down(&mut cluster, leaving);
    let joined = |c: &Cluster| c.voters(leader).contains(&address(3));
    assert!(
        !cluster.run_until(ms(1_500), joined),
        "its disk does not hold it yet"
    );
    assert!(cluster.run_until(ms(12_000), joined));
    assert_eq!(cluster.voters(leader).len(), 3);
}

#[test]
fn one_more_than_enough_stands_by_until_a_voter_is_lost() {
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

/// A voter shuts down for good while its successor joins; at some moment of it, or after it, as many others as the
/// voters tolerate are lost with their disks and all others lose power. What was acknowledged is there, and changes are
/// acknowledged again.
#[parameterized(fast = { 2, 2 }, slow_voter = { 300, 2 }, slow_joiner = { 2, 300 }, all_slow = { 100, 100 })]
fn a_second_loss_at_any_moment_of_a_planned_replacement_loses_nothing(
    voter_sync: u64,
    joiner_sync: u64,
) {
    for moment in (0..3_000).step_by(60) {
        for lost in [&[0][..], &[1]] {
            planned_replacement(Plan {
                voters: 3,
                voter_sync,
                joiner_sync,
                moment,
                lost,
            });
        }
    }
}

#[parameterized(fast = { 2, 2 }, slow_voter = { 300, 2 }, slow_joiner = { 2, 300 })]
fn of_five_two_more_losses_at_any_moment_lose_nothing(voter_sync: u64, joiner_sync: u64) {
    for moment in (0..3_000).step_by(200) {
        for lost in [&[0, 1][..], &[0, 3], &[1, 2]] {
            planned_replacement(Plan {
                voters: 5,
                voter_sync,
                joiner_sync,
                moment,
                lost,
            });
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Plan<'a> {
    voters: usize,
    voter_sync: u64,
    joiner_sync: u64,
    moment: u64,
    lost: &'a [usize],
}

fn planned_replacement(plan: Plan) {
    let (leaving, joiner) = (plan.voters - 1, plan.voters);
    let mut cluster = Cluster::new(plan.voters + 1, plan.voters);
    cluster.nodes[1].sync_time = ms(plan.voter_sync);
    cluster.nodes[joiner].sync_time = ms(plan.joiner_sync);
    cluster.start(joiner);
    assert_eq!(
        cluster.order_until_committed(ms(3_000), 0, 1),
        Some(committed(1)),
        "{plan:?}"
    );
    // The successor has found the others; that it holds nothing yet does not matter.
    assert!(
        cluster.run_until(ms(2_000), |c| c.control(joiner).has_quorum(c.now)),
        "{plan:?}"
    );
    cluster.run(ms(10));
    shut_down(&mut cluster, leaving);
    let end = cluster.now + ms(plan.moment);
    while cluster.now < end {
        cluster.run(ms(5));
        if cluster.may_exit(leaving) {
            cluster.wipe(leaving);
        }
    }
    lose(&mut cluster, plan.lost);
    assert_eq!(
        cluster.order_until_committed(ms(10_000), 1, 2),
        Some(committed(2)),
        "{plan:?}"
    );
}

/// Some are lost with their disks, all others lose power and start again.
fn lose(cluster: &mut Cluster, lost: &[usize]) {
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

/// A voter is lost with its disk and a successor starts; once that has had its time, another may be lost.
#[parameterized(at_its_address = { 2 }, elsewhere = { 3 })]
fn a_second_loss_after_an_unplanned_replacement_loses_nothing(successor: usize) {
    for lost in 0..2 {
        let mut cluster = Cluster::new(4, 3);
        assert_eq!(
            cluster.order_until_committed(ms(3_000), 0, 1),
            Some(committed(1))
        );
        cluster.wipe(2);
        cluster.run(ms(100));
        cluster.start(successor);
        // Out of contact for 1.5 s, a tick, and a value with its syncs.
        cluster.run(ms(2_500));
        lose(&mut cluster, &[lost]);
        let answer = cluster.order_until_committed(ms(10_000), 1, 2);
        assert_eq!(answer, Some(committed(2)), "node {lost} lost");
    }
}
