//! Usage reports of a cluster: each window is reported exactly once, even if nodes crash, pause or are partitioned.

use std::time::Duration;

use linenthread_consensus::Epoch;
use linenthread_control::{SessionId, UsageConfig};
use linenthread_messages::{
    Hello, IngressUsage, PeerMessage, TenantCount, UsageUpdate, VERSION, WindowCounts,
};
use linenthread_time::{WindowLength, WindowNumber};
use yare::parameterized;

use crate::cluster::{Cluster, ms};
use crate::platform::Behaviour;

const LEASE: Duration = ms(3_000);
const WINDOW: Duration = ms(5_000);
const DELAY: Duration = ms(10_000);

/// Base of the session ids of ingress nodes, apart from the ids that the cluster assigns.
const INGRESS_SESSION_BASE: u64 = 1 << 40;

fn usage_config() -> UsageConfig {
    UsageConfig {
        window_length: WindowLength::new(WINDOW),
        report_delay: DELAY,
        lease: LEASE,
        calls_per_second: 50.0,
    }
}

fn cluster(nodes: usize) -> Cluster {
    Cluster::with_usage(nodes, nodes, Some(usage_config()))
}

fn current_window(cluster: &Cluster) -> u64 {
    WindowNumber::containing(cluster.true_time(), WindowLength::new(WINDOW)).get()
}

/// Returns the time from now until `millis` milliseconds after the end of a window.
fn until_after(cluster: &Cluster, window: u64, millis: u64) -> Duration {
    let end = WindowNumber::new(window).end(WindowLength::new(WINDOW));
    ms(end.as_millis() + millis - cluster.true_time().as_millis())
}

/// Connects an ingress node to a control node and reports its count of one tenant's requests in a window.
fn report_count(cluster: &mut Cluster, node: usize, ingress: u64, window: u64, requests: u64) {
    let session = SessionId(INGRESS_SESSION_BASE + ingress);
    let name = format!("ingress-{ingress}");
    let hello = Hello {
        version: VERSION,
        name: name.clone(),
        incarnation: 100 + ingress,
        ..Hello::default()
    };
    let usage = IngressUsage {
        name,
        incarnation: 100 + ingress,
        windows: vec![WindowCounts {
            window,
            tenants: vec![TenantCount {
                tenant: "tenant".to_owned(),
                requests,
            }],
        }],
    };
    let update = UsageUpdate {
        ingress_nodes: vec![usage],
    };
    cluster.run_on(node, |control, now, effects| {
        control.on_session_opened(session, effects);
        control.on_message(now, session, PeerMessage::Hello(hello), effects);
        control.on_message(now, session, PeerMessage::UsageUpdate(update), effects);
        control.on_session_closed(now, session, effects);
        // The ingress node is not simulated, so messages to it are discarded.
        effects.clear();
    });
}

fn body(window: u64, requests: u64) -> String {
    format!(r#"{{"epoch":{window},"tallies":{{"tenant":{requests}}}}}"#)
}

/// Asserts that all windows from the first reported one to `up_to` at least were reported, in order and without gaps.
fn assert_complete(cluster: &Cluster, up_to: u64) {
    let windows = cluster.platform.windows();
    let first = windows.first().copied().expect("a report");
    let expected: Vec<u64> = (first..=windows.last().copied().unwrap_or(first)).collect();
    assert_eq!(windows, expected);
    assert!(windows.contains(&up_to), "{windows:?} lacks {up_to}");
    cluster.platform.assert_single_reporter(LEASE);
}

#[test]
fn counts_of_all_ingress_nodes_are_reported_once_per_window_in_time() {
    let mut cluster = cluster(3);
    let window = current_window(&cluster);
    report_count(&mut cluster, 0, 1, window, 4);
    report_count(&mut cluster, 1, 2, window, 3);
    report_count(&mut cluster, 1, 2, window, 5);
    report_count(&mut cluster, 2, 2, window, 5);
    cluster.run(WINDOW + DELAY);
    assert_eq!(cluster.platform.body(window), Some(body(window, 9)));
    let calls = &cluster.platform.accepted;
    assert_eq!(calls.iter().filter(|call| call.window == window).count(), 1);
    assert_complete(&cluster, window);
}

// Guards against a window without a report, or with two different ones, if the sender crashes at any time around its
// call.
#[parameterized(
    early = { 3_800 },
    just_before = { 4_000 },
    at_once = { 4_200 },
    after = { 4_400 },
    late = { 6_000 },
)]
fn after_a_crash_of_the_sender_another_node_sends_the_same_report(after_window_ms: u64) {
    let mut cluster = cluster(5);
    let window = current_window(&cluster);
    report_count(&mut cluster, 4, 1, window, 7);
    cluster.run(until_after(&cluster, window, after_window_ms));
    let leader = cluster.leader().expect("a leader");
    cluster.crash(leader);
    cluster.run(ms(500));
    cluster.start(leader);
    cluster.run(until_after(&cluster, window, 10_000));
    assert_eq!(cluster.platform.body(window), Some(body(window, 7)));
    cluster.run(ms(20_000));
    assert_complete(&cluster, window + 2);
}

// Guards against calls based on stale state by a sender that was paused past the end of its lease.
#[test]
fn a_sender_paused_past_its_lease_makes_no_call_when_it_resumes() {
    let mut cluster = cluster(5);
    let window = current_window(&cluster);
    cluster.run(WINDOW + ms(3_900));
    let leader = cluster.leader().expect("a leader");
    cluster.nodes[leader].paused = true;
    cluster.run(ms(8_000));
    let accepted = cluster.platform.accepted.len();
    assert!(accepted > 0, "another node sends");
    cluster.resume(leader, linenthread_control::ControlNode::tick);
    cluster.run(ms(10));
    assert_eq!(cluster.platform.accepted.len(), accepted);
    cluster.run(ms(15_000));
    assert_complete(&cluster, window + 1);
}

// Guards against a node that makes a call within the lease time of its previous one although another node has made a
// call in between.
#[test]
fn the_duty_does_not_return_to_a_node_within_the_lease_time() {
    let mut cluster = cluster(3);
    for _ in 0..12 {
        let calls = cluster.platform.accepted.len();
        cluster.run_until(ms(20_000), |c| c.platform.accepted.len() > calls);
        let leader = cluster.leader().expect("a leader");
        cluster.crash(leader);
        cluster.run(ms(100));
        cluster.start(leader);
    }
    cluster.run(ms(30_000));
    let last = current_window(&cluster) - 2;
    assert_complete(&cluster, last);
}

// Guards against reports that are lost or reordered while the platform fails.
#[parameterized(
    busy = { Behaviour::Busy },
    responses_lost = { Behaviour::ResponsesLost },
)]
fn reports_delayed_by_a_platform_failure_are_delivered_afterwards(behaviour: Behaviour) {
    let mut cluster = cluster(3);
    let window = current_window(&cluster);
    report_count(&mut cluster, 0, 1, window, 7);
    cluster.platform.behaviour = behaviour;
    cluster.run(ms(40_000));
    cluster.platform.behaviour = Behaviour::Healthy;
    cluster.run(ms(10_000));
    assert_eq!(cluster.platform.body(window), Some(body(window, 7)));
    assert_complete(&cluster, window + 6);
}

// Guards against a second report for a window whose report was decided, but not sent, before all nodes restarted.
#[test]
fn a_decided_report_survives_a_restart_of_all_nodes() {
    let mut cluster = cluster(3);
    let window = current_window(&cluster);
    report_count(&mut cluster, 0, 1, window, 7);
    cluster.platform.behaviour = Behaviour::Busy;
    cluster.run(WINDOW + ms(6_000));
    for n in 0..3 {
        cluster.crash(n);
    }
    cluster.platform.behaviour = Behaviour::Healthy;
    (0..3).for_each(|n| cluster.start(n));
    cluster.run(ms(20_000));
    assert_eq!(cluster.platform.body(window), Some(body(window, 7)));
    assert_complete(&cluster, window + 1);
}

// Guards against the loss of counts that only the crashed control node held in memory.
#[test]
fn counts_survive_the_loss_of_the_control_node_that_received_them() {
    let mut cluster = cluster(5);
    let window = current_window(&cluster);
    let leader = cluster.leader().expect("a leader");
    let receiver = (leader + 1) % 5;
    report_count(&mut cluster, receiver, 1, window, 7);
    cluster.run(ms(300));
    cluster.crash(receiver);
    cluster.run(WINDOW + DELAY);
    assert_eq!(cluster.platform.body(window), Some(body(window, 7)));
}

// Guards against a leader that keeps calling under a fencing token that the platform has refused.
#[test]
fn a_leader_whose_fence_is_refused_releases_the_lease() {
    let mut cluster = cluster(3);
    cluster.run(WINDOW + DELAY);
    let leader = cluster.leader().expect("a leader");
    let epoch = cluster
        .control(leader)
        .lease_epoch(cluster.now)
        .expect("the leader holds the lease");
    let calls = cluster.platform.accepted.len();
    cluster.platform.highest_fence = epoch.next();
    cluster.run(ms(20_000));
    let later = &cluster.platform.accepted[calls..];
    assert!(
        !later.is_empty(),
        "reports are sent under a higher fencing token"
    );
    assert!(later.iter().all(|call| call.fence > epoch));
}

// Guards against windows that follow the wrong clocks of a minority of the nodes.
#[parameterized(
    forward = { 7_000 },
    backward = { -7_000 },
)]
fn wrong_clocks_of_a_minority_do_not_shift_windows(error_ms: i64) {
    let mut cluster = cluster(5);
    let window = current_window(&cluster);
    report_count(&mut cluster, 0, 1, window, 7);
    let leader = cluster.leader().expect("a leader");
    cluster.nodes[leader].clock_error_ms = error_ms;
    cluster.nodes[(leader + 1) % 5].clock_error_ms = error_ms;
    cluster.run(until_after(&cluster, window, 3_900));
    assert_eq!(cluster.platform.body(window), None, "too early");
    cluster.run(until_after(&cluster, window, 4_600));
    assert_eq!(cluster.platform.body(window), Some(body(window, 7)));
}

// Guards against calls of two nodes while the voters are partitioned.
#[test]
fn a_partitioned_minority_sends_no_reports() {
    let mut cluster = cluster(5);
    cluster.run(WINDOW + DELAY);
    let leader = cluster.leader().expect("a leader");
    let other = (leader + 1) % 5;
    for minority in [leader, other] {
        for majority in (0..5).filter(|n| ![leader, other].contains(n)) {
            cluster.blocked.insert((minority, majority));
            cluster.blocked.insert((majority, minority));
        }
    }
    cluster.run(ms(15_000));
    cluster.blocked.clear();
    cluster.run(ms(15_000));
    let last = current_window(&cluster) - 2;
    assert_complete(&cluster, last);
}

/// Returns the status of the usage duty as a node reports it.
fn duty_status(cluster: &Cluster, node: usize) -> serde_json::Value {
    let duties = cluster.control(node).duties_status(cluster.now);
    duties[0].clone()
}

fn held_ms(duty: &serde_json::Value) -> u64 {
    duty["held_ms"].as_u64().expect("the duty is held")
}

#[test]
fn duties_status_reports_how_long_the_leader_has_held_the_duty() {
    let mut cluster = cluster(3);
    cluster.run(WINDOW + DELAY);
    let leader = cluster.leader().expect("a leader");
    let before = duty_status(&cluster, leader);
    cluster.run(ms(7_000));
    let after = duty_status(&cluster, leader);
    assert_eq!(held_ms(&after), held_ms(&before) + 7_000);
    assert_eq!(after["fence"], before["fence"]);
    let other = duty_status(&cluster, (leader + 1) % 3);
    assert_eq!(other["held_here"], false);
    assert!(other["held_ms"].is_null() && other["fence"].is_null());
}

// Guards against a reported time that includes an earlier tenure of the same node.
#[test]
fn the_reported_time_restarts_when_the_lease_is_acquired_again() {
    let mut cluster = cluster(1);
    cluster.run(WINDOW + DELAY);
    let before = duty_status(&cluster, 0);
    let fence = before["fence"].as_u64().expect("the duty is held");
    cluster.platform.highest_fence = Epoch::new(fence).next();
    let is_acquired_again = |cluster: &Cluster| {
        let current = duty_status(cluster, 0);
        current["fence"]
            .as_u64()
            .is_some_and(|current_fence| current_fence > fence)
    };
    assert!(cluster.run_until(ms(20_000), is_acquired_again));
    let after = duty_status(&cluster, 0);
    assert!(
        held_ms(&after) < 100,
        "{after}: acquired at most one step ago"
    );
}

// Guards against reports that are stuck at a window long ago because of counts of an ingress node with a wrong clock.
#[test]
fn the_first_report_covers_a_recent_window() {
    // Usage reports are enabled at a restart, so nothing was reported before.
    let mut cluster = Cluster::new(3, 3);
    cluster.usage = Some(usage_config());
    (0..3).for_each(|n| cluster.crash(n));
    (0..3).for_each(|n| cluster.start(n));
    cluster.run(ms(1_500));
    let window = current_window(&cluster);
    report_count(&mut cluster, 0, 1, window - 5_000, 7);
    cluster.run(WINDOW + DELAY + DELAY);
    let first = cluster.platform.windows()[0];
    assert!(first >= window - 18, "{first} is long before {window}");
    assert_complete(&cluster, window);
}

// Guards against an endless loop of proposals of a report while the maximum number of changes is pending.
#[test]
fn a_report_is_delivered_after_a_queue_of_too_many_changes() {
    const TOO_MANY_CHANGES: u64 = 100;
    let mut cluster = cluster(3);
    let window = current_window(&cluster);
    report_count(&mut cluster, 0, 1, window, 7);
    cluster.run(until_after(&cluster, window, 3_700));
    let leader = cluster.leader().expect("a leader");
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    let incoming = others.iter().map(|n| (*n, leader));
    cluster.blocked.extend(incoming);
    for revision in 1..=TOO_MANY_CHANGES {
        cluster.order(leader, 0, revision);
    }
    cluster.run(ms(600));
    cluster.blocked.clear();
    cluster.run(DELAY);
    assert_eq!(cluster.platform.body(window), Some(body(window, 7)));
    assert_complete(&cluster, window);
}

// Guards against millions of empty reports that must be delivered before the first real one. A machine without a
// real-time clock starts in 1970. While two nodes know only each other's clocks, its wrong clock is half of them.
#[test]
fn very_old_counts_do_not_delay_the_first_report() {
    let mut cluster = Cluster::new(3, 3);
    cluster.usage = Some(usage_config());
    for n in 0..3 {
        cluster.crash(n);
        cluster.start(n);
    }
    let window = current_window(&cluster);
    report_count(&mut cluster, 0, 1, 3, 1);
    report_count(&mut cluster, 0, 2, window, 7);
    cluster.run(WINDOW + DELAY);
    assert_eq!(cluster.platform.body(window), Some(body(window, 7)));
    assert_complete(&cluster, window);
}

// Guards against an integer overflow in the sum of the counts, which would end the process.
#[test]
fn counts_saturate_instead_of_overflowing() {
    let mut cluster = cluster(3);
    let window = current_window(&cluster);
    report_count(&mut cluster, 0, 1, window, u64::MAX);
    report_count(&mut cluster, 0, 2, window, 7);
    cluster.run(WINDOW + DELAY);
    assert_eq!(cluster.platform.body(window), Some(body(window, u64::MAX)));
}
