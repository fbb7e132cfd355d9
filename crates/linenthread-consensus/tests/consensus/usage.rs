//! Tests of usage reports: each window is reported once and in order, independently of orders.

use linenthread_consensus::{Change, Outcome, Revision};
use linenthread_messages::{DecidedUsage, UsageReport};
use linenthread_time::WindowNumber;

use crate::cluster::{Cluster, committed, order};

fn report(window: u64, body: &str) -> UsageReport {
    UsageReport {
        window,
        body: body.as_bytes().to_vec().into(),
    }
}

fn usage(window: u64, body: &str) -> Change {
    Change::Usage {
        report: report(window, body),
        delivered_window: None,
    }
}

fn decided_usage(cluster: &Cluster, node: u64) -> DecidedUsage {
    let value = cluster
        .register(node)
        .decided()
        .expect("a decided value")
        .clone();
    value
        .usage
        .map_or_else(DecidedUsage::default, |usage| *usage)
}

// Guards against two reports for one window: the second one, from a node with different counts, must change nothing.
#[test]
fn the_first_of_two_reports_for_a_window_is_kept() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.propose(1, usage(7, "first")), committed(0));
    // The proposer of the second report learns that the window is reported already.
    assert_eq!(cluster.propose(2, usage(7, "second")), committed(0));
    for node in 1..=3 {
        assert_eq!(decided_usage(&cluster, node).reports, [report(7, "first")]);
    }
}

// Guards against a window that is skipped, and against one that is reported after a later one.
#[test]
fn windows_are_decided_in_order_without_gaps() {
    let mut cluster = Cluster::new(3);
    cluster.propose(1, usage(7, "a"));
    assert_eq!(
        cluster.propose(1, usage(9, "c")),
        Outcome::Conflict(Revision::NONE)
    );
    assert_eq!(cluster.propose(1, usage(6, "too late")), committed(0));
    cluster.propose(1, usage(8, "b"));
    assert_eq!(
        decided_usage(&cluster, 2),
        DecidedUsage {
            newest_window: 8,
            reports: vec![report(7, "a"), report(8, "b")],
        }
    );
    assert_eq!(
        cluster.register(1).newest_usage_window(),
        Some(WindowNumber::new(8))
    );
}

#[test]
fn delivered_reports_are_removed_from_the_value() {
    let mut cluster = Cluster::new(3);
    for (window, body) in [(7, "a"), (8, "b")] {
        cluster.propose(1, usage(window, body));
    }
    cluster.propose(
        1,
        Change::Usage {
            report: report(9, "c"),
            delivered_window: Some(WindowNumber::new(7)),
        },
    );
    assert_eq!(
        decided_usage(&cluster, 3).reports,
        [report(8, "b"), report(9, "c")]
    );
}

// Guards against an order or a report that overwrites the other.
#[test]
fn orders_and_reports_are_independent() {
    let mut cluster = Cluster::new(3);
    cluster.propose(1, usage(7, "a"));
    assert_eq!(cluster.propose(2, order(0, 1, "routes")), committed(1));
    cluster.propose(3, usage(8, "b"));
    assert_eq!(cluster.propose(1, order(1, 2, "more")), committed(2));
    let value = cluster
        .register(1)
        .decided()
        .expect("a decided value")
        .clone();
    assert_eq!(value.document, "more");
    assert_eq!(value.order_count, 2);
    assert_eq!(decided_usage(&cluster, 1).newest_window, 8);
}

// Guards against the loss of a window's report when the process that proposed it restarts.
#[test]
fn a_decided_report_survives_a_restart_of_all_nodes() {
    let mut cluster = Cluster::new(3);
    cluster.propose(1, usage(7, "a"));
    for node in 1..=3 {
        cluster.restart(node);
    }
    assert_eq!(cluster.propose(2, usage(7, "b")), committed(0));
    assert_eq!(decided_usage(&cluster, 2).reports, [report(7, "a")]);
}
