//! Queries to the program: their responses, retries, time-outs and cancellations.

use linenthread_fakes::{
    ClientResponse, FakeReplicas, Service, ServiceDiscovery, config, member, membership, request,
};

use crate::EXE;
use crate::cluster::Cluster;

#[test]
fn a_query_returns_the_values_of_the_replicas() {
    let cluster = Cluster::start(1);
    let mut client = cluster.query("find", "7f", &[0, 3]);
    for _ in 0..2 {
        let sub_request = cluster.sub_request();
        assert_eq!(
            (sub_request.id.as_str(), sub_request.text.as_str()),
            (&*format!("7f.{}", sub_request.shard), "what is asked")
        );
        let wait: u64 = sub_request
            .index
            .strip_prefix("d=")
            .unwrap()
            .parse()
            .unwrap();
        assert!((10_000..=15_000).contains(&wait), "waits {wait} ms");
        // The load report is malformed, but the response is valid.
        sub_request.send_frame(
            b'E',
            &format!(
                "{} hit 17 queue=x; no=report\nvalue of {}",
                sub_request.id, sub_request.shard
            ),
        );
        sub_request.respond("a second response, which is ignored");
    }
    let ClientResponse { status, body, .. } = client.read_response().unwrap();
    let text = r#"{"finished":true,"found":[{"bucket":0,"item":"value of 0"},{"bucket":3,"item":"value of 3"}]}"#;
    assert_eq!((status, body.as_str()), (200, text));
    // The connection stays open, and a body may be chunked.
    let chunked = request("find", "80", &[1])
        .replace("Content-Length: ", "Transfer-Encoding: chunked\r\nX-Was: ");
    let (head, body) = chunked.split_once("\r\n\r\n").unwrap();
    client.send(&format!(
        "{head}\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
        body.len()
    ));
    let sub_request = cluster.sub_request();
    assert_eq!(sub_request.id, "80.1");
    sub_request.respond("once more");
    assert_eq!(client.read_status(), 200);
}

#[test]
fn a_failed_sub_request_is_retried_only_if_idempotent() {
    let cluster = Cluster::start(2);
    let mut client = cluster.query("find", "a1", &[2]);
    let first = cluster.sub_request();
    first.disconnect();
    let second = cluster.sub_request();
    assert_ne!(first.replica, second.replica);
    second.respond("v");
    assert_eq!(client.read_status(), 200);
    let mut client = cluster.query("order", "a2", &[2]);
    cluster.sub_request().disconnect();
    assert_eq!(client.read_status(), 502, "the sub-request may have run");
    assert_eq!(
        cluster.replicas.drain_events(),
        [""; 0],
        "it is not sent again"
    );
}

#[test]
fn an_unsent_non_idempotent_sub_request_is_retried_on_another_replica() {
    let replicas = FakeReplicas::start(1);
    let unreachable = "127.0.0.9:1".parse().unwrap();
    let known = membership(
        1,
        true,
        vec![
            member(0, unreachable, "active"),
            member(1, replicas.addresses[0], "active"),
        ],
    );
    let discovery = ServiceDiscovery::start(known.clone());
    let service = Service::start(EXE, &config(discovery.address, &known));
    for id in 0..8 {
        let mut client = service.query("order", &format!("c{id}"), &[0, 1, 2, 3]);
        (0..4).for_each(|_| replicas.next_sub_request().respond("v"));
        assert_eq!(client.read_status(), 200);
    }
    service.wait_for_log("cannot connect");
}

#[test]
fn a_timed_out_query_fails_and_its_sub_requests_are_cancelled() {
    let cluster = Cluster::start(1);
    let mut client = cluster.query("swift", "d1", &[1]);
    let sub_request = cluster.sub_request();
    let ClientResponse {
        status, headers, ..
    } = client.read_response().unwrap();
    assert_eq!(status, 503);
    assert!(
        headers.iter().any(|h| h.starts_with("retry-after: ")),
        "{headers:?}"
    );
    assert_eq!(cluster.replicas.next_cancelled_id(), sub_request.id);
    cluster.service.wait_for_log("replica connection timed out");
}

#[test]
fn without_cancellation_sub_requests_time_out() {
    let cluster = Cluster::start_with(1, "/settings/allowed/cancel", false.into());
    let mut client = cluster.query("swift", "k1", &[1]);
    let late = cluster.sub_request();
    assert_eq!(client.read_status(), 503);
    cluster.service.wait_for_log("replica connection timed out");
    late.respond("too late");
    let mut client = cluster.query("find", "k2", &[1]);
    cluster.sub_request().respond("v");
    assert_eq!(client.read_status(), 200);
    assert_eq!(cluster.replicas.drain_events(), [""; 0]);
}

#[test]
fn the_sub_requests_of_a_disconnected_client_are_cancelled() {
    let cluster = Cluster::start(2);
    let client = cluster.query("find", "e1", &[1]);
    assert_eq!(cluster.sub_request().id, "e1.1");
    drop(client);
    assert_eq!(cluster.replicas.next_cancelled_id(), "e1.1");
    let mut client = cluster.query("find", "e2", &[1]);
    let sub_request = cluster.sub_request();
    assert_eq!(sub_request.id, "e2.1", "e1.1 is not sent again");
    sub_request.respond("v");
    assert_eq!(client.read_status(), 200);
}

const HEALTH_REQUEST: &str = "GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n";

#[test]
fn a_graceful_shutdown_loses_no_query() {
    let mut cluster = Cluster::start(2);
    let mut waiting = cluster.query("find", "g1", &[0]);
    let mut kept = cluster.service.connect();
    let sub_request = cluster.sub_request();
    let mut idle = cluster.service.connect();
    let mut incomplete = cluster.service.connect();
    incomplete.send(HEALTH_REQUEST);
    assert_eq!(incomplete.read_status(), 200);
    incomplete.send("POST /find HTTP/1.1\r\nHost: s\r\n");
    kept.send(HEALTH_REQUEST);
    assert_eq!(kept.read_status(), 200);
    let next = request("find", "g2", &[0]);
    let (begun, rest) = next.split_at(30);
    kept.send(begun);
    cluster.service.signal("-TERM");
    cluster.service.wait_for_log("shutting down");
    let mut late = cluster.service.connect();
    late.send(HEALTH_REQUEST);
    assert_eq!(late.read_status(), 503);
    cluster.service.signal("-TERM");
    kept.send(rest);
    cluster.sub_request().respond("v");
    let ClientResponse {
        status, headers, ..
    } = kept.read_response().unwrap();
    assert_eq!(status, 200);
    assert!(
        headers.contains(&"connection: close".to_owned()),
        "{headers:?}"
    );
    assert!(
        idle.read_response().is_none()
            && kept.read_response().is_none()
            && late.read_response().is_none(),
        "idle connections are closed"
    );
    sub_request.respond("v");
    assert_eq!(waiting.read_status(), 200);
    assert!(
        incomplete.read_response().is_none(),
        "an incomplete request does not delay the shutdown"
    );
    cluster.service.wait_for_log("shutdown complete");
    assert_eq!(cluster.service.child.wait().unwrap().code(), Some(0));
}

/// A request that is rejected, and the expected status.
struct BadRequest {
    status: u16,
    text: String,
}

/// Returns invalid variants of a valid request to the index "find" for the shards 0 and 1.
fn bad_requests(good: &str) -> Vec<BadRequest> {
    let replaced = |status, from: &str, to: &str| BadRequest {
        status,
        text: good.replace(from, to),
    };
    // Replaces a part of the body and adjusts `Content-Length`.
    let with_body_part = |from: &str, to: &str| {
        let length = |bytes: usize| format!("Content-Length: {bytes}\r\n");
        let old_length = good.split_once("\r\n\r\n").unwrap().1.len();
        let new_length = old_length + to.len() - from.len();
        BadRequest {
            status: 400,
            text: good
                .replace(from, to)
                .replace(&length(old_length), &length(new_length)),
        }
    };
    let with_length = |status, to| replaced(status, "Content-Length: ", to);
    let other = |status, text: String| BadRequest { status, text };
    let too_long = format!(
        "POST /find HTTP/1.1\r\nHost: s\r\nContent-Length: 70000\r\n\r\n{}",
        "x".repeat(70_000)
    );
    vec![
        replaced(404, "/find", "/nothing"),
        replaced(400, "acme", "nobody"),
        replaced(400, "X-Customer: acme\r\n", ""),
        replaced(400, r#""bucket":1"#, r#""bucket":4"#),
        replaced(400, r#""bucket":1"#, r#""bucket":0"#),
        replaced(400, "20000", "soon"),
        replaced(400, "X-Trace-Id: h1\r\n", ""),
        replaced(400, r#""buckets""#, r#""buckles""#),
        replaced(405, "POST", "PUT"),
        other(405, "GET /find HTTP/1.1\r\nHost: s\r\n\r\n".into()),
        other(400, "nonsense\r\n\r\n".into()),
        other(413, too_long),
        with_length(413, "Content-Length: 9999"),
        with_length(400, "Transfer-Encoding: chunked\r\nContent-Length: "),
        with_length(400, "Content-Length: -"),
        with_length(400, "Content-Length: 5\r\nContent-Length: "),
        with_length(400, "Content-Length: 99999999999999999999"),
        with_body_part(r#""bucket":0,"part":0.5"#, r#""bucket":0,"part":0.3"#),
        with_body_part(r#""bucket":1"#, r#""effort":-1,"bucket":1"#),
    ]
}

#[test]
fn bad_requests_are_rejected_and_reach_no_replica() {
    let cluster = Cluster::start(2);
    for BadRequest { status, text } in bad_requests(&request("find", "h1", &[0, 1])) {
        let mut client = cluster.service.connect();
        client.send(&text);
        assert_eq!(client.read_status(), status, "{text:.60}");
    }
    assert_eq!(cluster.replicas.drain_events(), [""; 0]);
    let mut client = cluster.query("find", "h2", &[0]);
    cluster.sub_request().respond("v");
    assert_eq!(client.read_status(), 200);
}

#[test]
fn a_query_id_can_be_reused_only_after_its_query_has_completed() {
    let cluster = Cluster::start(2);
    let mut open = cluster.query("find", "h3", &[0]);
    assert_eq!(cluster.query("find", "h3", &[0]).read_status(), 409);
    cluster.sub_request().respond("v");
    assert_eq!(open.read_status(), 200);
    let mut again = cluster.query("find", "h3", &[0]);
    cluster.sub_request().respond("v");
    assert_eq!(again.read_status(), 200);
}
