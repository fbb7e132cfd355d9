//! The replica registry, the change log and the retry budget, each as a table of cases; and what one control node
//! acknowledges when.

use std::time::Duration;

use linenthread_consensus::{DurableState, genesis_id};
use linenthread_control::{
    CallId, ChangeLog, ControlNode, Effect, HeartbeatOutcome, NodeConfig, ReplicaHeartbeat,
    ReplicaRegistry, Response, RetryBudget, SessionId,
};
use linenthread_messages::{
    Heartbeat, Hello, PeerMessage, Replica, UpdateAck, VERSION, Value, Voter,
};
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
    late = { Replica { draining: true, ..report("a", 1, "x") }, HeartbeatOutcome::Stale, false },
    repeated = { report("a", 2, "x"), HeartbeatOutcome::Stale, false },
    ended = { Replica { removed_for_good: true, ..report("a", 1, "x") }, HeartbeatOutcome::Changed, true },
    another_at_its_address = { report("b", 1, "x"), HeartbeatOutcome::Changed, true },
    another_with_an_older_heartbeat = { Replica { age_ms: 900, ..report("b", 1, "x") }, HeartbeatOutcome::Changed, false },
    another_elsewhere = { report("b", 1, "y"), HeartbeatOutcome::Changed, false },
)]
fn heartbeats_merge_in_any_order(news: Replica, outcome: HeartbeatOutcome, a_has_ended: bool) {
    let mut registry = ReplicaRegistry::default();
    registry.observe(at(1_000), &report("a", 2, "x"), &mut Vec::new());
    assert_eq!(registry.observe(at(1_500), &news, &mut Vec::new()), outcome);
    assert_eq!(
        registry.get("a").unwrap().replica.removed_for_good,
        a_has_ended
    );
}

/// The digest is cached until something that it covers changes: it is the same as if it had not been read before.
#[parameterized(
    newer = { report("a", 3, "x") },
    drains = { Replica { draining: true, ..report("a", 3, "x") } },
    moved = { report("a", 3, "z") },
    ended = { Replica { removed_for_good: true, ..report("a", 1, "x") } },
    another_at_its_address = { report("b", 1, "x") },
    another_elsewhere = { report("b", 1, "y") },
)]
fn a_cached_digest_equals_a_computed_one(news: Replica) {
    let (mut cached, mut computed) = (ReplicaRegistry::default(), ReplicaRegistry::default());
    for registry in [&mut cached, &mut computed] {
        registry.observe(at(1_000), &report("a", 2, "x"), &mut Vec::new());
    }
    let before = cached.digest();
    for registry in [&mut cached, &mut computed] {
        registry.observe(at(1_500), &news, &mut Vec::new());
    }
    assert_eq!(cached.digest(), computed.digest());
    assert_eq!(
        cached.digest() == before,
        news.id == "a" && news.address == "x" && !news.draining && !news.removed_for_good
    );
    assert!(
        cached.mark_departed(at(2_000), &news.id) != news.removed_for_good
            && computed.mark_departed(at(2_000), &news.id) != news.removed_for_good
    );
    assert_eq!(cached.digest(), computed.digest());
}

#[test]
fn an_ended_incarnation_does_not_come_back() {
    let mut registry = ReplicaRegistry::default();
    registry.observe(at(0), &report("a", 2, "x"), &mut Vec::new());
    assert!(registry.mark_departed(at(10), "a") && !registry.mark_departed(at(11), "a"));
    assert_eq!(
        registry.observe(at(20), &report("a", 3, "x"), &mut Vec::new()),
        HeartbeatOutcome::Stale
    );
    assert!(registry.get("a").unwrap().replica.removed);
    registry.expire(at(70_000), ms(4_000));
    assert!(registry.is_empty());
}

#[parameterized(one = { 1, 1 }, half = { 2, 2 }, most = { 3, 0 })]
fn a_few_replicas_time_out_and_never_most(silent: usize, gone: usize) {
    let mut registry = ReplicaRegistry::default();
    for i in 0..4 {
        let last_heartbeat = if i < silent { 0 } else { 5_000 };
        registry.observe(
            at(last_heartbeat),
            &report(&format!("r{i}"), 1, &format!("x{i}")),
            &mut Vec::new(),
        );
    }
    assert_eq!(registry.expire(at(6_000), ms(4_000)).len(), gone);
    if gone > 0 {
        assert_eq!(
            registry.observe(at(6_100), &report("r0", 2, "x0"), &mut Vec::new()),
            HeartbeatOutcome::Changed
        );
        assert!(!registry.get("r0").unwrap().replica.removed);
    }
}

#[parameterized(
    from_the_start = { 0, None },
    forgotten = { 1, None },
    oldest = { 2, Some(3) },
    near = { 4, Some(1) },
    all = { 5, Some(0) },
    ahead = { 6, None },
)]
fn the_change_log_has_what_changed_after_an_offset(offset: u64, changes: Option<usize>) {
    let mut log = ChangeLog::new(3);
    ["a", "b", "c", "d", "e"]
        .iter()
        .for_each(|id| log.append(id));
    assert_eq!(log.since(offset).map(|c| c.len()), changes);
}

#[test]
fn shares_stay_within_the_allowance_as_ingress_nodes_come_and_go() {
    let mut budget = RetryBudget::new(12.0, ms(10_000));
    budget.begin(at(0), true);
    assert_eq!(budget.grant(at(0), "a", 1, 1), 6.0);
    assert_eq!(budget.grant(at(0), "b", 1, 2), 4.0);
    // All of a's larger share may be in use until its lifetime and a window have passed.
    assert_eq!(budget.grant(at(100), "a", 1, 2), 4.0);
    assert_eq!(budget.grant(at(100), "c", 1, 3), 2.0);
    assert!(budget.granted(at(100)) <= 12.0);
    // A new incarnation is granted what the old one cannot have in use.
    assert_eq!(budget.grant(at(200), "a", 2, 3), 0.0);
    for now in [5_000, 10_000, 14_000].map(at) {
        budget.grant(now, "b", 1, 3);
        budget.grant(now, "c", 1, 3);
    }
    assert_eq!(budget.grant(at(15_300), "a", 2, 3), 3.0);
    assert!(budget.granted(at(15_300)) <= 12.0);
}

#[test]
fn a_new_leader_waits_until_all_earlier_grants_have_ended() {
    let mut budget = RetryBudget::new(12.0, ms(10_000));
    budget.begin(at(1_000), false);
    assert_eq!(budget.grant(at(15_999), "a", 1, 1), 0.0);
    assert_eq!(budget.grant(at(16_000), "a", 1, 1), 6.0);
}

fn address(n: usize) -> String {
    format!("10.0.0.{n}:80")
}

fn node() -> ControlNode {
    node_among(3)
}

fn node_among(voters: usize) -> ControlNode {
    let bootstrap: Vec<String> = (1..=voters).map(address).collect();
    let voters: Vec<Voter> = bootstrap
        .iter()
        .map(|a| Voter {
            id: genesis_id(a),
            address: a.clone(),
        })
        .collect();
    let local = NodeConfig {
        name: "node-1".into(),
        zone: "z".into(),
        incarnation: 1,
        control_address: address(1),
        may_vote: true,
        min_voters: 3,
        heartbeat_interval: ms(1_000),
        bootstrap,
        is_genesis: true,
        retry_allowance: 10.0,
        retry_window: ms(10_000),
    };
    let genesis = Value {
        voters,
        ..Value::default()
    };
    ControlNode::new(
        local,
        genesis_id(&address(1)),
        DurableState::default(),
        Some(genesis),
        Instant::START,
    )
}

/// Opens a session with control node `n`, which acknowledges at once.
fn connect(
    control: &mut ControlNode,
    now: u64,
    session: u64,
    n: usize,
    version: u32,
) -> Vec<Effect> {
    let session = SessionId(session);
    let mut effects = Vec::new();
    let hello = Hello {
        version,
        name: format!("node-{n}"),
        incarnation: n as u64 * 100,
        control_address: address(n),
        node_id: genesis_id(&address(n)),
        ..Hello::default()
    };
    control.on_session_opened(session, &mut effects);
    control.on_message(at(now), session, PeerMessage::Hello(hello), &mut effects);
    control.on_message(at(now), session, round_trip(now), &mut effects);
    effects
}

/// A heartbeat of a peer that has received what was sent at `now`.
fn round_trip(now: u64) -> PeerMessage {
    let heartbeat = Heartbeat {
        has_quorum: true,
        sent_at: now,
        echoed_sent_at: Some(now),
        durable_value_number: Some(0),
        ..Heartbeat::default()
    };
    PeerMessage::Heartbeat(heartbeat)
}

fn replica_heartbeat(phase: &str, call_count: u64) -> ReplicaHeartbeat {
    let text = format!(
        r#"{{"backend":"s","address":"10.9.0.1:1","zone":"z","phase":"{phase}","call_count":{call_count}}}"#
    );
    serde_json::from_str(&text).unwrap()
}

fn responses(effects: &[Effect]) -> Vec<&Response> {
    effects
        .iter()
        .filter_map(|effect| {
            if let Effect::Respond { response, .. } = effect {
                Some(response)
            } else {
                None
            }
        })
        .collect()
}

#[test]
fn without_a_quorum_a_node_takes_no_heartbeats() {
    let (mut control, mut effects) = (node(), Vec::new());
    control.on_replica_heartbeat(
        at(0),
        CallId(1),
        "i",
        replica_heartbeat("available", 1),
        &mut effects,
    );
    assert!(matches!(
        responses(&effects)[..],
        [Response::Unavailable(_)]
    ));
    connect(&mut control, 0, 1, 2, VERSION);
    effects.clear();
    control.on_replica_heartbeat(
        at(0),
        CallId(2),
        "i",
        replica_heartbeat("available", 1),
        &mut effects,
    );
    assert_eq!(
        responses(&effects),
        [&Response::Acknowledged(Some(address(1)))]
    );
}

#[test]
fn a_drain_is_acknowledged_when_a_majority_knows() {
    let (mut control, mut effects) = (node(), Vec::new());
    connect(&mut control, 0, 1, 2, VERSION);
    control.on_replica_heartbeat(
        at(0),
        CallId(1),
        "i",
        replica_heartbeat("draining", 1),
        &mut effects,
    );
    assert!(responses(&effects).is_empty());
    let asks = |effect: &Effect| matches!(effect, Effect::Send { message: PeerMessage::ControlUpdate(g), .. } if g.update_id == 1);
    assert!(effects.iter().any(asks));
    effects.clear();
    control.on_message(
        at(10),
        SessionId(1),
        PeerMessage::UpdateAck(UpdateAck { update_id: 1 }),
        &mut effects,
    );
    assert_eq!(responses(&effects), [&Response::Acknowledged(None)]);
}

#[test]
fn a_drain_that_no_other_node_knows_is_not_acknowledged() {
    let (mut control, mut effects) = (node(), Vec::new());
    connect(&mut control, 0, 1, 2, VERSION);
    control.on_replica_heartbeat(
        at(0),
        CallId(1),
        "i",
        replica_heartbeat("draining", 1),
        &mut effects,
    );
    control.on_session_closed(at(5), SessionId(1), &mut effects);
    control.on_message(
        at(10),
        SessionId(1),
        PeerMessage::UpdateAck(UpdateAck { update_id: 1 }),
        &mut effects,
    );
    assert!(responses(&effects).is_empty());
    control.tick(at(1_000), &mut effects);
    assert!(matches!(
        responses(&effects)[..],
        [Response::Unavailable(_)]
    ));
}

#[test]
fn the_acknowledgement_of_a_node_that_has_gone_does_not_count() {
    let (mut control, mut effects) = (node_among(5), Vec::new());
    for n in 2..=4 {
        connect(&mut control, 0, n as u64, n, VERSION);
    }
    control.on_replica_heartbeat(
        at(0),
        CallId(1),
        "i",
        replica_heartbeat("draining", 1),
        &mut effects,
    );
    control.on_message(
        at(10),
        SessionId(2),
        PeerMessage::UpdateAck(UpdateAck { update_id: 1 }),
        &mut effects,
    );
    control.on_session_closed(at(20), SessionId(2), &mut effects);
    control.on_message(
        at(30),
        SessionId(3),
        PeerMessage::UpdateAck(UpdateAck { update_id: 1 }),
        &mut effects,
    );
    assert!(responses(&effects).is_empty());
    control.on_message(
        at(40),
        SessionId(4),
        PeerMessage::UpdateAck(UpdateAck { update_id: 1 }),
        &mut effects,
    );
    assert_eq!(responses(&effects), [&Response::Acknowledged(None)]);
}

#[test]
fn sessions_with_another_version_or_itself_are_closed() {
    let mut control = node();
    let effects = connect(&mut control, 0, 1, 2, VERSION + 1);
    assert!(
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::Close(SessionId(1))))
    );
    let mut effects = Vec::new();
    let own = Hello {
        version: VERSION,
        incarnation: 1,
        control_address: address(1),
        ..Hello::default()
    };
    control.on_message(at(0), SessionId(2), PeerMessage::Hello(own), &mut effects);
    assert!(
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::Close(SessionId(2))))
    );
}

#[test]
fn a_session_times_out_and_its_node_is_dialled_again() {
    let (mut control, mut effects) = (node(), Vec::new());
    connect(&mut control, 0, 1, 2, VERSION);
    connect(&mut control, 0, 2, 3, VERSION);
    for now in (200..2_200).step_by(200) {
        control.on_message(at(now), SessionId(2), round_trip(now), &mut effects);
        control.tick(at(now), &mut effects);
    }
    assert!(
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::Close(SessionId(1))))
            && !effects
                .iter()
                .any(|effect| matches!(effect, Effect::Close(SessionId(2))))
    );
    assert!(
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::Dial(a) if *a == address(2)))
    );
    assert!(control.has_quorum(at(2_000)));
}
