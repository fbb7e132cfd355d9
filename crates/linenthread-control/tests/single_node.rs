//! A single control node whose peers are simulated by the test: what it acknowledges, and which sessions it closes.

use std::time::Duration;

use linenthread_consensus::{DurableState, NodeId};
use linenthread_control::{
    AfterSync, CallId, ControlNode, Effect, Incarnation, NodeConfig, ReplicaHeartbeat, Response,
    SessionId,
};
use linenthread_messages::{
    ControlUpdate, Heartbeat, Hello, PeerMessage, Record, Replica, UpdateAck, UsageUpdate, VERSION,
    Value, Voter,
};
use linenthread_time::{Instant, WallTime};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
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
            id: NodeId::genesis(a).0,
            address: a.clone(),
        })
        .collect();
    let config = NodeConfig {
        name: "node-1".into(),
        zone: "z".into(),
        incarnation: Incarnation::new(1),
        control_address: address(1),
        voter_eligible: true,
        min_voters: 3,
        heartbeat_interval: ms(1_000),
        bootstrap,
        is_genesis: true,
        retry_allowance: 10.0,
        retry_window: ms(10_000),
        usage: None,
    };
    let genesis = Value {
        voters,
        ..Value::default()
    };
    ControlNode::new(
        config,
        NodeId::genesis(&address(1)),
        DurableState::default(),
        Some(genesis),
        Instant::START,
    )
}

/// Opens a session with control node `n`, which acknowledges the first heartbeat immediately.
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
        node_id: NodeId::genesis(&address(n)).0,
        ..Hello::default()
    };
    control.on_session_opened(session, &mut effects);
    control.on_message(at(now), session, PeerMessage::Hello(hello), &mut effects);
    control.on_message(at(now), session, round_trip(now), &mut effects);
    effects
}

/// Returns a heartbeat of a peer that has received the heartbeat sent at `now`.
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

/// Sends the heartbeat of a draining replica at 0 ms.
fn drain(control: &mut ControlNode, effects: &mut Vec<Effect>) {
    let heartbeat = replica_heartbeat("draining", 1);
    control.on_replica_heartbeat(at(0), CallId(1), "i", heartbeat, effects);
}

/// Completes the sync of all records that the node has written with these effects.
fn sync(control: &mut ControlNode, now: u64, effects: &mut Vec<Effect>) {
    let written: Vec<AfterSync> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Persist { after_sync, .. } => Some(after_sync.clone()),
            _ => None,
        })
        .flatten()
        .collect();
    control.on_synced(at(now), written, effects);
}

/// Acknowledges the first update on behalf of the peer of a session.
fn acknowledge(control: &mut ControlNode, now: u64, session: u64, effects: &mut Vec<Effect>) {
    let ack = PeerMessage::UpdateAck(UpdateAck { update_id: 1 });
    control.on_message(at(now), SessionId(session), ack, effects);
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
fn replica_heartbeats_are_rejected_without_a_quorum() {
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
        [&Response::Acknowledged {
            report_to: Some(address(1))
        }]
    );
}

#[test]
fn a_drain_is_acknowledged_once_a_majority_has_recorded_it() {
    let (mut control, mut effects) = (node(), Vec::new());
    connect(&mut control, 0, 1, 2, VERSION);
    drain(&mut control, &mut effects);
    assert!(responses(&effects).is_empty());
    let requests_ack = |effect: &Effect| matches!(effect, Effect::Send { message: PeerMessage::ControlUpdate(update), .. } if update.update_id == 1);
    assert!(effects.iter().any(requests_ack));
    acknowledge(&mut control, 10, 1, &mut effects);
    assert!(responses(&effects).is_empty(), "it is on one disk of three");
    sync(&mut control, 12, &mut effects);
    assert_eq!(
        responses(&effects),
        [&Response::Acknowledged { report_to: None }]
    );
}

/// Guards against DRAIN of review case 3: another node acknowledged an update that only its memory held.
#[test]
fn a_drain_of_another_node_is_acknowledged_once_it_is_on_disk() {
    let (mut control, mut effects) = (node(), Vec::new());
    connect(&mut control, 0, 1, 2, VERSION);
    let update = ControlUpdate {
        replicas: vec![Replica {
            id: "i".into(),
            address: "10.9.0.1:1".into(),
            call_count: 3,
            draining: true,
            ..Replica::default()
        }],
        update_id: 7,
        ..ControlUpdate::default()
    };
    let message = PeerMessage::ControlUpdate(update);
    control.on_message(at(5), SessionId(1), message, &mut effects);
    let acknowledges = |effect: &Effect| matches!(effect, Effect::Send { session: SessionId(1), message: PeerMessage::UpdateAck(ack) } if ack.update_id == 7);
    assert!(!effects.iter().any(acknowledges));
    let is_recorded = |effect: &Effect| matches!(effect, Effect::Persist { record, .. } if record.drains.len() == 1 && record.replicas.is_empty());
    assert!(effects.iter().any(is_recorded));
    sync(&mut control, 10, &mut effects);
    assert!(effects.iter().any(acknowledges));
}

#[test]
fn a_drain_recorded_by_no_other_node_is_not_acknowledged() {
    let (mut control, mut effects) = (node(), Vec::new());
    connect(&mut control, 0, 1, 2, VERSION);
    drain(&mut control, &mut effects);
    sync(&mut control, 2, &mut effects);
    control.on_session_closed(at(5), SessionId(1), &mut effects);
    acknowledge(&mut control, 10, 1, &mut effects);
    assert!(responses(&effects).is_empty());
    control.tick(at(1_000), &mut effects);
    assert!(matches!(
        responses(&effects)[..],
        [Response::Unavailable(_)]
    ));
}

#[test]
fn the_acknowledgement_of_a_disconnected_node_does_not_count() {
    let (mut control, mut effects) = (node_among(5), Vec::new());
    for n in 2..=4 {
        connect(&mut control, 0, n as u64, n, VERSION);
    }
    drain(&mut control, &mut effects);
    sync(&mut control, 2, &mut effects);
    acknowledge(&mut control, 10, 2, &mut effects);
    control.on_session_closed(at(20), SessionId(2), &mut effects);
    acknowledge(&mut control, 30, 3, &mut effects);
    assert!(responses(&effects).is_empty());
    acknowledge(&mut control, 40, 4, &mut effects);
    assert_eq!(
        responses(&effects),
        [&Response::Acknowledged { report_to: None }]
    );
}

#[test]
fn sessions_with_another_protocol_version_or_with_itself_are_closed() {
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
fn a_timed_out_session_is_closed_and_its_node_redialled() {
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

/// Returns the replica snapshots that the node writes to disk with these effects.
fn snapshots(effects: &[Effect]) -> Vec<(&Record, &[AfterSync])> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Persist { record, after_sync }
                if matches!(after_sync[..], [AfterSync::SnapshotSynced(_)]) =>
            {
                Some((record, &after_sync[..]))
            }
            _ => None,
        })
        .collect()
}

/// Returns a node in contact with a majority that received the heartbeat of a replica at 0 ms.
fn node_with_replica() -> ControlNode {
    let (mut control, mut effects) = (node(), Vec::new());
    connect(&mut control, 0, 1, 2, VERSION);
    let heartbeat = replica_heartbeat("available", 1);
    control.on_replica_heartbeat(at(0), CallId(1), "i", heartbeat, &mut effects);
    control
}

#[test]
fn only_a_snapshot_that_was_not_synced_is_written_again() {
    let mut control = node_with_replica();
    let mut effects = Vec::new();
    control.tick(at(1_200), &mut effects);
    assert_eq!(snapshots(&effects).len(), 1, "the first snapshot");
    effects.clear();
    control.tick(at(4_000), &mut effects);
    assert!(snapshots(&effects).is_empty(), "it may still be in flight");
    control.tick(at(4_400), &mut effects);
    let [(record, after_sync)] = snapshots(&effects)[..] else {
        panic!("a snapshot that is not synced must be written again");
    };
    assert_eq!(record.replicas.len(), 1);
    control.on_synced(at(4_410), after_sync.to_vec(), &mut Vec::new());
    effects.clear();
    for now in (4_600..12_000).step_by(200) {
        control.tick(at(now), &mut effects);
    }
    assert!(snapshots(&effects).is_empty(), "it is synced");
}

#[test]
fn the_snapshot_of_an_empty_registry_removes_the_replicas_from_disk() {
    let mut control = node_with_replica();
    let mut effects = Vec::new();
    control.tick(at(1_200), &mut effects);
    control.on_replica_departure(at(1_300), CallId(2), "i", &mut effects);
    control.tick(at(2_400), &mut effects);
    let written = snapshots(&effects);
    assert_eq!(written.len(), 2, "the replica, and that it departed");
    let mut disk = DurableState::default();
    for (record, _) in written {
        disk.add(record.clone());
    }
    assert_eq!(disk.replicas, []);
}

#[test]
fn a_node_with_two_sessions_is_listed_once_in_the_status() {
    let mut control = node();
    connect(&mut control, 0, 1, 2, VERSION);
    connect(&mut control, 0, 5, 2, VERSION);
    connect(&mut control, 0, 6, 3, VERSION);
    let status = control.members_status(at(10));
    let names: Vec<&str> = status["hubs"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|node| node["name"].as_str())
        .collect();
    assert_eq!(names, ["node-2", "node-3"]);
}

#[test]
fn reloaded_bootstrap_addresses_are_dialled_and_not_forgotten() {
    let mut control = node();
    control.set_bootstrap(at(1_000), &[address(8), address(9)]);
    let mut dialled_late = std::collections::BTreeSet::new();
    for now in (1_200..60_000).step_by(200) {
        let mut effects = Vec::new();
        control.tick(at(now), &mut effects);
        let dialled = effects.into_iter().filter_map(|effect| match effect {
            Effect::Dial(address) => Some(address),
            _ => None,
        });
        if now > 50_000 {
            dialled_late.extend(dialled);
        }
    }
    assert!(dialled_late.contains(&address(8)) && dialled_late.contains(&address(9)));
}

/// Returns the sessions that the node closes with these effects.
fn closed_sessions(effects: &[Effect]) -> Vec<SessionId> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Close(session) => Some(*session),
            _ => None,
        })
        .collect()
}

#[test]
fn the_node_with_the_lower_address_closes_the_older_duplicate_session() {
    let (mut control, mut effects) = (node(), Vec::new());
    connect(&mut control, 0, 1, 2, VERSION);
    connect(&mut control, 0, 5, 2, VERSION);
    connect(&mut control, 0, 6, 0, VERSION);
    connect(&mut control, 0, 7, 0, VERSION);
    control.tick(at(200), &mut effects);
    assert_eq!(
        closed_sessions(&effects),
        [SessionId(1)],
        "node 0 closes its own duplicates"
    );
}

#[test]
fn an_acknowledgement_counts_while_another_session_with_the_node_is_open() {
    let (mut control, mut effects) = (node_among(5), Vec::new());
    connect(&mut control, 0, 1, 2, VERSION);
    connect(&mut control, 0, 5, 2, VERSION);
    connect(&mut control, 0, 3, 3, VERSION);
    drain(&mut control, &mut effects);
    sync(&mut control, 2, &mut effects);
    acknowledge(&mut control, 10, 1, &mut effects);
    control.on_session_closed(at(20), SessionId(1), &mut effects);
    acknowledge(&mut control, 30, 3, &mut effects);
    assert_eq!(
        responses(&effects),
        [&Response::Acknowledged { report_to: None }]
    );
}

#[test]
fn a_drain_is_replicated_again_after_a_change_of_the_voters() {
    let (mut control, mut effects) = (node(), Vec::new());
    connect(&mut control, 0, 1, 2, VERSION);
    drain(&mut control, &mut effects);
    sync(&mut control, 2, &mut effects);
    acknowledge(&mut control, 10, 1, &mut effects);
    assert_eq!(responses(&effects).len(), 1);
    let voters = (1..=4).map(|n| Voter {
        id: NodeId::genesis(&address(n)).0,
        address: address(n),
    });
    let four_voters = Value {
        number: 1,
        voters: voters.collect(),
        voters_since: 1,
        ..Value::default()
    };
    connect(&mut control, 15, 4, 3, VERSION);
    let decided = PeerMessage::Decided(four_voters);
    control.on_message(at(20), SessionId(1), decided, &mut effects);
    effects.clear();
    let repeated = replica_heartbeat("draining", 2);
    control.on_replica_heartbeat(at(30), CallId(2), "i", repeated, &mut effects);
    assert!(
        responses(&effects).is_empty(),
        "two of four voters may not have recorded it"
    );
    sync(&mut control, 35, &mut effects);
    for session in [1, 4] {
        let ack = PeerMessage::UpdateAck(UpdateAck { update_id: 2 });
        control.on_message(at(40), SessionId(session), ack, &mut effects);
    }
    assert_eq!(responses(&effects).len(), 1);
}

/// The true wall-clock time at the start of the monotonic clock.
const TRUE_START_MS: u64 = 1_767_225_600_000;

/// Returns a heartbeat of a peer whose clock is ahead by `error_ms`.
fn heartbeat_with_clock(now: u64, error_ms: u64) -> PeerMessage {
    let PeerMessage::Heartbeat(heartbeat) = round_trip(now) else {
        panic!("no heartbeat")
    };
    PeerMessage::Heartbeat(Heartbeat {
        wall_time_ms: Some(TRUE_START_MS + now + error_ms),
        ..heartbeat
    })
}

/// Opens a session with an ingress node.
fn connect_ingress_node(control: &mut ControlNode, now: u64, session: u64) {
    let mut effects = Vec::new();
    let hello = Hello {
        version: VERSION,
        name: "ingress".into(),
        incarnation: 7,
        ..Hello::default()
    };
    let session = SessionId(session);
    control.on_session_opened(session, &mut effects);
    control.on_message(at(now), session, PeerMessage::Hello(hello), &mut effects);
}

/// Returns the wall time and the agreed time of the heartbeats that a tick sends, with their sessions.
fn times_sent(control: &mut ControlNode, now: u64) -> Vec<(u64, Option<u64>, Option<u64>)> {
    let mut effects = Vec::new();
    control.tick(at(now), &mut effects);
    let since_start = |time: u64| time - TRUE_START_MS;
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Send {
                session,
                message: PeerMessage::Heartbeat(heartbeat),
            } => Some((
                session.0,
                heartbeat.wall_time_ms.map(since_start),
                heartbeat.agreed_time_ms.map(since_start),
            )),
            _ => None,
        })
        .collect()
}

/// Control nodes are sent this node's own clock, which is wrong in this test; ingress nodes are sent the time that the
/// three nodes agree on.
#[test]
fn control_nodes_are_sent_the_local_clock_and_ingress_nodes_the_agreed_time() {
    let mut control = node();
    control.observe_wall_clock(at(100), WallTime::from_millis(TRUE_START_MS + 100 + 5_000));
    for (n, node) in [(2, 2), (3, 3)] {
        connect(&mut control, 100, n, node, VERSION);
        let effects = &mut Vec::new();
        control.on_message(at(100), SessionId(n), heartbeat_with_clock(100, n), effects);
    }
    connect_ingress_node(&mut control, 100, 9);
    assert_eq!(
        times_sent(&mut control, 600),
        [
            (2, Some(5_600), None),
            (3, Some(5_600), None),
            (9, None, Some(603))
        ]
    );
}

#[test]
fn no_agreed_time_is_sent_without_a_quorum() {
    let mut control = node();
    control.observe_wall_clock(at(100), WallTime::from_millis(TRUE_START_MS + 100));
    connect_ingress_node(&mut control, 100, 9);
    assert_eq!(times_sent(&mut control, 600), [(9, None, None)]);
}

/// An unexpected message must not close a session: this node does not report usage.
#[test]
fn an_unexpected_usage_update_does_not_close_the_session() {
    let mut control = node();
    connect(&mut control, 100, 2, 2, VERSION);
    connect_ingress_node(&mut control, 100, 9);
    for session in [2, 9] {
        let mut effects = Vec::new();
        let usage = PeerMessage::UsageUpdate(UsageUpdate::default());
        control.on_message(at(100), SessionId(session), usage, &mut effects);
        assert!(
            !effects
                .iter()
                .any(|effect| matches!(effect, Effect::Close(_))),
            "session {session}"
        );
    }
    let sessions: Vec<u64> = times_sent(&mut control, 600)
        .iter()
        .map(|(session, ..)| *session)
        .collect();
    assert_eq!(sessions, [2, 9]);
}
