//! Client connections: which are kept, and which are closed because they are idle, incomplete or too many.

use std::iter;
use std::thread;
use std::time::{Duration, Instant};

use linenthread_fakes::request;

use crate::cluster::Cluster;

#[test]
fn idle_client_connections_are_closed() {
    let cluster = Cluster::start(2);
    let start = Instant::now();
    let good = request("find", "p1", &[0]);
    let incomplete_requests = [
        "",
        "POST /find HT",
        good.split_once("\r\n\r\n").unwrap().0,
        &good[..good.len() - 9],
    ];
    let mut clients: Vec<_> = incomplete_requests
        .iter()
        .map(|text| (cluster.service.connect(), *text))
        .collect();
    clients
        .iter_mut()
        .for_each(|(client, text)| client.send(text));
    // A connection that has received a response is kept for longer.
    let mut kept = cluster.query("find", "p2", &[0]);
    cluster.sub_request().respond("v");
    assert_eq!(kept.read_status(), 200);
    for (client, text) in &mut clients {
        let response = client.read_response();
        assert!(
            response.is_none_or(|response| response.status == 408),
            "after {text:?}"
        );
    }
    assert!(start.elapsed().as_secs_f64() < 3.0);
    kept.query("find", "p3", &[0]);
    cluster.sub_request().respond("v");
    assert_eq!(kept.read_status(), 200);
}

#[test]
fn connections_idle_after_a_request_are_closed_beyond_a_sixth_of_the_limit() {
    let cluster = Cluster::start_with(2, "/limits/sockets", 120.into());
    let mut idle_clients: Vec<_> = (0..30)
        .map(|id| {
            let mut client = cluster.query("order", &format!("t{id}"), &[0]);
            cluster.sub_request().respond("v");
            assert_eq!(client.read_status(), 200);
            client
        })
        .collect();
    // A sixth of the limit, 20, is kept: the most recently used connections.
    assert!(
        idle_clients
            .drain(..10)
            .all(|mut client| client.read_response().is_none())
    );
    for (n, client) in idle_clients.iter_mut().enumerate().skip(10) {
        client.query("order", &format!("u{n}"), &[0]);
        cluster.sub_request().respond("v");
        assert_eq!(client.read_status(), 200);
    }
}

#[test]
fn incomplete_requests_do_not_block_other_clients() {
    let cluster = Cluster::start_with(2, "/limits/sockets", 64.into());
    let good = request("find", "v1", &[0]);
    let connect_incompletely = |n: usize| {
        let mut client = cluster.service.connect();
        client.send(&good[..good.len() - 1 - 100 * (n % 2)]);
        client
    };
    // One connection fewer than the limit, for longer than a valid request takes.
    let mut incomplete_clients: Vec<_> = (0..23).map(connect_incompletely).collect();
    thread::sleep(Duration::from_millis(300));
    let mut client = cluster.service.connect();
    assert!(
        incomplete_clients[0]
            .read_response()
            .is_none_or(|response| response.status == 400),
        "the oldest connection is closed to admit the new one"
    );
    client.query("find", "v2", &[0]);
    cluster.sub_request().respond("v");
    assert_eq!(client.read_status(), 200);
}

#[test]
fn extra_bytes_after_a_request_do_not_prevent_its_response() {
    let cluster = Cluster::start(2);
    for next in [
        "nonsense\r\n\r\n".to_owned(),
        request("find", "q2", &[9]).repeat(300),
    ] {
        // The extra bytes are sent in the same write as the request, then while a request waits for its response.
        let mut client = cluster.service.connect();
        client.send(&format!("{}{next}", request("order", "q0", &[0])));
        cluster.sub_request().respond("v");
        assert_eq!(client.read_status(), 200);
        let mut client = cluster.service.connect();
        client.send(&request("order", "q1", &[0]));
        let sub_request = cluster.sub_request();
        client.send(&next);
        let mut other = cluster.query("order", "q3", &[0]);
        cluster.sub_request().respond("v");
        assert_eq!(other.read_status(), 200);
        sub_request.respond("v");
        assert_eq!(client.read_status(), 200);
        let rest: Vec<u16> = iter::from_fn(|| client.read_response())
            .map(|response| response.status)
            .collect();
        assert!(
            !rest.is_empty() && rest.iter().all(|s| *s == 400),
            "{rest:?}"
        );
    }
}

#[test]
fn new_clients_are_served_when_idle_connections_exceed_the_limit() {
    let cluster = Cluster::start_with(2, "/limits/sockets", 64.into());
    let mut idle: Vec<_> = (0..80).map(|_| cluster.service.connect()).collect();
    let mut client = cluster.query("find", "i1", &[0]);
    cluster.sub_request().respond("v");
    assert_eq!(client.read_status(), 200);
    assert!(
        idle[0].read_response().is_none(),
        "the connection idle for longest was closed"
    );
}
