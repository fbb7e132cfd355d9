//! Tests of resubmitted orders. An accepted order is acknowledged or its outcome is unknown, but it is never
//! rejected.

use std::time::Duration;

use linenthread_consensus::{
    JobId, MAX_LOGGED_ORDERS, MAX_ORDERS_PER_MESSAGE, NodeId, OrderLog, Outcome, UnknownReason,
    ValueNumber, document_digest,
};
use linenthread_messages::{OrderIdentity, PeerMessage};
use yare::parameterized;

use crate::cluster::{Cluster, committed, conflict, order};

/// Number of orders on a busy day.
const ORDERS_ON_A_BUSY_DAY: u64 = 2_000;

fn identity(revision: u64) -> OrderIdentity {
    OrderIdentity {
        revision,
        base: revision - 1,
        digest: document_digest(format!("{revision}").as_bytes()),
    }
}

#[test]
fn all_nodes_agree_on_one_of_two_orders_with_the_same_revision() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.propose(1, order(0, 1, "first")), committed(1));
    for node in 1..=3 {
        assert_eq!(cluster.propose(node, order(0, 1, "second")), conflict(1));
        assert_eq!(cluster.propose(node, order(0, 1, "first")), committed(1));
    }
    cluster.commit_orders(2, 2..=100);
    cluster.restart_all();
    cluster.replace_disk(3);
    for node in 1..=3 {
        assert_eq!(cluster.propose(node, order(0, 1, "second")), conflict(100));
        assert_eq!(cluster.propose(node, order(0, 1, "first")), committed(1));
    }
}

#[parameterized(
    same_document_on_another_base = { order(3, 7, "7") },
    another_document = { order(6, 7, "other") },
    a_skipped_revision = { order(6, 8, "8") },
)]
fn an_order_that_was_not_accepted_still_conflicts_after_many_others(
    change: linenthread_consensus::Change,
) {
    let mut cluster = Cluster::new(3);
    cluster.commit_orders(1, 1..=7);
    assert_eq!(cluster.propose(1, order(7, 9, "9")), committed(9));
    cluster.commit_orders(1, 10..=40);
    for node in 1..=3 {
        assert_eq!(cluster.propose(node, change.clone()), conflict(40));
    }
}

#[test]
fn an_order_is_known_after_two_thousand_later_ones_restarts_and_a_replaced_disk() {
    let mut cluster = Cluster::new(3);
    cluster.commit_orders(1, 1..=ORDERS_ON_A_BUSY_DAY + 1);
    for node in 1..=3 {
        assert_eq!(cluster.propose(node, order(0, 1, "1")), committed(1));
    }
    cluster.restart_all();
    for node in 1..=3 {
        assert_eq!(cluster.propose(node, order(0, 1, "1")), committed(1));
    }
    cluster.replace_disk(2);
    assert_eq!(cluster.propose(2, order(0, 1, "1")), committed(1));
    // Only the records on the new disk remain after a restart.
    cluster.restart(2);
    assert_eq!(
        cluster.propose(2, order(999, 1_000, "1000")),
        committed(1_000)
    );
}

#[test]
fn an_order_resubmitted_while_its_first_copy_is_undecided_is_accepted_once() {
    let mut cluster = Cluster::new(3);
    cluster.commit_orders(1, 1..=3);
    // The order of node 1 is accepted by nodes 1 and 2, but node 1 receives no acknowledgement.
    cluster.set_loss_rule(|_, to, message| {
        to == NodeId(1) && matches!(message, PeerMessage::AcceptAck(_))
    });
    cluster.start_proposal(1, JobId(500), order(3, 4, "4"));
    cluster.set_loss_rule(|_, _, _| false);
    assert_eq!(cluster.propose(3, order(3, 4, "4")), committed(4));
    assert_eq!(cluster.outcome(JobId(500)), Some(committed(4)));
    assert_eq!(
        cluster.register(3).decided().map(|value| value.order_count),
        Some(4)
    );
}

#[test]
fn an_order_that_competes_with_an_undecided_one_conflicts_once_that_one_is_decided() {
    let mut cluster = Cluster::new(3);
    cluster.set_loss_rule(|_, to, message| {
        to == NodeId(1) && matches!(message, PeerMessage::AcceptAck(_))
    });
    cluster.start_proposal(1, JobId(500), order(0, 1, "first"));
    cluster.set_loss_rule(|_, _, _| false);
    assert_eq!(cluster.propose(2, order(0, 1, "second")), conflict(1));
    assert_eq!(cluster.propose(3, order(0, 1, "first")), committed(1));
}

#[parameterized(accepted = { "1" }, conflicting = { "other" })]
fn a_node_in_a_minority_neither_acknowledges_nor_rejects(document: &str) {
    let mut cluster = Cluster::new(3);
    cluster.commit_orders(1, 1..=30);
    cluster.isolate(&[3]);
    assert_eq!(
        cluster.propose(3, order(0, 1, document)),
        Outcome::Unknown(UnknownReason::TimedOut)
    );
}

#[test]
fn a_node_with_an_incomplete_order_log_does_not_reject_orders_it_may_be_missing() {
    let mut cluster = Cluster::new(3);
    cluster.isolate(&[3]);
    cluster.commit_orders(1, 1..=100);
    cluster.heal();
    // Node 3 learns the newest value, but receives no orders older than the recent ones in that value.
    cluster.set_loss_rule(|_, _, message| matches!(message, PeerMessage::OrderLogEntries(_)));
    assert_eq!(cluster.propose(3, order(99, 100, "100")), committed(100));
    assert!(!cluster.register(3).is_order_log_complete());
    let gap = Outcome::Unknown(UnknownReason::OrderLogGap);
    assert_eq!(cluster.propose(3, order(39, 40, "40")), gap);
    assert_eq!(cluster.propose(3, order(39, 40, "other")), gap);
    assert_eq!(cluster.propose(3, order(94, 95, "other")), conflict(100));
    cluster.set_loss_rule(|_, _, _| false);
    cluster.advance_time(Duration::from_secs(1));
    assert!(cluster.register(3).is_order_log_complete());
    assert_eq!(cluster.propose(3, order(39, 40, "40")), committed(40));
    assert_eq!(cluster.propose(3, order(39, 40, "other")), conflict(100));
}

#[test]
fn an_order_whose_base_may_still_be_decided_is_not_rejected() {
    let mut cluster = Cluster::new(3);
    cluster.commit_orders(1, 1..=3);
    assert_eq!(
        cluster.propose(2, order(4, 5, "5")),
        Outcome::Unknown(UnknownReason::BaseNotDecided)
    );
    assert_eq!(cluster.propose(1, order(3, 4, "4")), committed(4));
    assert_eq!(cluster.propose(2, order(4, 5, "5")), committed(5));
    // An order that can never be accepted is rejected immediately.
    assert_eq!(cluster.propose(2, order(9, 9, "9")), conflict(5));
}

#[test]
fn a_new_node_is_fully_durable_only_with_value_and_order_log_on_its_disk() {
    let mut cluster = Cluster::new(3);
    cluster.commit_orders(1, 1..=ORDERS_ON_A_BUSY_DAY);
    cluster.stall_disk(3);
    cluster.replace_disk(3);
    assert!(
        cluster.register(3).is_order_log_complete(),
        "the order log in memory is complete"
    );
    assert!(
        !cluster.register(3).is_fully_durable()
            && cluster.register(3).durable_value_number() == ValueNumber::FIRST
    );
    assert!(!cluster.register(3).is_order_log_durable());
    cluster.sync_disk(3);
    assert!(cluster.register(3).is_fully_durable() && cluster.register(3).is_order_log_durable());
    assert_eq!(
        cluster.register(3).durable_value_number(),
        ValueNumber::new(ORDERS_ON_A_BUSY_DAY + 1)
    );
}

#[test]
fn records_that_the_disk_dropped_are_written_again() {
    let mut cluster = Cluster::new(3);
    cluster.commit_orders(1, 1..=ORDERS_ON_A_BUSY_DAY);
    cluster.stall_disk(3);
    cluster.replace_disk(3);
    cluster.drop_unsynced(3);
    cluster.sync_disk(3);
    assert!(!cluster.register(3).is_fully_durable());
    cluster.advance_time(Duration::from_secs(6));
    assert!(cluster.register(3).is_fully_durable());
    cluster.restart(3);
    assert!(
        cluster.register(3).is_order_log_complete()
            && cluster.register(3).order_log().len() as u64 == ORDERS_ON_A_BUSY_DAY
    );
}

#[test]
fn catching_up_takes_one_request_for_each_message_of_orders() {
    let mut cluster = Cluster::new(3);
    cluster.commit_orders(1, 1..=5_000);
    cluster.clear_sent();
    cluster.replace_disk(3);
    assert!(cluster.register(3).is_order_log_complete());
    let chunks = 5_000_usize.div_ceil(MAX_ORDERS_PER_MESSAGE);
    assert_eq!(
        cluster.count_sent(|message| matches!(message, PeerMessage::OrderLogRequest(_))),
        chunks
    );
    assert_eq!(
        cluster.count_sent(|message| matches!(message, PeerMessage::OrderLogEntries(_))),
        chunks
    );
}

#[test]
fn the_order_log_is_bounded_and_evicted_orders_are_unknown() {
    let mut order_log = OrderLog::default();
    for revision in 1..=100_000 {
        order_log.insert(&identity(revision));
        assert!(order_log.len() < MAX_LOGGED_ORDERS + 1_024);
    }
    assert!(order_log.len() >= MAX_LOGGED_ORDERS && order_log.is_complete());
    assert!(order_log.contains(&identity(100_000 - MAX_LOGGED_ORDERS as u64 + 1)));
    assert!(!order_log.contains(&identity(1)));
}
