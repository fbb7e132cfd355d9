//! A node that is partitioned or was paused must not confirm anything that it cannot know to be current.

use crate::cluster::{Cluster, address, committed, ms};
use linenthread_consensus::{DurableState, NodeId};
use linenthread_control::{
    CONTACT_TIMEOUT, CallId, ControlNode, Effect, Incarnation, NodeConfig, Order, ReplicaHeartbeat,
    Response, Revision, SessionId,
};
use linenthread_messages::{
    Heartbeat, Hello, PeerMessage, ReadReply, UpdateAck, VERSION, Value, Voter,
};
use linenthread_time::{Instant, whole_millis};
use yare::parameterized;

const PEER: SessionId = SessionId(1);
const INGRESS_NODE: SessionId = SessionId(9);

fn contact_timeout_ms() -> u64 {
    whole_millis(CONTACT_TIMEOUT)
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn node() -> ControlNode {
    let bootstrap: Vec<String> = (0..3).map(address).collect();
    let voter = |a: &String| Voter {
        id: NodeId::genesis(a).0,
        address: a.clone(),
    };
    let voters = bootstrap.iter().map(voter).collect();
    let config = NodeConfig {
        name: "node-0".into(),
        zone: "z".into(),
        incarnation: Incarnation::new(1),
        control_address: address(0),
        voter_eligible: true,
        min_voters: 3,
        heartbeat_interval: ms(1_000),
        bootstrap,
        is_genesis: true,
        retry_allowance: 10.0,
        retry_window: ms(10_000),
        usage: None,
    };
    let value = Value {
        voters,
        revision: 7,
        document: "document".into(),
        ..Value::default()
    };
    ControlNode::new(
        config,
        NodeId::genesis(&address(0)),
        DurableState::default(),
        Some(value),
        Instant::START,
    )
}

fn receive(
    control: &mut ControlNode,
    now: u64,
    session: SessionId,
    message: PeerMessage,
) -> Vec<Effect> {
    let mut effects = Vec::new();
    control.on_message(at(now), session, message, &mut effects);
    effects
}

fn hello(n: usize) -> PeerMessage {
    let control_address = address(n);
    let node_id = NodeId::genesis(&control_address).0;
    let name = format!("node-{n}");
    PeerMessage::Hello(Hello {
        version: VERSION,
        name,
        incarnation: 100,
        control_address,
        node_id,
        ..Hello::default()
    })
}

fn ingress_hello() -> PeerMessage {
    let name = "ingress".to_owned();
    PeerMessage::Hello(Hello {
        version: VERSION,
        name,
        incarnation: 900,
        ..Hello::default()
    })
}

fn heartbeat(sent_at: u64, echoed_sent_at: Option<u64>) -> PeerMessage {
    PeerMessage::Heartbeat(Heartbeat {
        has_quorum: true,
        sent_at,
        echoed_sent_at,
        ..Heartbeat::default()
    })
}

fn node_with_quorum(now: u64) -> ControlNode {
    let mut control = node();
    control.on_session_opened(PEER, &mut Vec::new());
    receive(&mut control, now, PEER, hello(1));
    receive(&mut control, now, PEER, heartbeat(now, Some(now)));
    control
}

fn replica_heartbeat(phase: &str, call_count: u64) -> ReplicaHeartbeat {
    let text = format!(
        r#"{{"backend":"s","address":"10.9.0.1:1","zone":"z","phase":"{phase}","call_count":{call_count}}}"#
    );
    serde_json::from_str(&text).unwrap()
}

fn response(effect: &Effect) -> Option<&Response> {
    if let Effect::Respond { response, .. } = effect {
        Some(response)
    } else {
        None
    }
}

fn responses(effects: &[Effect]) -> Vec<&Response> {
    effects.iter().filter_map(response).collect()
}

/// Returns the reply to the read request among these effects, from a peer that knows no newer value.
fn read_reply(effects: &[Effect]) -> PeerMessage {
    let read_id = effects.iter().find_map(|effect| match effect {
        Effect::Send {
            message: PeerMessage::ReadRequest(request),
            ..
        } => Some(request.read_id),
        _ => None,
    });
    PeerMessage::ReadReply(ReadReply {
        read_id: read_id.expect("a read request was sent"),
        decided_number: 0,
        has_undecided_value: false,
    })
}

/// The most complete update that an ingress node was sent.
#[derive(Debug, PartialEq)]
enum SentUpdate {
    Nothing,
    Replicas,
    Configuration,
}

fn sent_update(effects: &[Effect]) -> SentUpdate {
    let update = |e: &Effect| match e {
        Effect::Send {
            session: INGRESS_NODE,
            message: PeerMessage::IngressUpdate(update),
        } => Some(update.value.is_some()),
        _ => None,
    };
    let has_configuration: Vec<bool> = effects.iter().filter_map(update).collect();
    if has_configuration.is_empty() {
        SentUpdate::Nothing
    } else if has_configuration.contains(&true) {
        SentUpdate::Configuration
    } else {
        SentUpdate::Replicas
    }
}

#[parameterized(
    acknowledged = { Some(0), 100, true },
    just_in_time = { Some(0), contact_timeout_ms(), true },
    too_long_ago = { Some(0), contact_timeout_ms() + 1, false },
    received_but_not_acknowledged = { None, 100, false },
    echo_from_the_future = { Some(1 << 40), contact_timeout_ms() + 1, false },
)]
fn contact_requires_a_recent_round_trip(echo: Option<u64>, now: u64, expected: bool) {
    let mut control = node();
    control.on_session_opened(PEER, &mut Vec::new());
    receive(&mut control, 0, PEER, hello(1));
    receive(&mut control, 0, PEER, heartbeat(0, echo));
    assert_eq!(control.has_quorum(at(now)), expected);
    // Messages that arrive from the peer do not prove that messages reach the peer.
    if echo.is_none() {
        for now in (500..5_000).step_by(500) {
            receive(&mut control, now, PEER, heartbeat(now, None));
            assert!(!control.has_quorum(at(now)));
        }
    }
}

#[test]
fn a_node_that_receives_messages_but_cannot_send_any_acknowledges_no_calls() {
    let mut control = node_with_quorum(0);
    let mut effects = Vec::new();
    for now in (200..=2_200).step_by(200) {
        receive(&mut control, now, PEER, heartbeat(now, Some(0)));
        control.tick(at(now), &mut effects);
    }
    effects.clear();
    control.on_replica_heartbeat(
        at(2_250),
        CallId(1),
        "i",
        replica_heartbeat("available", 1),
        &mut effects,
    );
    control.on_replica_departure(at(2_250), CallId(2), "i", &mut effects);
    assert!(
        matches!(
            responses(&effects)[..],
            [Response::Unavailable(_), Response::Unavailable(_)]
        ),
        "{effects:?}"
    );
}

#[test]
fn a_node_that_resumes_after_a_pause_does_not_answer_from_stale_state() {
    let mut control = node_with_quorum(0);
    receive(&mut control, 0, INGRESS_NODE, ingress_hello());
    let mut effects = Vec::new();
    control.on_replica_heartbeat(
        at(10),
        CallId(1),
        "i",
        replica_heartbeat("draining", 1),
        &mut effects,
    );
    assert!(responses(&effects).is_empty());
    effects.clear();
    // Calls and messages that were queued during the pause are handled before any tick.
    control.on_replica_heartbeat(
        at(20_000),
        CallId(2),
        "k",
        replica_heartbeat("available", 1),
        &mut effects,
    );
    effects.extend(receive(
        &mut control,
        20_000,
        PEER,
        PeerMessage::UpdateAck(UpdateAck { update_id: 1 }),
    ));
    control.on_replica_departure(at(20_000), CallId(3), "i", &mut effects);
    assert!(matches!(
        responses(&effects)[..],
        [
            Response::Unavailable(_),
            Response::Unavailable(_),
            Response::Unavailable(_)
        ]
    ));
    assert!(
        effects
            .iter()
            .any(|e| matches!(e, Effect::Close(INGRESS_NODE))),
        "the sessions of its ingress nodes are closed"
    );
    effects.extend(receive(
        &mut control,
        20_000,
        SessionId(10),
        ingress_hello(),
    ));
    assert!(
        sent_update(&effects) == SentUpdate::Nothing && control.lease_epoch(at(20_000)).is_none()
    );
}

#[test]
fn a_read_that_was_pending_during_a_pause_is_answered_as_unavailable() {
    let mut control = node_with_quorum(0);
    let mut effects = Vec::new();
    control.read_configuration(at(10), CallId(1), &mut effects);
    let reply = read_reply(&effects);
    let effects = receive(&mut control, 20_000, PEER, reply);
    assert!(matches!(
        responses(&effects)[..],
        [Response::Unavailable(_)]
    ));
}

#[test]
fn an_ingress_node_is_sent_the_configuration_only_after_a_confirming_read() {
    let mut control = node_with_quorum(0);
    let effects = receive(&mut control, 0, INGRESS_NODE, ingress_hello());
    assert_eq!(sent_update(&effects), SentUpdate::Replicas);
    let reply = read_reply(&effects);
    let effects = receive(&mut control, 5, PEER, reply);
    assert_eq!(sent_update(&effects), SentUpdate::Configuration);
}

#[test]
fn a_node_out_of_contact_drops_its_ingress_nodes_and_sends_new_ones_no_updates() {
    let mut control = node_with_quorum(0);
    receive(&mut control, 0, INGRESS_NODE, ingress_hello());
    let mut effects = Vec::new();
    for now in (200..=contact_timeout_ms() + 400).step_by(200) {
        receive(&mut control, now, INGRESS_NODE, heartbeat(now, None));
        control.tick(at(now), &mut effects);
    }
    assert!(
        effects
            .iter()
            .any(|e| matches!(e, Effect::Close(INGRESS_NODE)))
    );
    let mut effects = receive(
        &mut control,
        contact_timeout_ms() + 500,
        INGRESS_NODE,
        ingress_hello(),
    );
    control.tick(at(contact_timeout_ms() + 1_000), &mut effects);
    assert_eq!(sent_update(&effects), SentUpdate::Nothing);
    let reports_no_quorum = |e: &Effect| matches!(e, Effect::Send { session: INGRESS_NODE, message: PeerMessage::Heartbeat(h) } if !h.has_quorum);
    assert!(
        effects.iter().any(reports_no_quorum),
        "its heartbeat reports that it has no quorum"
    );
}

#[test]
fn a_partitioned_node_neither_rejects_nor_confirms_an_order() {
    let mut cluster = Cluster::new(3, 3);
    assert_eq!(
        cluster.order_until_committed(ms(1_000), 0, 1),
        Some(committed(1))
    );
    for other in 1..3 {
        cluster.blocked.extend([(0, other), (other, 0)]);
    }
    assert_eq!(
        cluster.order_until_committed(ms(5_000), 1, 2),
        Some(committed(2))
    );
    cluster.run(ms(3_000));
    // The newest revision that it knows is 1, so it can judge none of these orders conclusively.
    for (base, revision) in [(0, 1), (0, 9), (1, 3)] {
        let call = cluster.order(0, base, revision);
        cluster.run(ms(1_500));
        let response = &cluster.nodes[0].responses[&call];
        assert!(
            matches!(response, Response::Unavailable(_)),
            "{base} {revision}: {response:?}"
        );
    }
    assert!(!cluster.control(0).has_quorum(cluster.now));
}

#[parameterized(outgoing = { true }, incoming = { false })]
fn a_one_way_partition_ends_contact_whichever_direction_is_blocked(outgoing: bool) {
    let mut cluster = Cluster::new(3, 3);
    for other in 1..3 {
        cluster
            .blocked
            .insert(if outgoing { (0, other) } else { (other, 0) });
    }
    let has_quorum = |c: &Cluster, n: usize| c.control(n).has_quorum(c.now);
    assert!(cluster.run_until(CONTACT_TIMEOUT + ms(100), |c| !has_quorum(c, 0)));
    assert!(has_quorum(&cluster, 1) && has_quorum(&cluster, 2));
    cluster.run(ms(4_000));
    assert!(cluster.leader().is_some_and(|n| n != 0) && !has_quorum(&cluster, 0));
}

#[test]
fn a_paused_leader_has_lost_the_lease_and_rejects_calls_when_it_resumes() {
    let mut cluster = Cluster::new(3, 3);
    assert_eq!(
        cluster.order_until_committed(ms(1_000), 0, 1),
        Some(committed(1))
    );
    let leader = cluster.leader().unwrap();
    cluster.nodes[leader].paused = true;
    cluster.run(ms(100));
    assert_eq!(
        cluster.order_until_committed(ms(6_000), 1, 2),
        Some(committed(2))
    );
    cluster.run(ms(12_000));
    cluster.resume(leader, |control, now, effects| {
        let order = Order {
            base: Revision::NONE,
            revision: Revision::new(9),
            document: b"late".to_vec(),
        };
        control.replace_configuration(now, CallId(1 << 32), order, effects);
        control.read_configuration(now, CallId(2 << 32), effects);
        control.on_replica_heartbeat(
            now,
            CallId(3 << 32),
            "i",
            replica_heartbeat("available", 1),
            effects,
        );
        assert!(control.lease_epoch(now).is_none() && !control.has_quorum(now));
    });
    let responses = cluster.nodes[leader].responses.clone();
    for call in [1 << 32, 2 << 32, 3 << 32].map(CallId) {
        assert!(
            matches!(responses.get(&call), Some(Response::Unavailable(_))),
            "{:?}",
            responses.get(&call)
        );
    }
    assert!(cluster.run_until(ms(3_000), |c| c.control(leader).has_quorum(c.now)));
}

/// Returns a cluster of three voters and a standby, with the index of the leader.
fn three_voters_and_a_standby() -> (Cluster, usize) {
    let mut cluster = Cluster::new(4, 3);
    cluster.start(3);
    cluster.run(ms(4_000));
    let leader = cluster.leader().expect("a leader");
    (cluster, leader)
}

#[test]
fn a_voter_that_keeps_reconnecting_without_a_round_trip_is_still_replaced() {
    let (mut cluster, leader) = three_voters_and_a_standby();
    let crashed = (0..3).find(|n| *n != leader).expect("three voters");
    cluster.crash(crashed);
    for attempt in 0..10 {
        cluster.run_on(leader, |control, now, effects| {
            let session = SessionId(1_000_000 + attempt);
            let hello = PeerMessage::Hello(Hello {
                version: VERSION,
                name: format!("node-{crashed}"),
                incarnation: 5_000 + attempt,
                control_address: address(crashed),
                node_id: NodeId::genesis(&address(crashed)).0,
                voter_eligible: true,
                ..Hello::default()
            });
            control.on_session_opened(session, effects);
            control.on_message(now, session, hello, effects);
            control.on_session_closed(now, session, effects);
        });
        cluster.run(ms(400));
    }
    assert!(!cluster.voters(leader).contains(&address(crashed)));
}

#[test]
fn a_lost_leader_is_replaced_as_a_voter_before_another_node_acquires_the_lease() {
    let (mut cluster, lost) = three_voters_and_a_standby();
    let survivor = (0..3).find(|n| *n != lost).expect("three voters");
    cluster.wipe(lost);
    let is_replaced = |c: &Cluster| !c.voters(survivor).contains(&address(lost));
    assert!(cluster.run_until(ms(1_900), is_replaced));
    assert_eq!(
        cluster.leader(),
        None,
        "the replacement did not wait for a new lease"
    );
    cluster.run(ms(4_500));
    assert!(cluster.leader().is_some());
}
