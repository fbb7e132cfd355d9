//! Compares messages to and from replicas and clients with the bytes that an earlier version wrote or read.
//!
//! The file under `tests/golden/` was written by commit 464716d. It must never be regenerated to make a test pass:
//! replicas and clients depend on these bytes.

use bytes::BytesMut;
use linenthread_core::interface::{AttemptOutcome, Completeness, Phase};
use linenthread_golden::named_bytes;
use linenthread_protocol::frame::{self, ReplicaMessage, SubRequest};
use linenthread_protocol::query::ShardValue;
use linenthread_protocol::{hash_id, membership, query};

/// Encodes each kind of message to replicas, clients and service discovery, by its name in the golden file.
fn encoded_messages() -> Vec<(&'static str, Vec<u8>)> {
    let first = frame::sub_request_id("9b1f03aa5c7e2d41", 3, 0);
    let again = frame::sub_request_id("9b1f03aa5c7e2d41", 12, 2);
    let two = [
        SubRequest {
            id: &first,
            shard: 3,
            body: "c41e77d0",
        },
        SubRequest {
            id: &again,
            shard: 12,
            body: "a text\nwith \u{e9}",
        },
    ];
    let found = [
        ShardValue {
            shard: 3,
            value: "5be2a07c19f04d63",
        },
        ShardValue {
            shard: 12,
            value: "a \"b\" \u{e9}",
        },
    ];
    vec![
        (
            "call_of_one",
            frame::encode_requests(two[..1].iter().copied(), 240),
        ),
        (
            "call_of_two",
            frame::encode_requests(two.into_iter(), 1_250),
        ),
        ("give_up", frame::encode_cancel(&again)),
        ("probe", frame::encode_probe()),
        (
            "answer",
            query::encode_response(Completeness::Complete, found.into_iter()),
        ),
        (
            "answer_partial",
            query::encode_response(Completeness::Partial, std::iter::empty()),
        ),
        (
            "retry_after",
            query::retry_after_seconds(1_250.5).into_bytes(),
        ),
        ("watch", membership::watch_path(312, 30_000).into_bytes()),
        ("number", hash_id("9b1f03aa5c7e2d41").to_be_bytes().to_vec()),
    ]
}

#[test]
fn messages_are_encoded_with_the_bytes_of_version_464716d() {
    assert_eq!(
        encoded_messages(),
        named_bytes(include_str!("golden/written.hex")).collect::<Vec<_>>()
    );
}

#[test]
fn frames_of_replicas_are_decoded_as_in_version_464716d() {
    let response = |outcome, queue_depth, value: &str| ReplicaMessage::Response {
        id: "9b1f.3".to_owned(),
        outcome,
        queue_depth,
        value: value.to_owned(),
    };
    let frames: [(&[u8], ReplicaMessage); 6] = [
        (
            b"E9b1f.3 hit 1840277719 inflight=7,queue=2.5\nv 1",
            response(AttemptOutcome::Success, Some(2.5), "v 1"),
        ),
        (
            b"E9b1f.3 fault 0 -\n",
            response(AttemptOutcome::Error, None, ""),
        ),
        (
            b"E9b1f.3 overload - queue=4\n",
            response(AttemptOutcome::Rejected, Some(4.0), ""),
        ),
        (
            b"Chit",
            ReplicaMessage::ProbeResponse {
                outcome: AttemptOutcome::Success,
                queue_depth: None,
            },
        ),
        (
            b"Dutil=0.1,queue=3.5",
            ReplicaMessage::ProbeResponse {
                outcome: AttemptOutcome::Success,
                queue_depth: Some(3.5),
            },
        ),
        (
            b"Fno such frame",
            ReplicaMessage::ProtocolError("no such frame".to_owned()),
        ),
    ];
    for (bytes, expected) in frames {
        let mut read = BytesMut::new();
        let length = u32::try_from(bytes.len()).expect("a short frame");
        read.extend_from_slice(&length.to_be_bytes());
        read.extend_from_slice(bytes);
        assert_eq!(frame::decode(&mut read).unwrap(), Some(expected));
        assert!(read.is_empty());
    }
}

#[test]
fn requests_of_clients_are_decoded_by_the_names_of_headers_and_json_keys() {
    let header = |name: &str| match name {
        "x-trace-id" => Some("9b1f03aa5c7e2d41"),
        "x-customer" => Some("acme"),
        "x-object" => Some("7f3a9c21e0b4d655"),
        "x-expires-in-ms" => Some("480"),
        _ => None,
    };
    let body = br#"{"buckets":[{"bucket":3,"part":0.25,"effort":9000,"seed":"0123456789abcdef"},
        {"bucket":9,"part":0.75}],"body":"c41e77d0","page":{"rows":20,"after":"MARK"}}"#;
    let query = query::decode(header, body).expect("a request");
    assert_eq!(query.id, "9b1f03aa5c7e2d41");
    assert_eq!(query.customer.as_deref(), Some("acme"));
    assert_eq!(query.key.as_deref(), Some("7f3a9c21e0b4d655"));
    assert_eq!(
        (query.expires_in_ms, query.body.as_str()),
        (480, "c41e77d0")
    );
    let sub_requests: Vec<_> = query
        .sub_requests
        .iter()
        .map(|sub_request| (sub_request.shard, sub_request.weight))
        .collect();
    assert_eq!(sub_requests, [(3, 0.25), (9, 0.75)]);
    let page = query::decode_page(body).expect("a page");
    assert_eq!(
        (page.rows, page.cursor.as_deref()),
        (Some(20), Some("MARK"))
    );
    assert_eq!(query::HEALTH_PATH, "/healthz");
    assert_eq!(query::index_name("/checkout/more"), "checkout");
}

#[test]
fn lists_of_replicas_are_decoded_by_their_json_keys() {
    let list = br#"{"revision":7,"complete":true,"members":[
        {"id":"s-1","host_port":"10.0.0.1:9001","locality":"messina","cell":2,"phase":"active",
         "up_since_ms":1700000000123.5},
        {"id":"s-2","host_port":"[fd00::2]:9002","locality":"catania","cell":0,"phase":"leaving"},
        {"id":"s-3","host_port":"10.0.0.3:9003","locality":"catania","cell":1,"phase":"left"}]}"#;
    let list = membership::decode(list, 3).expect("a list");
    assert_eq!((list.revision, list.complete), (7, true));
    let phases: Vec<_> = list.replicas.iter().map(|replica| replica.phase).collect();
    assert_eq!(phases, [Phase::Ready, Phase::Draining, Phase::Removed]);
    let first = &list.replicas[0];
    assert_eq!((first.id.as_str(), first.zone.as_str()), ("s-1", "messina"));
    assert_eq!(
        (first.replica_group, first.started_at_ms),
        (2, 1_700_000_000_123.5)
    );
    assert_eq!(list.replicas[1].address.to_string(), "[fd00::2]:9002");
    assert_eq!(membership::LIST_PATH, "/v1/servers");
}
