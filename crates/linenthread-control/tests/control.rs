//! Replicas' lives, the log of changes and shares, each as a table of cases; and what is acknowledged when.

use linenthread_consensus::{DurableState, genesis_id};
use linenthread_control::{
    ChangeLog, ControlNode, Effect, HeartbeatOutcome, NodeConfig, ReplicaHeartbeat,
    ReplicaRegistry, Response, RetryBudget,
};
use linenthread_messages::{
    Heartbeat, Hello, PeerMessage, Replica, UpdateAck, VERSION, Value, Voter,
};
use yare::parameterized;

fn said(ident: &str, call_count: u64, address: &str) -> Replica {
    Replica {
        id: ident.into(),
        address: address.into(),
        call_count,
        ..Replica::default()
    }
}

#[parameterized(
    newer = { said("a", 3, "x"), HeartbeatOutcome::Refreshed, false },
    drains = { Replica { draining: true, ..said("a", 3, "x") }, HeartbeatOutcome::Changed, false },
    late = { Replica { draining: true, ..said("a", 1, "x") }, HeartbeatOutcome::Stale, false },
    told_again = { said("a", 2, "x"), HeartbeatOutcome::Stale, false },
    ended = { Replica { removed_for_good: true, ..said("a", 1, "x") }, HeartbeatOutcome::Changed, true },
    another_at_its_address = { said("b", 1, "x"), HeartbeatOutcome::Changed, true },
    another_heard_of_earlier = { Replica { age_ms: 900, ..said("b", 1, "x") }, HeartbeatOutcome::Changed, false },
    another_elsewhere = { said("b", 1, "y"), HeartbeatOutcome::Changed, false },
)]
fn beats_merge_in_any_order(news: Replica, heard: HeartbeatOutcome, a_has_ended: bool) {
    let mut registry = ReplicaRegistry::default();
    registry.observe(1_000, &said("a", 2, "x"), &mut Vec::new());
    assert_eq!(registry.observe(1_500, &news, &mut Vec::new()), heard);
    assert_eq!(
        registry.get("a").unwrap().replica.removed_for_good,
        a_has_ended
    );
}

/// The digest is kept until something of it changes: it is the same for who asked for it before each change.
#[parameterized(
    newer = { said("a", 3, "x") },
    drains = { Replica { draining: true, ..said("a", 3, "x") } },
    moved = { said("a", 3, "z") },
    ended = { Replica { removed_for_good: true, ..said("a", 1, "x") } },
    another_at_its_address = { said("b", 1, "x") },
    another_elsewhere = { said("b", 1, "y") },
)]
fn a_digest_that_is_kept_is_the_one_made_anew(news: Replica) {
    let (mut asked, mut silent) = (ReplicaRegistry::default(), ReplicaRegistry::default());
    for registry in [&mut asked, &mut silent] {
        registry.observe(1_000, &said("a", 2, "x"), &mut Vec::new());
    }
    let before = asked.digest();
    for registry in [&mut asked, &mut silent] {
        registry.observe(1_500, &news, &mut Vec::new());
    }
    assert_eq!(asked.digest(), silent.digest());
    assert_eq!(
        asked.digest() == before,
        news.id == "a" && news.address == "x" && !news.draining && !news.removed_for_good
    );
    assert!(
        asked.depart(2_000, &news.id) != news.removed_for_good
            && silent.depart(2_000, &news.id) != news.removed_for_good
    );
    assert_eq!(asked.digest(), silent.digest());
}

#[test]
fn an_ended_life_does_not_come_back() {
    let mut registry = ReplicaRegistry::default();
    registry.observe(0, &said("a", 2, "x"), &mut Vec::new());
    assert!(registry.depart(10, "a") && !registry.depart(11, "a"));
    assert_eq!(
        registry.observe(20, &said("a", 3, "x"), &mut Vec::new()),
        HeartbeatOutcome::Stale
    );
    assert!(registry.get("a").unwrap().replica.removed);
    registry.expire(70_000, 4_000);
    assert!(registry.is_empty());
}

#[parameterized(one = { 1, 1 }, half = { 2, 2 }, most = { 3, 0 })]
fn silence_ends_a_few_and_never_most(silent: usize, gone: usize) {
    let mut registry = ReplicaRegistry::default();
    for i in 0..4 {
        let at = if i < silent { 0 } else { 5_000 };
        registry.observe(
            at,
            &said(&format!("r{i}"), 1, &format!("x{i}")),
            &mut Vec::new(),
        );
    }
    assert_eq!(registry.expire(6_000, 4_000).len(), gone);
    if gone > 0 {
        assert_eq!(
            registry.observe(6_100, &said("r0", 2, "x0"), &mut Vec::new()),
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
fn the_log_tells_what_came_after_a_place(place: u64, changes: Option<usize>) {
    let mut log = ChangeLog::new(3);
    ["a", "b", "c", "d", "e"].iter().for_each(|i| log.add(i));
    assert_eq!(log.since(place).map(|c| c.len()), changes);
}

#[test]
fn shares_stay_within_the_whole_as_fronts_come_and_go() {
    let mut budget = RetryBudget::new(12.0, 10_000);
    budget.begin(0, true);
    assert_eq!(budget.grant(0, "a", 1, 1), 6.0);
    assert_eq!(budget.grant(0, "b", 1, 2), 4.0);
    // Of a's greater share all may be in use until its lease and a window have passed.
    assert_eq!(budget.grant(100, "a", 1, 2), 4.0);
    assert_eq!(budget.grant(100, "c", 1, 3), 2.0);
    assert!(budget.granted(100) <= 12.0);
    // A new life has what the old one cannot have in use.
    assert_eq!(budget.grant(200, "a", 2, 3), 0.0);
    for at in [5_000, 10_000, 14_000] {
        budget.grant(at, "b", 1, 3);
        budget.grant(at, "c", 1, 3);
    }
    assert_eq!(budget.grant(15_300, "a", 2, 3), 3.0);
    assert!(budget.granted(15_300) <= 12.0);
}

#[test]
fn a_new_holder_waits_until_all_that_was_given_has_ended() {
    let mut budget = RetryBudget::new(12.0, 10_000);
    budget.begin(1_000, false);
    assert_eq!(budget.grant(15_999, "a", 1, 1), 0.0);
    assert_eq!(budget.grant(16_000, "a", 1, 1), 6.0);
}

fn address(n: usize) -> String {
    format!("10.0.0.{n}:80")
}

fn hub() -> ControlNode {
    hub_of(3)
}

fn hub_of(core: usize) -> ControlNode {
    let bootstrap: Vec<String> = (1..=core).map(address).collect();
    let voters: Vec<Voter> = bootstrap
        .iter()
        .map(|a| Voter {
            id: genesis_id(a),
            address: a.clone(),
        })
        .collect();
    let local = NodeConfig {
        name: "hub-1".into(),
        zone: "z".into(),
        incarnation: 1,
        control_address: address(1),
        may_vote: true,
        min_voters: 3,
        heartbeat_interval: 1_000,
        bootstrap,
        is_genesis: true,
        retry_allowance: 10.0,
        retry_window: 10_000,
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
        0,
    )
}

fn meet(control: &mut ControlNode, now: u64, link: u64, n: usize, version: u32) -> Vec<Effect> {
    let (name, disk) = (format!("hub-{n}"), genesis_id(&address(n)));
    let mut out = Vec::new();
    let life = n as u64 * 100;
    let hello = Hello {
        version,
        name,
        incarnation: life,
        control_address: address(n),
        node_id: disk,
        ..Hello::default()
    };
    control.opened(link, &mut out);
    control.on_message(now, link, PeerMessage::Hello(hello), &mut out);
    control.on_message(now, link, round_trip(now), &mut out);
    out
}

/// A heartbeat of a peer that has heard what was said at `now`.
fn round_trip(now: u64) -> PeerMessage {
    let beat = Heartbeat {
        has_quorum: true,
        sent_at: now,
        echoed_sent_at: Some(now),
        durable_value_number: Some(0),
        ..Heartbeat::default()
    };
    PeerMessage::Heartbeat(beat)
}

fn beat(phase: &str, call_count: u64) -> ReplicaHeartbeat {
    let text = format!(
        r#"{{"backend":"s","address":"10.9.0.1:1","zone":"z","phase":"{phase}","call_count":{call_count}}}"#
    );
    serde_json::from_str(&text).unwrap()
}

fn answers(out: &[Effect]) -> Vec<&Response> {
    out.iter()
        .filter_map(|o| {
            if let Effect::Respond {
                response: answer, ..
            } = o
            {
                Some(answer)
            } else {
                None
            }
        })
        .collect()
}

#[test]
fn alone_a_hub_takes_no_beats() {
    let (mut control, mut out) = (hub(), Vec::new());
    control.on_replica_heartbeat(0, 1, "i", beat("available", 1), &mut out);
    assert!(matches!(answers(&out)[..], [Response::Unavailable(_)]));
    meet(&mut control, 0, 1, 2, VERSION);
    out.clear();
    control.on_replica_heartbeat(0, 2, "i", beat("available", 1), &mut out);
    assert_eq!(answers(&out), [&Response::Acknowledged(Some(address(1)))]);
}

#[test]
fn a_drain_is_acknowledged_when_more_than_half_know() {
    let (mut control, mut out) = (hub(), Vec::new());
    meet(&mut control, 0, 1, 2, VERSION);
    control.on_replica_heartbeat(0, 1, "i", beat("draining", 1), &mut out);
    assert!(answers(&out).is_empty());
    let asks = |o: &Effect| matches!(o, Effect::Send { message: PeerMessage::ControlUpdate(g), .. } if g.update_id == 1);
    assert!(out.iter().any(asks));
    out.clear();
    control.on_message(
        10,
        1,
        PeerMessage::UpdateAck(UpdateAck { update_id: 1 }),
        &mut out,
    );
    assert_eq!(answers(&out), [&Response::Acknowledged(None)]);
}

#[test]
fn a_drain_that_nobody_else_knows_is_not_acknowledged() {
    let (mut control, mut out) = (hub(), Vec::new());
    meet(&mut control, 0, 1, 2, VERSION);
    control.on_replica_heartbeat(0, 1, "i", beat("draining", 1), &mut out);
    control.closed(5, 1, &mut out);
    control.on_message(
        10,
        1,
        PeerMessage::UpdateAck(UpdateAck { update_id: 1 }),
        &mut out,
    );
    assert!(answers(&out).is_empty());
    control.tick(1_000, &mut out);
    assert!(matches!(answers(&out)[..], [Response::Unavailable(_)]));
}

#[test]
fn a_drain_is_not_acknowledged_by_the_word_of_one_that_has_gone() {
    let (mut control, mut out) = (hub_of(5), Vec::new());
    for n in 2..=4 {
        meet(&mut control, 0, n as u64, n, VERSION);
    }
    control.on_replica_heartbeat(0, 1, "i", beat("draining", 1), &mut out);
    control.on_message(
        10,
        2,
        PeerMessage::UpdateAck(UpdateAck { update_id: 1 }),
        &mut out,
    );
    control.closed(20, 2, &mut out);
    control.on_message(
        30,
        3,
        PeerMessage::UpdateAck(UpdateAck { update_id: 1 }),
        &mut out,
    );
    assert!(answers(&out).is_empty());
    control.on_message(
        40,
        4,
        PeerMessage::UpdateAck(UpdateAck { update_id: 1 }),
        &mut out,
    );
    assert_eq!(answers(&out), [&Response::Acknowledged(None)]);
}

#[test]
fn another_version_and_its_own_life_are_let_go() {
    let mut control = hub();
    let out = meet(&mut control, 0, 1, 2, VERSION + 1);
    assert!(out.iter().any(|o| matches!(o, Effect::Close(1))));
    let mut out = Vec::new();
    let own = Hello {
        version: VERSION,
        incarnation: 1,
        control_address: address(1),
        ..Hello::default()
    };
    control.on_message(0, 2, PeerMessage::Hello(own), &mut out);
    assert!(out.iter().any(|o| matches!(o, Effect::Close(2))));
}

#[test]
fn a_silent_session_ends_and_its_hub_is_dialled_again() {
    let (mut control, mut out) = (hub(), Vec::new());
    meet(&mut control, 0, 1, 2, VERSION);
    meet(&mut control, 0, 2, 3, VERSION);
    for now in (200..2_200).step_by(200) {
        control.on_message(now, 2, round_trip(now), &mut out);
        control.tick(now, &mut out);
    }
    assert!(
        out.iter().any(|o| matches!(o, Effect::Close(1)))
            && !out.iter().any(|o| matches!(o, Effect::Close(2)))
    );
    assert!(
        out.iter()
            .any(|o| matches!(o, Effect::Dial(a) if *a == address(2)))
    );
    assert!(control.in_contact(2_000));
}
