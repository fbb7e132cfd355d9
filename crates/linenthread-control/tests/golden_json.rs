//! The JSON of control calls, compared with texts that an earlier version read and wrote.
//!
//! The files under `tests/golden/` were written by commit 464716d. They must never be regenerated to make a test
//! pass: replicas, the client and the operators' own tools depend on these keys.

use std::time::Duration;

use linenthread_consensus::{DurableState, NodeId};
use linenthread_control::{
    CallId, ControlNode, Effect, Incarnation, NodeConfig, ReplicaHeartbeat, ReplicaRegistry,
    SessionId,
};
use linenthread_messages::{Heartbeat, Hello, PeerMessage, Replica, VERSION, Value, Voter};
use linenthread_time::Instant;

/// The body of a replica's heartbeat, with all keys.
const HEARTBEAT: &str = r#"{"backend":"shard-7","address":"10.9.0.1:9000","zone":"zone-b",
    "revision":"r2026.05","capacity":48,"phase":"draining","warmup_ms":1500,"call_count":987654}"#;
/// The body of a replica's heartbeat, with the required keys only.
const SHORT_HEARTBEAT: &str = r#"{"backend":"shard-8","address":"10.9.0.2:9000","zone":"zone-c",
    "phase":"available","call_count":1}"#;

/// When the messages and calls arrive.
const NOW: Instant = Instant::from_millis(1_000);
/// How long after [`NOW`] the status is read.
const READ_AFTER: Duration = Duration::from_millis(50);

fn address(n: usize) -> String {
    format!("10.0.0.{n}:80")
}

fn control_node() -> ControlNode {
    let bootstrap: Vec<String> = (1..=3).map(address).collect();
    let voter = |address: &String| Voter {
        id: NodeId::genesis(address).0,
        address: address.clone(),
    };
    let config = NodeConfig {
        name: "control-1".to_owned(),
        zone: "zone-a".to_owned(),
        incarnation: Incarnation::new(1),
        control_address: address(1),
        voter_eligible: true,
        min_voters: 3,
        heartbeat_interval: Duration::from_millis(1_000),
        bootstrap: bootstrap.clone(),
        is_genesis: true,
        retry_allowance: 10.0,
        retry_window: Duration::from_millis(10_000),
        usage: None,
    };
    let genesis = Value {
        revision: 312,
        voters: bootstrap.iter().map(voter).collect(),
        ..Value::default()
    };
    let id = NodeId::genesis(&address(1));
    ControlNode::new(
        config,
        id,
        DurableState::default(),
        Some(genesis),
        Instant::START,
    )
}

/// Returns a control node with a peer, an ingress node and two replicas.
fn busy_control_node() -> ControlNode {
    let mut control = control_node();
    let mut effects: Vec<Effect> = Vec::new();
    let peer = Hello {
        version: VERSION,
        name: "control-2".to_owned(),
        zone: "zone-b".to_owned(),
        incarnation: 200,
        control_address: address(2),
        node_id: NodeId::genesis(&address(2)).0,
        ..Hello::default()
    };
    let ingress = Hello {
        version: VERSION,
        name: "ingress-1".to_owned(),
        zone: "zone-c".to_owned(),
        incarnation: 300,
        ..Hello::default()
    };
    let heartbeat = |revision| Heartbeat {
        has_quorum: true,
        revision,
        sent_at: NOW.as_millis(),
        echoed_sent_at: Some(NOW.as_millis()),
        durable_value_number: Some(0),
        ..Heartbeat::default()
    };
    for (session, hello, revision) in [(1, peer, 0), (2, ingress, 311)] {
        let session = SessionId(session);
        control.on_session_opened(session, &mut effects);
        control.on_message(NOW, session, PeerMessage::Hello(hello), &mut effects);
        let heartbeat = PeerMessage::Heartbeat(heartbeat(revision));
        control.on_message(NOW, session, heartbeat, &mut effects);
    }
    for (call, id, text) in [
        (1, "replica-1", HEARTBEAT),
        (2, "replica-2", SHORT_HEARTBEAT),
    ] {
        let heartbeat: ReplicaHeartbeat = serde_json::from_str(text).expect("a heartbeat");
        control.on_replica_heartbeat(NOW, CallId(call), id, heartbeat, &mut effects);
    }
    control
}

/// The digest of a registry, which control nodes exchange to compare their registries.
fn registry_digest() -> u64 {
    let replica = Replica {
        id: "replica-1".to_owned(),
        backend: "shard-7".to_owned(),
        address: "10.1.2.3:9000".to_owned(),
        zone: "zone-c".to_owned(),
        revision: "r2026.05".to_owned(),
        capacity: 48,
        call_count: 987_654,
        draining: true,
        age_ms: 200,
        warmup_ms: 1_500,
        ..Replica::default()
    };
    let other = Replica {
        id: "replica-2".to_owned(),
        address: "10.1.2.4:9000".to_owned(),
        ..Replica::default()
    };
    let mut registry = ReplicaRegistry::default();
    registry.observe(NOW, &replica);
    registry.observe(NOW, &other);
    registry.mark_departed(NOW, "replica-2");
    registry.digest()
}

#[test]
fn members_status_equals_that_of_version_464716d() {
    let golden = include_str!("golden/members.json");
    assert_eq!(
        busy_control_node()
            .members_status(NOW + READ_AFTER)
            .to_string(),
        golden.trim_end()
    );
}

#[test]
fn replicas_status_equals_that_of_version_464716d() {
    let golden = include_str!("golden/replicas.json");
    assert_eq!(
        busy_control_node()
            .replicas_status(NOW + READ_AFTER)
            .to_string(),
        golden.trim_end()
    );
}

#[test]
fn the_registry_digest_equals_that_of_version_464716d() {
    let golden = include_str!("golden/registry_digest.txt");
    assert_eq!(registry_digest().to_string(), golden.trim_end());
}

#[test]
fn all_keys_of_replica_heartbeats_are_read() {
    let read: ReplicaHeartbeat = serde_json::from_str(HEARTBEAT).expect("a heartbeat");
    assert_eq!(
        (read.backend.as_str(), read.address.as_str()),
        ("shard-7", "10.9.0.1:9000")
    );
    assert_eq!(
        (read.zone.as_str(), read.revision.as_str()),
        ("zone-b", "r2026.05")
    );
    assert_eq!(
        (read.capacity, read.warmup_ms, read.call_count),
        (48, 1_500, 987_654)
    );
    let read: ReplicaHeartbeat = serde_json::from_str(SHORT_HEARTBEAT).expect("a heartbeat");
    assert_eq!(
        (read.revision.as_str(), read.capacity, read.warmup_ms),
        ("", 0, 0)
    );
}
