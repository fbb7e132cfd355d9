//! Tests of the path from a client connection to the replicas and back, in simulated time: one final response per
//! request, the number of attempts, and what the status guarantees.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_dataplane::connection::HttpConnection;
use linenthread_dataplane::{DataPlane, RetryQuota, UpdateScope, clock, serve};
use linenthread_dataplane_sim::deployment::{
    HOST, ROUTE_TIMEOUT_MS, data_plane, data_plane_without_configuration,
};
use linenthread_dataplane_sim::network::{
    Accepted, Inbound, InboundEvent, Listener, Network, Peer,
};
use linenthread_dataplane_sim::replica::messages::{self, Message};
use linenthread_dataplane_sim::simulation::in_simulated_time;
use linenthread_http::Head;
use tokio::task::spawn_local;
use tokio::time::Instant;
use yare::parameterized;

/// The retry quota of the ingress node: more than any test needs.
const RETRIES_PER_WINDOW: f64 = 100.0;

/// Replicas that send the same reply to each request, and count the requests.
#[derive(Clone)]
struct Replicas {
    reply: Vec<InboundEvent>,
    requests: Rc<Cell<usize>>,
}

/// Replicas that reset the connection at each request, and record each request with its time.
#[derive(Clone, Default)]
struct RecordingReplicas(Rc<RefCell<Vec<(Instant, String)>>>);

impl RecordingReplicas {
    /// Returns for each request the milliseconds since `start`, and the milliseconds that its `X-Remaining-Ms` grants.
    fn remaining_times(&self, start: Instant) -> Vec<(u64, u64)> {
        let received = self.0.borrow();
        let remaining = |text: &str| {
            let line = text
                .lines()
                .find_map(|line| line.strip_prefix("X-Remaining-Ms: "));
            line.and_then(|ms| ms.parse().ok()).expect("a number")
        };
        received
            .iter()
            .map(|(at, text)| (millis(*at - start), remaining(text)))
            .collect()
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("a short time")
}

impl Listener for RecordingReplicas {
    fn accept(&self) -> Option<Accepted> {
        Some(Accepted::immediately(self.clone()))
    }
}

impl Peer for RecordingReplicas {
    fn receive(&mut self, bytes: &[u8], inbound: &mut Inbound) {
        let text = String::from_utf8_lossy(bytes).into_owned();
        self.0.borrow_mut().push((Instant::now(), text));
        inbound.push(Duration::from_millis(40), InboundEvent::Reset);
    }
}

impl Replicas {
    /// Creates replicas that respond to each request.
    fn responding() -> Replicas {
        Replicas {
            reply: vec![InboundEvent::Bytes(sealed(Some("a")))],
            requests: Rc::default(),
        }
    }
}

impl Listener for Replicas {
    fn accept(&self) -> Option<Accepted> {
        Some(Accepted::immediately(self.clone()))
    }
}

impl Peer for Replicas {
    fn receive(&mut self, _: &[u8], inbound: &mut Inbound) {
        self.requests.set(self.requests.get() + 1);
        self.reply
            .iter()
            .for_each(|event| inbound.push(Duration::from_millis(2), event.clone()));
    }
}

/// Creates an ingress node with these replicas for both backends that are queried alone.
fn ingress(replicas: Option<&Replicas>) -> Rc<DataPlane<Network>> {
    match replicas {
        Some(replicas) => ingress_with(&Rc::new(replicas.clone())),
        None => data_plane(1, Network::default(), RETRIES_PER_WINDOW),
    }
}

/// Creates an ingress node whose replicas are all served by `replicas`.
fn ingress_with<L: Listener + 'static>(replicas: &Rc<L>) -> Rc<DataPlane<Network>> {
    let network = Network::default();
    let plane = data_plane(1, network.clone(), RETRIES_PER_WINDOW);
    let registered = ["s1", "s4", "s1", "s4"]
        .iter()
        .zip(1u8..)
        .map(|(backend, n)| {
            let address = SocketAddr::from(([10, 0, 0, n], 80));
            network.listen(address, replicas.clone());
            linenthread_messages::Replica {
                id: format!("i{n}"),
                backend: (*backend).into(),
                address: address.to_string(),
                ..Default::default()
            }
        });
    plane.update_replicas(&registered.collect::<Vec<_>>(), UpdateScope::Complete);
    plane
}

/// Returns the status of an ingress node's response to a request.
async fn status(replicas: Option<Replicas>, path: &str, headers: &str) -> u16 {
    response_head(replicas, "GET", path, headers).await.status()
}

/// Returns the head of an ingress node's response to a request.
async fn response_head(
    replicas: Option<Replicas>,
    method: &str,
    path: &str,
    headers: &str,
) -> Head {
    response_head_at(ingress(replicas.as_ref()), method, path, headers).await
}

/// Returns the status of the response to a request to this ingress node.
async fn status_at(plane: Rc<DataPlane<Network>>, path: &str) -> u16 {
    let headers = "X-Attempt-Id: a\r\n";
    response_head_at(plane, "GET", path, headers).await.status()
}

async fn response_head_at(
    plane: Rc<DataPlane<Network>>,
    method: &str,
    path: &str,
    headers: &str,
) -> Head {
    let (client, server) = tokio::io::duplex(4_096);
    spawn_local(serve(server, SocketAddr::from(([127, 0, 0, 1], 1)), plane));
    let mut http = HttpConnection::new(client);
    let deadline = Instant::now() + Duration::from_secs(10);
    let request = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{headers}\r\n");
    http.write(request.as_bytes(), deadline).await.unwrap();
    http.read_response_head(4_096, deadline).await.unwrap()
}

#[parameterized(
    one_id = { "X-Attempt-Id: a\r\n", 503 },
    no_id = { "", 400 },
    empty_id = { "X-Attempt-Id: \r\n", 400 },
    two_ids = { "X-Attempt-Id: a\r\nX-Attempt-Id: b\r\n", 400 },
    time_that_is_not_a_number = { "X-Attempt-Id: a\r\nX-Remaining-Ms: soon\r\n", 400 },
)]
fn a_request_needs_exactly_one_id(headers: &str, expected: u16) {
    assert_eq!(in_simulated_time(status(None, "/one/x", headers)), expected);
}

fn sealed(request_id: Option<&str>) -> Vec<u8> {
    Message {
        request_id,
        seal: Some("seal"),
        body: b"body",
        ..Message::default()
    }
    .to_bytes()
}

fn server_error(seal: Option<&str>) -> Vec<u8> {
    Message {
        status: 500,
        request_id: Some("a"),
        seal,
        ..Message::default()
    }
    .to_bytes()
}

fn without_last(mut bytes: Vec<u8>) -> Vec<u8> {
    bytes.pop();
    bytes
}

#[parameterized(
    answered = { vec![InboundEvent::Bytes(sealed(Some("a")))], 200 },
    timed_out = { vec![], 502 },
    reset = { vec![InboundEvent::Reset], 502 },
    closed = { vec![InboundEvent::Close], 502 },
    truncated_by_a_reset = { vec![InboundEvent::Bytes(sealed(Some("a"))[..50].to_vec()), InboundEvent::Reset], 502 },
    without_its_last_byte = { vec![InboundEvent::Bytes(without_last(sealed(Some("a")))), InboundEvent::Close], 502 },
    without_id = { vec![InboundEvent::Bytes(sealed(None))], 502 },
    of_another_request = { vec![InboundEvent::Bytes(sealed(Some("b")))], 502 },
    rejection_of_another_request = { vec![InboundEvent::Bytes(messages::rejection(Some("b")))], 502 },
    failed = { vec![InboundEvent::Bytes(server_error(None))], 502 },
    failed_with_a_seal = { vec![InboundEvent::Bytes(server_error(Some("seal")))], 500 },
)]
fn a_mutating_request_that_may_have_run_is_sent_once(reply: Vec<InboundEvent>, expected: u16) {
    let replicas = Replicas {
        reply,
        requests: Rc::default(),
    };
    let actual = in_simulated_time(status(
        Some(replicas.clone()),
        "/once/x",
        "X-Attempt-Id: a\r\n",
    ));
    assert_eq!((actual, replicas.requests.get()), (expected, 1));
}

#[parameterized(
    by_its_id = { messages::rejection(Some("a")) },
    on_a_first_request = { messages::rejection(None) },
    by_another_replica_at_the_address = { messages::misdirection("j") },
)]
fn a_mutating_request_that_never_ran_is_retried_and_finally_gets_503(reply: Vec<u8>) {
    let replicas = Replicas {
        reply: vec![InboundEvent::Bytes(reply)],
        requests: Rc::default(),
    };
    let actual = in_simulated_time(status(
        Some(replicas.clone()),
        "/once/x",
        "X-Attempt-Id: a\r\n",
    ));
    assert_eq!(actual, 503);
    assert!(replicas.requests.get() > 1);
}

/// Returns a sealed response without `Content-Length`.
fn without_length() -> InboundEvent {
    let response = String::from_utf8(sealed(Some("a"))).unwrap();
    InboundEvent::Bytes(response.replace("Content-Length: 4\r\n", "").into_bytes())
}

#[parameterized(
    closed = { InboundEvent::Close, 200 },
    reset = { InboundEvent::Reset, 502 },
)]
fn a_response_without_length_is_complete_if_its_connection_is_closed(
    end: InboundEvent,
    expected: u16,
) {
    let replicas = Replicas {
        reply: vec![without_length(), end],
        requests: Rc::default(),
    };
    let actual = in_simulated_time(status(
        Some(replicas.clone()),
        "/once/x",
        "X-Attempt-Id: a\r\n",
    ));
    assert_eq!((actual, replicas.requests.get()), (expected, 1));
}

#[test]
fn an_idempotent_request_is_retried_after_a_reset() {
    let replicas = Replicas {
        reply: vec![InboundEvent::Reset],
        requests: Rc::default(),
    };
    let actual = in_simulated_time(status(
        Some(replicas.clone()),
        "/one/x",
        "X-Attempt-Id: a\r\n",
    ));
    assert_eq!(actual, 502);
    assert!(replicas.requests.get() > 1);
}

/// Returns the head of a replica's response to a `HEAD`, with these lines in addition to id and seal.
fn response_to_head(lines: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Replica-Seal: s\r\n{lines}\r\n").into_bytes()
}

#[parameterized(
    with_length = { Some("Content-Length: 17\r\n"), Some("17") },
    without_length = { Some(""), None },
    rejected_by_the_ingress_node = { None, Some("0") },
)]
fn a_response_to_head_states_the_length_if_it_is_known(
    lines: Option<&str>,
    expected: Option<&str>,
) {
    let replicas = lines.map(|lines| Replicas {
        reply: vec![InboundEvent::Bytes(response_to_head(lines))],
        requests: Rc::default(),
    });
    let head = in_simulated_time(response_head(
        replicas,
        "HEAD",
        "/one/x",
        "X-Attempt-Id: a\r\n",
    ));
    assert_eq!(head.header("content-length"), expected);
}

#[test]
fn requests_follow_a_replica_to_its_new_address() {
    let (former_replica, new_replica) = (Replicas::responding(), Replicas::responding());
    let statuses = in_simulated_time(async {
        let network = Network::default();
        let plane = data_plane(1, network.clone(), RETRIES_PER_WINDOW);
        let addresses = [1, 2].map(|n| SocketAddr::from(([10, 0, 0, n], 80)));
        network.listen(addresses[0], Rc::new(former_replica.clone()));
        network.listen(addresses[1], Rc::new(new_replica.clone()));
        let mut statuses = Vec::new();
        for address in addresses {
            let replica = linenthread_messages::Replica {
                id: "i1".into(),
                backend: "s1".into(),
                address: address.to_string(),
                ..Default::default()
            };
            plane.update_replicas(&[replica], UpdateScope::Complete);
            statuses.push(status_at(plane.clone(), "/one/x").await);
        }
        statuses
    });
    assert_eq!(statuses, [200, 200]);
    assert_eq!(
        (former_replica.requests.get(), new_replica.requests.get()),
        (1, 1)
    );
}

/// Guards against DRAIN of review case 3: an ingress node gave up what it knew of a departure for an older record.
#[parameterized(
    older = { 6, 503 },
    same_heartbeat = { 7, 503 },
    newer = { 8, 200 },
)]
fn a_departure_is_not_given_up_for_an_older_record(call_count: u64, expected: u16) {
    let statuses = in_simulated_time(async {
        let network = Network::default();
        let plane = data_plane(1, network.clone(), RETRIES_PER_WINDOW);
        let address = SocketAddr::from(([10, 0, 0, 1], 80));
        network.listen(address, Rc::new(Replicas::responding()));
        let present = |call_count| linenthread_messages::Replica {
            id: "i1".into(),
            backend: "s1".into(),
            address: address.to_string(),
            call_count,
            ..Default::default()
        };
        let ended = linenthread_messages::Replica {
            timed_out_or_ended: true,
            ended: true,
            ..present(7)
        };
        let mut statuses = Vec::new();
        for update in [present(7), ended, present(call_count)] {
            plane.update_replicas(&[update], UpdateScope::Changes);
            statuses.push(status_at(plane.clone(), "/one/x").await);
        }
        statuses
    });
    assert_eq!(statuses, [200, 503, expected]);
}

#[test]
fn a_retry_quota_expires_without_contact_to_control_nodes() {
    let left = in_simulated_time(async {
        let plane = data_plane(1, Network::default(), RETRIES_PER_WINDOW);
        plane.set_retry_quota(RetryQuota {
            retries_per_window: 5.0,
            expires_at: clock::now() + Duration::from_secs(2),
            ..RetryQuota::default()
        });
        let mut left = Vec::new();
        for _ in 0..3 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            plane.expire_retry_quota();
            left.push(plane.retry_quota().retries_per_window);
        }
        left
    });
    assert_eq!(left, [5.0, 0.0, 0.0]);
}

#[test]
fn without_a_configuration_a_request_gets_503_and_not_404() {
    let head = in_simulated_time(async {
        let plane = data_plane_without_configuration(1, Network::default());
        response_head_at(plane, "GET", "/no/such/route", "X-Attempt-Id: a\r\n").await
    });
    assert_eq!(head.status(), 503);
    assert!(head.header("retry-after").is_some());
}

#[parameterized(
    route_timeout = { "X-Remaining-Ms: 60000\r\n", ROUTE_TIMEOUT_MS },
    remaining_time_of_the_client = { "X-Remaining-Ms: 300\r\n", 300 },
)]
fn a_request_that_no_replica_answers_fails_at_its_deadline(headers: &str, limit_ms: u64) {
    let silent = Replicas {
        reply: Vec::new(),
        requests: Rc::default(),
    };
    let (status, elapsed) = in_simulated_time(async {
        let start = Instant::now();
        let headers = format!("X-Attempt-Id: a\r\n{headers}");
        let status = status(Some(silent), "/one/x", &headers).await;
        (status, millis(start.elapsed()))
    });
    assert_eq!(status, 502);
    assert!(
        elapsed >= limit_ms / 2 && elapsed <= limit_ms + 100,
        "{elapsed} ms"
    );
}

#[test]
fn no_attempt_grants_more_time_than_the_client_has_left() {
    let replicas = Rc::new(RecordingReplicas::default());
    let times = in_simulated_time(async {
        let start = Instant::now();
        let headers = "X-Attempt-Id: a\r\nX-Remaining-Ms: 700\r\n";
        let plane = ingress_with(&replicas);
        response_head_at(plane, "GET", "/one/x", headers).await;
        replicas.remaining_times(start)
    });
    assert!(times.len() > 1, "expected a retry: {times:?}");
    for (elapsed, remaining) in times {
        assert!(
            elapsed + remaining <= 700,
            "{elapsed} ms after the start, {remaining} ms remained"
        );
    }
}

#[test]
fn no_retry_is_sent_after_the_client_disconnects() {
    let replicas = Rc::new(RecordingReplicas::default());
    let requests = in_simulated_time(async {
        let plane = ingress_with(&replicas);
        let (client, server) = tokio::io::duplex(4_096);
        spawn_local(serve(server, SocketAddr::from(([127, 0, 0, 1], 1)), plane));
        let mut http = HttpConnection::new(client);
        let request = format!("GET /one/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a\r\n\r\n");
        let deadline = Instant::now() + Duration::from_secs(1);
        http.write(request.as_bytes(), deadline).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        drop(http);
        let while_connected = replicas.0.borrow().len();
        tokio::time::sleep(Duration::from_secs(2)).await;
        (while_connected, replicas.0.borrow().len())
    });
    assert_eq!(
        requests,
        (1, 1),
        "the attempt in flight is reset later, and not retried"
    );
}
