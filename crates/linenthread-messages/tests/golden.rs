//! Checks the wire and disk format against bytes that an earlier version wrote.
//!
//! The files under `tests/golden/` were written by commit 464716d. They must never be regenerated to make a test
//! pass: nodes of a cluster that is being upgraded still send such bytes, and disks written before an upgrade contain
//! them.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use linenthread_golden::named_bytes;
use linenthread_messages::{
    Accept, AcceptAck, Accepted, Ballot, CatchUpRequest, ControlUpdate, DocumentDigest,
    DurableProgress, Heartbeat, Hello, IngressSession, IngressUpdate, LeaseRelease, LeaseReply,
    LeaseRequest, OrderIdentity, OrderLogEntries, OrderLogRequest, PeerMessage, Prepare, Promise,
    QuotaGrant, QuotaGrants, ReadReply, ReadRequest, Record, Rejected, Replica, Synced, UpdateAck,
    Value, Voter, decode, encode,
};
use prost::Message;

fn voter(id: u64, address: &str) -> Voter {
    Voter {
        id,
        address: address.to_owned(),
    }
}

fn order(revision: u64) -> OrderIdentity {
    OrderIdentity {
        revision,
        base: revision - 2,
        digest: DocumentDigest {
            high: 0x0102_0304_0506_0708 + revision,
            low: 0x1112_1314_1516_1718 + revision,
        },
    }
}

fn value() -> Value {
    Value {
        number: 70_001,
        revision: 312,
        document: Bytes::from_static(b"{\"routes\":[\"\xff\x00\"]}"),
        voters: vec![
            voter(0xa1a2_a3a4_a5a6_a7a8, "10.0.0.1:7100"),
            voter(2, "10.0.0.2:7200"),
            voter(3, "[fd00::3]:7300"),
        ],
        epoch: 44,
        order_count: 155,
        recent_orders: vec![order(310), order(312)],
        voters_since: 69_000,
        usage: None,
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot {
        round,
        proposer: 0xb1b2_b3b4_b5b6_b7b8,
    }
}

fn accepted() -> Accepted {
    Accepted {
        ballot: ballot(21),
        value: value(),
    }
}

fn replica(id: &str) -> Replica {
    Replica {
        id: id.to_owned(),
        backend: "shard-7".to_owned(),
        address: "10.1.2.3:9000".to_owned(),
        zone: "zone-c".to_owned(),
        revision: "r2026.05".to_owned(),
        capacity: 48,
        call_count: 987_654,
        draining: true,
        timed_out_or_ended: true,
        age_ms: 1_234,
        warmup_ms: 56_789,
        ended: true,
        // The version that wrote the files did not have this field.
        unconfirmed: false,
    }
}

fn ingress_session(name: &str) -> IngressSession {
    IngressSession {
        name: name.to_owned(),
        zone: "zone-b".to_owned(),
        incarnation: 0xc1c2_c3c4_c5c6_c7c8,
        quota_request: 91,
        address: "10.2.0.1:8000".to_owned(),
        revision: 311,
    }
}

fn quota_grant(name: &str, ingress_index: u32) -> QuotaGrant {
    QuotaGrant {
        name: name.to_owned(),
        incarnation: 0xd1d2_d3d4_d5d6_d7d8,
        quota_request: 92,
        epoch: 45,
        share: 12.625,
        lease_ms: 2_500,
        ingress_count: 3,
        ingress_index,
    }
}

/// Returns every message, with a distinct value in each field.
fn peer_messages() -> BTreeMap<&'static str, PeerMessage> {
    let mut messages = BTreeMap::new();
    messages.extend(session_messages());
    messages.extend(update_messages());
    messages.extend(paxos_messages());
    messages.extend(read_and_log_messages());
    messages.extend(lease_messages());
    messages
}

fn session_messages() -> [(&'static str, PeerMessage); 4] {
    let hello = Hello {
        // The version of the commit that wrote the files.
        version: 2,
        name: "control-a".to_owned(),
        zone: "zone-a".to_owned(),
        incarnation: 0xe1e2_e3e4_e5e6_e7e8,
        control_address: "10.0.0.1:7100".to_owned(),
        node_id: 0xf1f2_f3f4_f5f6_f7f8,
        voter_eligible: true,
        change_log_id: 0x2122_2324_2526_2728,
        change_log_offset: 4_321,
        value_number_or_revision: 70_000,
    };
    let heartbeat = Heartbeat {
        quota_request_or_value_number: 93,
        has_quorum: true,
        registry_digest: 0x3132_3334_3536_3738,
        revision: 313,
        durable_value_number: Some(69_999),
        sent_at: 5_000_000_001,
        echoed_sent_at: Some(5_000_000_000),
        shutting_down: true,
        reconfiguring: true,
        wall_time_ms: None,
        agreed_time_ms: None,
    };
    // An optional field that is set to zero is encoded; one that is not set is omitted.
    let heartbeat_of_zeros = Heartbeat {
        durable_value_number: Some(0),
        echoed_sent_at: Some(0),
        ..Heartbeat::default()
    };
    [
        ("hello", PeerMessage::Hello(hello)),
        ("heartbeat", PeerMessage::Heartbeat(heartbeat)),
        (
            "heartbeat_of_zeros",
            PeerMessage::Heartbeat(heartbeat_of_zeros),
        ),
        (
            "heartbeat_empty",
            PeerMessage::Heartbeat(Heartbeat::default()),
        ),
    ]
}

fn update_messages() -> [(&'static str, PeerMessage); 5] {
    let ingress_update = IngressUpdate {
        change_log_id: 0x4142_4344_4546_4748,
        change_log_offset: 4_322,
        complete: true,
        replicas: vec![replica("replica-1"), replica("replica-2")],
        value: Some(value()),
        control_addresses: vec!["10.0.0.1:7100".to_owned(), "10.0.0.2:7200".to_owned()],
        value_confirmed: true,
        registry_complete: true,
    };
    let control_update = ControlUpdate {
        replicas: vec![replica("replica-3")],
        sessions: vec![ingress_session("ingress-1"), ingress_session("ingress-2")],
        has_sessions: true,
        control_addresses: vec!["10.0.0.3:7300".to_owned()],
        update_id: 4_323,
        complete: true,
    };
    [
        ("ingress_update", PeerMessage::IngressUpdate(ingress_update)),
        ("control_update", PeerMessage::ControlUpdate(control_update)),
        (
            "update_ack",
            PeerMessage::UpdateAck(UpdateAck { update_id: 4_324 }),
        ),
        (
            "quota_grants",
            PeerMessage::QuotaGrants(QuotaGrants {
                grants: vec![quota_grant("ingress-1", 1), quota_grant("ingress-2", 2)],
            }),
        ),
        (
            "durable_progress",
            PeerMessage::DurableProgress(DurableProgress {
                value_number: Some(70_009),
                epoch: 49,
            }),
        ),
    ]
}

fn paxos_messages() -> [(&'static str, PeerMessage); 6] {
    [
        (
            "prepare",
            PeerMessage::Prepare(Prepare {
                number: 70_003,
                ballot: ballot(22),
            }),
        ),
        (
            "promise",
            PeerMessage::Promise(Promise {
                number: 70_004,
                ballot: ballot(23),
                accepted: Some(accepted()),
            }),
        ),
        (
            "promise_empty",
            PeerMessage::Promise(Promise {
                number: 70_004,
                ballot: ballot(23),
                accepted: None,
            }),
        ),
        (
            "accept",
            PeerMessage::Accept(Accept {
                ballot: ballot(24),
                value: value(),
            }),
        ),
        (
            "accept_ack",
            PeerMessage::AcceptAck(AcceptAck {
                number: 70_005,
                ballot: ballot(25),
            }),
        ),
        (
            "rejected",
            PeerMessage::Rejected(Rejected {
                number: 70_006,
                promised: ballot(26),
            }),
        ),
    ]
}

fn read_and_log_messages() -> [(&'static str, PeerMessage); 8] {
    [
        (
            "catch_up_request",
            PeerMessage::CatchUpRequest(CatchUpRequest { number: 70_007 }),
        ),
        ("decided", PeerMessage::Decided(value())),
        ("decided_empty", PeerMessage::Decided(Value::default())),
        (
            "read_request",
            PeerMessage::ReadRequest(ReadRequest { read_id: 95 }),
        ),
        (
            "read_reply",
            PeerMessage::ReadReply(ReadReply {
                read_id: 96,
                decided_number: 70_008,
                has_undecided_value: true,
            }),
        ),
        (
            "order_log_request",
            PeerMessage::OrderLogRequest(OrderLogRequest {
                newest: 314,
                above: 290,
            }),
        ),
        (
            "order_log_entries",
            PeerMessage::OrderLogEntries(OrderLogEntries {
                newest: 315,
                orders: vec![order(315), order(313)],
            }),
        ),
        (
            "synced",
            PeerMessage::Synced(Synced {
                number: 70_010,
                order_log_record: 98,
            }),
        ),
    ]
}

fn lease_messages() -> [(&'static str, PeerMessage); 3] {
    let lease_request = LeaseRequest {
        epoch: 46,
        request_id: 94,
        lease_ms: 3_000,
        incarnation: 0x5152_5354_5556_5758,
        value_number: 70_002,
    };
    [
        ("lease_request", PeerMessage::LeaseRequest(lease_request)),
        (
            "lease_vote",
            PeerMessage::LeaseReply(LeaseReply {
                epoch: 47,
                request_id: 97,
                granted: true,
            }),
        ),
        (
            "lease_release",
            PeerMessage::LeaseRelease(LeaseRelease {
                epoch: 48,
                incarnation: 0x6162_6364_6566_6768,
            }),
        ),
    ]
}

/// Returns records as they are stored on a control node's disk.
fn records() -> BTreeMap<&'static str, Record> {
    BTreeMap::from([
        (
            "record",
            Record {
                id: Some(0x7172_7374_7576_7778),
                decided: Some(value()),
                number: 70_011,
                promised: Some(ballot(27)),
                accepted: Some(accepted()),
                epoch: 50,
                replicas: vec![replica("replica-4"), replica("replica-5")],
                order_log: vec![order(300), order(302)],
                // The version that wrote the files did not have these fields.
                replicas_cleared: false,
                drains: Vec::new(),
            },
        ),
        (
            "record_of_zeros",
            Record {
                id: Some(0),
                decided: Some(Value::default()),
                promised: Some(Ballot::default()),
                ..Record::default()
            },
        ),
        ("record_empty", Record::default()),
    ])
}

#[test]
fn peer_messages_have_the_bytes_of_version_464716d() {
    let golden = named_bytes(include_str!("golden/peer_messages.hex")).collect::<BTreeMap<_, _>>();
    let messages = peer_messages();
    assert!(golden.keys().eq(messages.keys()));
    for (name, message) in messages {
        let mut buffer = BytesMut::from(&golden[name][..]);
        let decoded = decode(&mut buffer).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(decoded.as_ref(), Some(&message), "{name} decodes");
        assert!(buffer.is_empty(), "{name} leaves bytes in the buffer");
        encode(message, &mut buffer);
        assert_eq!(buffer[..], golden[name][..], "{name} encodes");
    }
}

#[test]
fn records_have_the_bytes_of_version_464716d() {
    let golden = named_bytes(include_str!("golden/records.hex")).collect::<BTreeMap<_, _>>();
    let records = records();
    assert!(golden.keys().eq(records.keys()));
    for (name, record) in records {
        let decoded = Record::decode(&golden[name][..]);
        assert_eq!(decoded.as_ref(), Ok(&record), "{name} decodes");
        assert_eq!(record.encode_to_vec(), golden[name], "{name} encodes");
    }
}
