//! Connections to replicas: how sub-requests share them, and when they are closed.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use linenthread_fakes::SubRequest;

use crate::cluster::Cluster;

#[test]
fn a_connection_closed_on_reuse_does_not_fail_a_non_idempotent_sub_request() {
    let cluster = Cluster::start(2);
    for id in 0..6 {
        let mut client = cluster.query("order", &format!("r{id}"), &[0]);
        cluster.sub_request().respond("v");
        assert_eq!(client.read_status(), 200);
        cluster.replicas.closing_on_reuse.store(1, Ordering::SeqCst);
        // Leave the connection idle for some time.
        thread::sleep(Duration::from_millis(80));
    }
    assert_eq!(cluster.replicas.drain_events(), [""; 0]);
}

#[test]
fn an_invalid_frame_closes_its_connection() {
    let bad = [
        (b'F', "what was that"),
        (b'Z', "?"),
        (b'E', "no end"),
        (b'E', "b1.2 hit x -\n"),
        (b'E', "b9.2 hit 1 -\nfor a part that was never sent"),
    ];
    for (letter, rest) in bad {
        let cluster = Cluster::start(2);
        let mut client = cluster.query("find", "b1", &[2]);
        let broken = cluster.sub_request();
        broken.send_frame(letter, rest);
        let again = cluster.sub_request();
        again.respond("v");
        assert_eq!(client.read_status(), 200, "after {rest:?}");
        cluster.service.wait_for_log("replica connection ended");
        // Later bytes on the connection are ignored. A non-idempotent sub-request fails, as it may have run.
        broken.send_bytes(b"\0\0\0\x0fEb1.2 hit 1 -\nv");
        let mut client = cluster.query("order", "b2", &[2]);
        cluster.sub_request().send_frame(letter, rest);
        assert_eq!(client.read_status(), 502, "after {rest:?}");
        assert_eq!(cluster.replicas.drain_events(), [""; 0]);
    }
}

#[test]
fn an_incomplete_frame_closes_its_connection() {
    let cluster = Cluster::start(2);
    // The frame announces more bytes than are sent.
    let mut client = cluster.query("find", "o1", &[2]);
    cluster
        .sub_request()
        .send_bytes(b"\0\0\x40\0Eo1.2 hit 1 -\nv");
    cluster.sub_request().respond("v");
    assert_eq!(client.read_status(), 200);
    cluster
        .service
        .wait_for_log("a frame is not complete in time");
    // The same if the bytes of the frame arrive slowly.
    let mut client = cluster.query("find", "o2", &[2]);
    let slow = cluster.sub_request();
    let again = thread::scope(|threads| {
        let trickle = threads.spawn(|| {
            slow.send_bytes(b"\0\0\x40\0E");
            while slow.send_bytes(b"x") {
                thread::sleep(Duration::from_millis(20));
            }
        });
        let again = cluster.sub_request();
        trickle.join().unwrap();
        again
    });
    again.respond("v");
    assert_eq!(client.read_status(), 200);
}

#[test]
fn surplus_bytes_after_a_response_close_the_connection_but_the_response_is_used() {
    let cluster = Cluster::start(1);
    let mut client = cluster.query("find", "o3", &[2]);
    let sub_request = cluster.sub_request();
    sub_request.send_bytes(&[b"\0\0\0\x10Eo3.2 hit 1 -\nvv", &b"\0\0"[..]].concat());
    assert_eq!(client.read_status(), 200);
    assert!(sub_request.wait_until_closed());
}

#[test]
fn sub_requests_share_connections_up_to_the_stream_limit() {
    // Each of the first connections gets one sub-request, then all are filled up to the limit, then more are opened.
    let cluster = Cluster::start_with(1, "/settings/allowed/streams-per-conn", 2.into());
    let mut clients: Vec<_> = ["l1", "l4", "l5"]
        .map(|id| cluster.query("find", id, &[0, 1, 2]))
        .into();
    let sub_requests: Vec<_> = (0..9).map(|_| cluster.sub_request()).collect();
    let from: BTreeSet<_> = sub_requests.iter().map(SubRequest::peer_address).collect();
    assert_eq!(from.len(), 5);
    sub_requests
        .iter()
        .for_each(|sub_request| sub_request.respond("v"));
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.read_status(), 200));
}

#[test]
fn an_invalid_connection_affects_no_other() {
    let cluster = Cluster::start(1);
    let mut client = cluster.query("order", "l6", &[0, 1]);
    let (one, other) = (cluster.sub_request(), cluster.sub_request());
    let mut unaffected = cluster.query("order", "l7", &[0]);
    let sub_request = cluster.sub_request();
    one.send_frame(b'Z', "?");
    assert_eq!(client.read_status(), 502);
    assert_eq!(cluster.replicas.next_cancelled_id(), other.id);
    sub_request.respond("v");
    assert_eq!(unaffected.read_status(), 200);
}

#[test]
fn an_idle_connection_is_closed_before_the_replica_closes_it() {
    let cluster = Cluster::start_with(1, "/settings/allowed/conn-idle-ms", 400.into());
    for id in ["l2", "l3"] {
        let mut client = cluster.query("order", id, &[0]);
        let sub_request = cluster.sub_request();
        sub_request.respond("v");
        assert_eq!(client.read_status(), 200);
        assert!(sub_request.wait_until_closed());
    }
}

#[test]
fn sub_requests_to_one_replica_are_batched_into_calls() {
    let cluster = Cluster::start_with(1, "/settings/family-info/parts-a-call", 2.into());
    let mut client = cluster.query("find", "m1", &[0, 1, 2]);
    let mut sub_requests = [
        cluster.sub_request(),
        cluster.sub_request(),
        cluster.sub_request(),
    ];
    sub_requests.sort_by_key(|sub_request| sub_request.shard);
    let calls: BTreeSet<_> = sub_requests
        .iter()
        .map(|sent| (sent.peer_address(), sent.frame))
        .collect();
    assert_eq!(
        (calls.len(), sub_requests[0].peer_address()),
        (2, sub_requests[1].peer_address())
    );
    sub_requests
        .iter()
        .for_each(|sub_request| sub_request.respond("v"));
    assert_eq!(client.read_status(), 200);
}
