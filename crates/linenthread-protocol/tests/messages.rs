//! Encoding of all messages, and decoding from valid, truncated and invalid bytes.

use bytes::BytesMut;
use linenthread_core::interface::{AttemptOutcome, Completeness, Phase};
use linenthread_protocol::frame::{self, ReplicaMessage, SubRequest};
use linenthread_protocol::query::{Query, QueryError, ShardValue};
use linenthread_protocol::{membership, query};

fn framed(kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len() + 1).expect("a short frame");
    [&length.to_be_bytes()[..], &[kind], payload].concat()
}

fn response(
    id: &str,
    outcome: AttemptOutcome,
    queue_depth: Option<f64>,
    value: &str,
) -> ReplicaMessage {
    ReplicaMessage::Response {
        id: id.into(),
        outcome,
        queue_depth,
        value: value.into(),
    }
}

fn probe_response(outcome: AttemptOutcome, queue_depth: Option<f64>) -> ReplicaMessage {
    ReplicaMessage::ProbeResponse {
        outcome,
        queue_depth,
    }
}

/// A frame without its length field, and the decoded message.
struct ValidFrame {
    bytes: &'static [u8],
    message: ReplicaMessage,
}

fn valid_frames() -> Vec<ValidFrame> {
    use AttemptOutcome::{Error, Rejected, Success};
    let frame = |bytes, message| ValidFrame { bytes, message };
    vec![
        frame(
            b"E7f.3 hit 1840277719 inflight=7,queue=2.5,util=0.61\nv 1",
            response("7f.3", Success, Some(2.5), "v 1"),
        ),
        frame(b"E7f.3 fault 0 -\n", response("7f.3", Error, None, "")),
        frame(
            b"E7f.3 overload - queue=-4\n",
            response("7f.3", Rejected, Some(0.0), ""),
        ),
        frame(
            b"E7f.3 hit 1 queue=inf\na\nb",
            response("7f.3", Success, None, "a\nb"),
        ),
        frame(b"Chit", probe_response(Success, None)),
        frame(b"Dfault", probe_response(Error, None)),
        frame(b"D-", probe_response(Success, None)),
        frame(
            b"E7f.3 hit 1 \xff queue=1 \nv",
            response("7f.3", Success, None, "v"),
        ),
        frame(b"D\xff\xfe", probe_response(Success, None)),
        frame(b"Dutil=0.1,queue=3", probe_response(Success, Some(3.0))),
        frame(
            b"Fno such frame",
            ReplicaMessage::ProtocolError("no such frame".into()),
        ),
    ]
}

#[test]
fn frames_are_decoded_from_chunks_of_any_size() {
    let frames = valid_frames();
    let expected: Vec<_> = frames.iter().map(|frame| frame.message.clone()).collect();
    let stream: Vec<u8> = frames
        .iter()
        .flat_map(|frame| framed(frame.bytes[0], &frame.bytes[1..]))
        .collect();
    for chunk_size in [1, 3, 7, stream.len()] {
        let (mut read, mut messages) = (BytesMut::new(), Vec::new());
        for chunk in stream.chunks(chunk_size) {
            read.extend_from_slice(chunk);
            while let Some(message) = frame::decode(&mut read).unwrap() {
                messages.push(message);
            }
        }
        assert_eq!(messages, expected, "in chunks of {chunk_size}");
        assert!(read.is_empty());
    }
}

#[test]
fn invalid_frames_are_rejected() {
    let invalid: [&[u8]; 9] = [
        &[0, 0, 0, 0],
        &[0xff, 0xff, 0xff, 0xff],
        &framed(b'A', b"7f.3 3 d=1 0\n"),
        &framed(b'E', b""),
        &framed(b'E', b"7f.3 hit 1 -"),
        &framed(b'E', b"7f.3 maybe 1 -\nv"),
        &framed(b'E', b"7f.3 hit one -\nv"),
        &framed(b'E', b"7f.3 hit\nv"),
        &framed(b'E', b"7f.3 hit 1 -\n\xff\xfe"),
    ];
    for bytes in invalid {
        assert!(
            frame::decode(&mut BytesMut::from(bytes)).is_err(),
            "{bytes:?}"
        );
    }
}

fn sub_request<'a>(id: &'a str, shard: usize, body: &'a str) -> SubRequest<'a> {
    SubRequest { id, shard, body }
}

#[test]
fn frames_are_encoded_as_documented() {
    let id = frame::sub_request_id("9b1f", 3, 0);
    assert_eq!(
        frame::encode_requests([sub_request(&id, 3, "c41e77d0")].into_iter(), 240),
        framed(b'A', b"9b1f.3 3 d=240 8\nc41e77d0")
    );
    let two = [sub_request("a.1", 1, "x"), sub_request("a.2", 2, "x")];
    let two = frame::encode_requests(two.into_iter(), 5);
    assert_eq!(two, framed(b'A', b"a.1 1 d=5 1\nxa.2 2 d=5 1\nx"));
    assert_eq!(frame::encode_cancel(&id), framed(b'B', b"9b1f.3"));
    assert_eq!(frame::encode_probe(), [0, 0, 0, 1, b'D']);
}

const BODY: &str = r#"{"buckets":[{"bucket":3,"part":0.5,"effort":9000},{"bucket":9,"part":0.5}],"body":"c41e77d0"}"#;

/// Decodes a valid query with this body, after replacing the value of one header.
fn decode_with(
    changed_header: &str,
    value: Option<&'static str>,
    body: &str,
) -> Result<Query, QueryError> {
    let header = |name: &str| match name {
        _ if name == changed_header => value,
        "x-trace-id" => Some("9b1f03aa5c7e2d41"),
        "x-customer" => Some("acme"),
        "x-object" => Some("7f3a9c21e0b4d655"),
        "x-expires-in-ms" => Some("480"),
        _ => None,
    };
    query::decode(header, body.as_bytes())
}

#[test]
fn queries_are_decoded_and_responses_encoded() {
    let query = decode_with("", None, BODY).unwrap();
    assert_eq!(
        (query.id.as_str(), query.expires_in_ms, query.body.as_str()),
        ("9b1f03aa5c7e2d41", 480, "c41e77d0")
    );
    assert_eq!(
        (query.customer.as_deref(), query.key.as_deref()),
        (Some("acme"), Some("7f3a9c21e0b4d655"))
    );
    assert_eq!(
        query
            .sub_requests
            .iter()
            .map(|sub_request| (sub_request.shard, sub_request.weight))
            .collect::<Vec<_>>(),
        [(3, 0.5), (9, 0.5)]
    );
    assert_eq!(decode_with("x-object", None, BODY).unwrap().key, None);
    assert_eq!(query::index_name("/checkout/more"), "checkout");
    let values = [(3, "5be2a07c19f04d63"), (9, "a \"b\"")];
    let values = values.map(|(shard, value)| ShardValue { shard, value });
    let body = query::encode_response(Completeness::Partial, values.into_iter());
    let found = r#"[{"bucket":3,"item":"5be2a07c19f04d63"},{"bucket":9,"item":"a \"b\""}]"#;
    let text = format!(r#"{{"finished":false,"found":{found}}}"#);
    assert_eq!(String::from_utf8(body).unwrap(), text);
    assert_eq!(query::retry_after_seconds(1250.0), "1.250");
}

#[test]
fn invalid_queries_are_rejected() {
    let headers = [
        ("x-trace-id", None),
        ("x-trace-id", Some("")),
        ("x-trace-id", Some("a b")),
        ("x-trace-id", Some("a\nb")),
        ("x-expires-in-ms", None),
        ("x-expires-in-ms", Some("0")),
        ("x-expires-in-ms", Some("-5")),
        ("x-expires-in-ms", Some("1e3")),
        ("x-expires-in-ms", Some("99999999999")),
        ("x-customer", Some("")),
    ];
    for (name, value) in headers {
        assert!(decode_with(name, value, BODY).is_err(), "{name}: {value:?}");
    }
    let bodies = [
        "",
        "{",
        r#"{"buckets":[],"body":"x"}"#,
        r#"{"buckets":[{"bucket":3,"part":0.5}]}"#,
        r#"{"buckets":[{"bucket":-1,"part":1}],"body":"x"}"#,
        r#"{"buckets":[{"bucket":3,"part":0}],"body":"x"}"#,
        r#"{"buckets":[{"bucket":3,"part":1.5}],"body":"x"}"#,
        r#"{"buckets":[{"bucket":3,"part":0.9}],"body":"x"}"#,
        r#"{"buckets":[{"bucket":3,"part":1,"effort":"much"}],"body":"x"}"#,
        r#"{"buckets":[{"bucket":3,"part":1,"seed":"xyz"}],"body":"x"}"#,
        r#"{"buckets":[{"bucket":3,"part":0.5},{"bucket":3,"part":0.5}],"body":"x"}"#,
    ];
    for body in bodies {
        assert!(decode_with("", None, body).is_err(), "{body}");
    }
}

/// These messages are sent to clients, so they are part of the wire format.
#[test]
fn error_messages_to_clients_do_not_change() {
    let cases = [
        (
            "[]",
            r#"the body is not of the form {"buckets":[{"bucket":3,"part":1}],"body":"text"}: line 1, column 2"#,
        ),
        (
            "{\n\"buckets\":}",
            "the body is not JSON: line 2, column 11",
        ),
        (r#"{"buckets""#, "the body is not JSON: line 1, column 10"),
        (
            r#"{"buckets":[3],"body":"x"}"#,
            r#"the body is not of the form {"buckets":[{"bucket":3,"part":1}],"body":"text"}: line 1, column 13"#,
        ),
        (
            r#"{"buckets":[[3]],"body":"x"}"#,
            r#"the body is not of the form {"buckets":[{"bucket":3,"part":1}],"body":"text"}: line 1, column 15"#,
        ),
        (
            r#"{"buckets":[{"bucket":3}],"body":"x"}"#,
            r#"the body is not of the form {"buckets":[{"bucket":3,"part":1}],"body":"text"}: line 1, column 24"#,
        ),
        (r#"{"buckets":[],"body":"x"}"#, "no parts are asked for"),
        (
            r#"{"buckets":[{"bucket":3,"part":0.9}],"body":"x"}"#,
            "the parts' shares don't add up to 1",
        ),
        (
            r#"{"buckets":[{"bucket":3,"part":2}],"body":"x"}"#,
            "a part's share is not above 0 and up to 1, or its effort or seed has no such form",
        ),
    ];
    for (body, message) in cases {
        assert_eq!(
            decode_with("", None, body).unwrap_err().to_string(),
            message
        );
    }
    let page = |body: &str| query::decode_page(body.as_bytes()).unwrap_err().to_string();
    assert_eq!(
        page("7"),
        r#"the page is not of the form {"page":{"rows":20,"after":"cursor"}}: line 1, column 1"#
    );
    assert_eq!(
        page(r#"{"page":7}"#),
        r#"the page is not of the form {"page":{"rows":20,"after":"cursor"}}: line 1, column 9"#
    );
}

#[test]
fn lists_are_decoded_and_invalid_ones_rejected() {
    let list = |cell: &str, phase: &str, address: &str| {
        let place =
            format!(r#""host_port":"{address}","locality":"a","flavor":"m2","cell":{cell}"#);
        let member = format!(
            r#"{{"id":"s-5be2a07c",{place},"phase":"{phase}","size":1.0,"up_since_ms":5}}"#
        );
        format!(r#"{{"revision":43,"complete":false,"members":[{member}]}}"#)
    };
    let decode = |text: &str| membership::decode(text.as_bytes(), 4);
    for (name, phase) in [
        ("active", Phase::Ready),
        ("leaving", Phase::Draining),
        ("left", Phase::Removed),
    ] {
        let decoded = decode(&list("3", name, "127.0.0.1:5000")).unwrap();
        assert_eq!(
            (decoded.revision, decoded.complete, decoded.replicas.len()),
            (43, false, 1)
        );
        let replica = &decoded.replicas[0];
        assert_eq!(
            (replica.phase, replica.replica_group, replica.started_at_ms),
            (phase, 3, 5.0)
        );
        assert_eq!(
            (replica.id.as_str(), replica.address),
            ("s-5be2a07c", "127.0.0.1:5000".parse().unwrap())
        );
    }
    let invalid = [
        list("4", "active", "127.0.0.1:5000"),
        list("3", "asleep", "127.0.0.1:5000"),
        list("3", "active", "here"),
    ];
    for text in invalid.iter().map(String::as_str).chain([
        "",
        "{}",
        "[1]",
        r#"{"revision":1,"complete":true}"#,
    ]) {
        assert!(decode(text).is_err(), "{text}");
    }
    assert_eq!(
        membership::watch_path(41, 20_000),
        "/v1/servers?from=41&hold_ms=20000"
    );
}
