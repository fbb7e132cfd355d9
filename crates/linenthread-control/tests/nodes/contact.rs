//! What a node that is cut off, or was frozen, still says: nothing that it cannot know.

use crate::cluster::{Cluster, address};
use linenthread_consensus::{DurableState, genesis_id};
use linenthread_control::{CONTACT, ControlNode, Effect, NodeConfig, ReplicaHeartbeat, Response};
use linenthread_messages::{
    Heartbeat, Hello, PeerMessage, ReadReply, UpdateAck, VERSION, Value, Voter,
};
use yare::parameterized;

const PEER: u64 = 1;
const FRONT: u64 = 9;

fn node() -> ControlNode {
    let bootstrap: Vec<String> = (0..3).map(address).collect();
    let voter = |a: &String| Voter {
        id: genesis_id(a),
        address: a.clone(),
    };
    let voters = bootstrap.iter().map(voter).collect();
    let local = NodeConfig {
        name: "node-0".into(),
        zone: "z".into(),
        incarnation: 1,
        control_address: address(0),
        may_vote: true,
        min_voters: 3,
        heartbeat_interval: 1_000,
        bootstrap,
        is_genesis: true,
        retry_allowance: 10.0,
        retry_window: 10_000,
    };
    let value = Value {
        voters,
        revision: 7,
        document: "document".into(),
        ..Value::default()
    };
    ControlNode::new(
        local,
        genesis_id(&address(0)),
        DurableState::default(),
        Some(value),
        0,
    )
}

fn says(control: &mut ControlNode, now: u64, link: u64, message: PeerMessage) -> Vec<Effect> {
    let mut effects = Vec::new();
    control.on_message(now, link, message, &mut effects);
    effects
}

fn hello(n: usize) -> PeerMessage {
    let control = address(n);
    let disk = genesis_id(&control);
    let name = format!("node-{n}");
    PeerMessage::Hello(Hello {
        version: VERSION,
        name,
        incarnation: 100,
        control_address: control,
        node_id: disk,
        ..Hello::default()
    })
}

fn front_hello() -> PeerMessage {
    let name = "front".to_owned();
    PeerMessage::Hello(Hello {
        version: VERSION,
        name,
        incarnation: 900,
        ..Hello::default()
    })
}

fn heartbeat(sent: u64, echo: Option<u64>) -> PeerMessage {
    PeerMessage::Heartbeat(Heartbeat {
        has_quorum: true,
        sent_at: sent,
        echoed_sent_at: echo,
        ..Heartbeat::default()
    })
}

fn in_contact_at(now: u64) -> ControlNode {
    let mut control = node();
    control.opened(PEER, &mut Vec::new());
    says(&mut control, now, PEER, hello(1));
    says(&mut control, now, PEER, heartbeat(now, Some(now)));
    control
}

fn beat(phase: &str, call_count: u64) -> ReplicaHeartbeat {
    let text = format!(
        r#"{{"backend":"s","address":"10.9.0.1:1","zone":"z","phase":"{phase}","call_count":{call_count}}}"#
    );
    serde_json::from_str(&text).unwrap()
}

fn answer(effect: &Effect) -> Option<&Response> {
    if let Effect::Respond {
        response: answer, ..
    } = effect
    {
        Some(answer)
    } else {
        None
    }
}

fn answers(effects: &[Effect]) -> Vec<&Response> {
    effects.iter().filter_map(answer).collect()
}

/// Whether a front is told of replicas or a configuration, and whether of the configuration.
fn told(effects: &[Effect]) -> (bool, bool) {
    let update = |e: &Effect| match e {
        Effect::Send {
            session: FRONT,
            message: PeerMessage::IngressUpdate(update),
        } => Some(update.value.is_some()),
        _ => None,
    };
    let updates: Vec<bool> = effects.iter().filter_map(update).collect();
    (!updates.is_empty(), updates.contains(&true))
}

#[parameterized(
    answered = { Some(0), 100, true },
    just_in_time = { Some(0), CONTACT, true },
    too_long_ago = { Some(0), CONTACT + 1, false },
    heard_and_not_heard_by_it = { None, 100, false },
    from_the_time_to_come = { Some(1 << 40), CONTACT + 1, false },
)]
fn contact_rests_on_round_trips(echo: Option<u64>, now: u64, is: bool) {
    let mut control = node();
    control.opened(PEER, &mut Vec::new());
    says(&mut control, 0, PEER, hello(1));
    says(&mut control, 0, PEER, heartbeat(0, echo));
    assert_eq!(control.in_contact(now), is);
    // That it is heard says nothing of whether it is heard itself.
    if echo.is_none() {
        for at in (500..5_000).step_by(500) {
            says(&mut control, at, PEER, heartbeat(at, None));
            assert!(!control.in_contact(at));
        }
    }
}

#[test]
fn one_that_hears_and_is_not_heard_acknowledges_nothing() {
    let mut control = in_contact_at(0);
    let mut effects = Vec::new();
    for now in (200..=2_200).step_by(200) {
        says(&mut control, now, PEER, heartbeat(now, Some(0)));
        control.tick(now, &mut effects);
    }
    effects.clear();
    control.on_replica_heartbeat(2_250, 1, "i", beat("available", 1), &mut effects);
    control.on_replica_departure(2_250, 2, "i", &mut effects);
    assert!(
        matches!(
            answers(&effects)[..],
            [Response::Unavailable(_), Response::Unavailable(_)]
        ),
        "{effects:?}"
    );
}

#[test]
fn one_that_wakes_answers_nothing_by_what_it_knew() {
    let mut control = in_contact_at(0);
    says(&mut control, 0, FRONT, front_hello());
    let mut effects = Vec::new();
    control.on_replica_heartbeat(10, 1, "i", beat("draining", 1), &mut effects);
    assert!(answers(&effects).is_empty());
    effects.clear();
    // Calls and messages that have waited come before any tick.
    control.on_replica_heartbeat(20_000, 2, "k", beat("available", 1), &mut effects);
    effects.extend(says(
        &mut control,
        20_000,
        PEER,
        PeerMessage::UpdateAck(UpdateAck { update_id: 1 }),
    ));
    control.on_replica_departure(20_000, 3, "i", &mut effects);
    assert!(matches!(
        answers(&effects)[..],
        [
            Response::Unavailable(_),
            Response::Unavailable(_),
            Response::Unavailable(_)
        ]
    ));
    assert!(
        effects.iter().any(|e| matches!(e, Effect::Close(FRONT))),
        "its fronts go elsewhere"
    );
    effects.extend(says(&mut control, 20_000, 10, front_hello()));
    assert!(!told(&effects).0 && control.holds_lease(20_000).is_none());
}

#[test]
fn a_read_that_waited_through_a_freeze_has_no_answer() {
    let mut control = in_contact_at(0);
    let mut effects = Vec::new();
    control.read(10, 1, &mut effects);
    let question = effects.iter().find_map(|e| match e {
        Effect::Send {
            message: PeerMessage::ReadRequest(request),
            ..
        } => Some(request.read_id),
        _ => None,
    });
    let reply = ReadReply {
        read_id: question.unwrap(),
        decided: 0,
        pending: false,
    };
    let effects = says(&mut control, 20_000, PEER, PeerMessage::ReadReply(reply));
    assert!(matches!(answers(&effects)[..], [Response::Unavailable(_)]));
}

#[test]
fn a_front_is_told_the_configuration_only_once_it_was_read_anew() {
    let mut control = in_contact_at(0);
    let effects = says(&mut control, 0, FRONT, front_hello());
    assert_eq!(told(&effects), (true, false));
    let question = effects.iter().find_map(|e| match e {
        Effect::Send {
            message: PeerMessage::ReadRequest(request),
            ..
        } => Some(request.read_id),
        _ => None,
    });
    let reply = ReadReply {
        read_id: question.unwrap(),
        decided: 0,
        pending: false,
    };
    let effects = says(&mut control, 5, PEER, PeerMessage::ReadReply(reply));
    assert_eq!(told(&effects), (true, true));
}

#[test]
fn out_of_contact_it_lets_its_fronts_go_and_tells_new_ones_nothing() {
    let mut control = in_contact_at(0);
    says(&mut control, 0, FRONT, front_hello());
    let mut effects = Vec::new();
    for now in (200..=CONTACT + 400).step_by(200) {
        says(&mut control, now, FRONT, heartbeat(now, None));
        control.tick(now, &mut effects);
    }
    assert!(effects.iter().any(|e| matches!(e, Effect::Close(FRONT))));
    let mut effects = says(&mut control, CONTACT + 500, FRONT, front_hello());
    control.tick(CONTACT + 1_000, &mut effects);
    assert!(!told(&effects).0);
    let outside = |e: &Effect| matches!(e, Effect::Send { session: FRONT, message: PeerMessage::Heartbeat(h) } if !h.has_quorum);
    assert!(
        effects.iter().any(outside),
        "it says that it is out of contact"
    );
}

#[test]
fn one_that_is_cut_off_refuses_and_confirms_no_order() {
    let mut cluster = Cluster::new(3, 3);
    assert_eq!(
        cluster.order_until_answered(1_000, 0, 1),
        Some(Response::Committed(1))
    );
    for other in 1..3 {
        cluster.cut.extend([(0, other), (other, 0)]);
    }
    assert_eq!(
        cluster.order_until_answered(5_000, 1, 2),
        Some(Response::Committed(2))
    );
    cluster.run(3_000);
    // It has revision 1 as the newest: neither order is its to judge.
    for (base, revision) in [(0, 1), (0, 9), (1, 3)] {
        let token = cluster.order(0, base, revision);
        cluster.run(1_500);
        let answer = &cluster.nodes[0].answers[&token];
        assert!(
            matches!(answer, Response::Unavailable(_)),
            "{base} {revision}: {answer:?}"
        );
    }
    assert!(!cluster.control(0).in_contact(cluster.now));
}

#[parameterized(out = { true }, inward = { false })]
fn a_cut_in_one_direction_ends_contact_on_both_sides(outgoing: bool) {
    let mut cluster = Cluster::new(3, 3);
    for other in 1..3 {
        cluster
            .cut
            .insert(if outgoing { (0, other) } else { (other, 0) });
    }
    let contact = |c: &Cluster, n: usize| c.control(n).in_contact(c.now);
    assert!(cluster.run_until(CONTACT + 100, |c| !contact(c, 0)));
    assert!(contact(&cluster, 1) && contact(&cluster, 2));
    cluster.run(4_000);
    assert!(cluster.leader().is_some_and(|n| n != 0) && !contact(&cluster, 0));
}

#[test]
fn a_frozen_leader_leads_no_more_when_it_wakes_and_asks_anew() {
    let mut cluster = Cluster::new(3, 3);
    assert_eq!(
        cluster.order_until_answered(1_000, 0, 1),
        Some(Response::Committed(1))
    );
    let leader = cluster.leader().unwrap();
    cluster.nodes[leader].frozen = true;
    cluster.run(100);
    assert_eq!(
        cluster.order_until_answered(6_000, 1, 2),
        Some(Response::Committed(2))
    );
    cluster.run(12_000);
    cluster.thaw(leader, |control, now, effects| {
        control.replace(now, 1 << 32, 0, 9, b"late".to_vec(), effects);
        control.read(now, 2 << 32, effects);
        control.on_replica_heartbeat(now, 3 << 32, "i", beat("available", 1), effects);
        assert!(control.holds_lease(now).is_none() && !control.in_contact(now));
    });
    let answers = cluster.nodes[leader].answers.clone();
    for token in [1u64 << 32, 2 << 32, 3 << 32] {
        assert!(
            matches!(answers.get(&token), Some(Response::Unavailable(_))),
            "{:?}",
            answers.get(&token)
        );
    }
    assert!(cluster.run_until(3_000, |c| c.control(leader).in_contact(c.now)));
}
