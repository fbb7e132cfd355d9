//! The replica registry: heartbeats in any order, departures, time-outs and the digest.

use std::collections::BTreeSet;
use std::time::Duration;

use linenthread_control::{HeartbeatOutcome, ReplicaRegistry};
use linenthread_messages::Replica;
use linenthread_time::Instant;
use yare::parameterized;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn report(id: &str, call_count: u64, address: &str) -> Replica {
    Replica {
        id: id.into(),
        address: address.into(),
        call_count,
        ..Replica::default()
    }
}

#[parameterized(
    newer = { report("a", 3, "x"), HeartbeatOutcome::Refreshed, false },
    drains = { Replica { draining: true, ..report("a", 3, "x") }, HeartbeatOutcome::Changed, false },
    older = { Replica { draining: true, ..report("a", 1, "x") }, HeartbeatOutcome::Stale, false },
    repeated = { report("a", 2, "x"), HeartbeatOutcome::Stale, false },
    ended = { Replica { ended: true, ..report("a", 1, "x") }, HeartbeatOutcome::Changed, true },
    another_at_its_address = { report("b", 1, "x"), HeartbeatOutcome::Changed, true },
    another_with_an_older_heartbeat = { Replica { age_ms: 900, ..report("b", 1, "x") }, HeartbeatOutcome::Changed, false },
    another_elsewhere = { report("b", 1, "y"), HeartbeatOutcome::Changed, false },
)]
fn heartbeats_merge_in_any_order(
    new_report: Replica,
    outcome: HeartbeatOutcome,
    a_has_ended: bool,
) {
    let mut registry = ReplicaRegistry::default();
    registry.observe(at(1_000), &report("a", 2, "x"));
    assert_eq!(registry.observe(at(1_500), &new_report).outcome, outcome);
    assert_eq!(registry.get("a").unwrap().replica.ended, a_has_ended);
}

/// The digest is cached until the replicas it covers change. Reading it earlier must not affect later values.
#[parameterized(
    newer = { report("a", 3, "x") },
    drains = { Replica { draining: true, ..report("a", 3, "x") } },
    new_address = { report("a", 3, "z") },
    ended = { Replica { ended: true, ..report("a", 1, "x") } },
    another_at_its_address = { report("b", 1, "x") },
    another_elsewhere = { report("b", 1, "y") },
)]
fn a_cached_digest_equals_a_computed_one(new_report: Replica) {
    let (mut cached, mut computed) = (ReplicaRegistry::default(), ReplicaRegistry::default());
    for registry in [&mut cached, &mut computed] {
        registry.observe(at(1_000), &report("a", 2, "x"));
    }
    let before = cached.digest();
    for registry in [&mut cached, &mut computed] {
        registry.observe(at(1_500), &new_report);
    }
    assert_eq!(cached.digest(), computed.digest());
    assert_eq!(
        cached.digest() == before,
        new_report.id == "a"
            && new_report.address == "x"
            && !new_report.draining
            && !new_report.ended
    );
    assert!(
        cached.mark_departed(at(2_000), &new_report.id) != new_report.ended
            && computed.mark_departed(at(2_000), &new_report.id) != new_report.ended
    );
    assert_eq!(cached.digest(), computed.digest());
}

#[test]
fn an_ended_incarnation_is_not_added_again() {
    let mut registry = ReplicaRegistry::default();
    registry.observe(at(0), &report("a", 2, "x"));
    assert!(registry.mark_departed(at(10), "a") && !registry.mark_departed(at(11), "a"));
    assert_eq!(
        registry.observe(at(20), &report("a", 3, "x")).outcome,
        HeartbeatOutcome::Stale
    );
    assert!(registry.get("a").unwrap().replica.timed_out_or_ended);
    registry.expire(at(70_000), ms(4_000));
    assert!(registry.is_empty());
}

#[parameterized(one = { 1, 1 }, half = { 2, 2 }, more_than_half = { 3, 0 })]
fn replicas_time_out_unless_more_than_half_are_silent(silent: usize, expired: usize) {
    let mut registry = ReplicaRegistry::default();
    for i in 0..4 {
        let last_heartbeat = if i < silent { 0 } else { 5_000 };
        registry.observe(
            at(last_heartbeat),
            &report(&format!("r{i}"), 1, &format!("x{i}")),
        );
    }
    assert_eq!(registry.expire(at(6_000), ms(4_000)).len(), expired);
    if expired > 0 {
        assert_eq!(
            registry.observe(at(6_100), &report("r0", 2, "x0")).outcome,
            HeartbeatOutcome::Changed
        );
        assert!(!registry.get("r0").unwrap().replica.timed_out_or_ended);
    }
}

/// Guards against a node that has just joined and offers replicas that the others know to be silent.
#[parameterized(
    unknown = { None },
    known_from_an_older_heartbeat = { Some(1) },
)]
fn a_replica_that_timed_out_at_another_node_is_not_present(known: Option<u64>) {
    let mut registry = ReplicaRegistry::default();
    if let Some(call_count) = known {
        registry.observe(at(1_000), &report("a", call_count, "x"));
    }
    let timed_out = Replica {
        timed_out_or_ended: true,
        age_ms: 6_000,
        ..report("a", 2, "x")
    };
    let observation = registry.observe(at(9_000), &timed_out);
    assert_eq!(observation.outcome, HeartbeatOutcome::Changed);
    assert!(registry.get("a").unwrap().replica.timed_out_or_ended);
    registry.observe(at(9_100), &report("a", 3, "x"));
    assert!(!registry.get("a").unwrap().replica.timed_out_or_ended);
}

#[test]
fn changes_are_logged_together_with_superseded_replicas() {
    let mut registry = ReplicaRegistry::default();
    registry.observe(at(1_000), &report("a", 2, "x"));
    let first = registry.changes().offset();
    registry.observe(at(1_100), &report("a", 3, "x"));
    assert_eq!(registry.changes().offset(), first, "nothing changed");
    let observation = registry.observe(at(1_500), &report("b", 1, "x"));
    assert_eq!(observation.superseded, ["a"]);
    let second = registry.changes().offset();
    assert_eq!(
        registry.changes().since(first),
        Some(BTreeSet::from(["a", "b"]))
    );
    assert!(registry.mark_departed(at(2_000), "b"));
    assert_eq!(
        registry.changes().since(second),
        Some(BTreeSet::from(["b"]))
    );
}
