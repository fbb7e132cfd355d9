//! Tests of the graceful shutdown in simulated time: what becomes of each request that has been read, or is being read,
//! when the process ends. The process ends when [`drain`] returns.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_dataplane::{DataPlane, ShutdownSchedule, UpdateScope, drain, serve};
use linenthread_dataplane_sim::deployment::{HOST, data_plane};
use linenthread_dataplane_sim::network::{
    Accepted, Inbound, InboundEvent, Listener, Network, Peer,
};
use linenthread_dataplane_sim::replica::messages::{self, Message};
use linenthread_dataplane_sim::simulation::in_simulated_time;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// The grace period of the tests. Requests in flight are abandoned 600 ms before its end.
const GRACE: Duration = Duration::from_millis(1_200);
/// When the last requests are abandoned, from the start of the shutdown.
const RESPOND_WITHIN: Duration = Duration::from_millis(600);
/// How long before the start of the shutdown a request is sent.
const BEFORE_SHUTDOWN: Duration = Duration::from_millis(50);
/// How much later than scheduled a shutdown may end.
const POLL_MARGIN: Duration = Duration::from_millis(20);
/// How long before that deadline the last responses may be written.
const RESPONSE_MARGIN: Duration = Duration::from_millis(50);
/// Capacity of a client's connection, in bytes.
const PIPE_BYTES: usize = 4_096;
/// The quota of an ingress node whose retry budget is used up.
const NO_RETRIES: f64 = 0.0;
/// The quota of an ingress node that may send more retries than any test needs.
const MANY_RETRIES: f64 = 100.0;

/// A replica that sends the same reply to each request after a time, or nothing, and counts the requests.
#[derive(Clone)]
struct StubReplica {
    reply: Option<(Duration, Vec<u8>)>,
    requests: Rc<Cell<usize>>,
    /// The time that the last request granted.
    last_remaining: Rc<Cell<Duration>>,
}

impl StubReplica {
    fn replying(after_ms: u64, reply: Vec<u8>) -> StubReplica {
        StubReplica {
            reply: Some((Duration::from_millis(after_ms), reply)),
            ..StubReplica::silent()
        }
    }

    /// A replica that is full: it rejects each request without running it.
    fn full() -> StubReplica {
        StubReplica::replying(2, messages::rejection(Some("a")))
    }

    /// A replica that responds to each request.
    fn responding(after_ms: u64) -> StubReplica {
        let response = Message {
            request_id: Some("a"),
            seal: Some("seal"),
            body: b"sixteen bytes...",
            ..Message::default()
        };
        StubReplica::replying(after_ms, response.to_bytes())
    }

    /// A replica that works on each request until long after the process has ended.
    fn silent() -> StubReplica {
        StubReplica {
            reply: None,
            requests: Rc::default(),
            last_remaining: Rc::default(),
        }
    }
}

impl Listener for StubReplica {
    fn accept(&self) -> Option<Accepted> {
        Some(Accepted::immediately(self.clone()))
    }
}

impl Peer for StubReplica {
    fn receive(&mut self, bytes: &[u8], inbound: &mut Inbound) {
        self.requests.set(self.requests.get() + 1);
        let head = String::from_utf8_lossy(bytes);
        let remaining = head
            .lines()
            .find_map(|line| line.strip_prefix("X-Remaining-Ms: "));
        let remaining_ms = remaining.and_then(|ms| ms.parse().ok()).unwrap_or(0);
        self.last_remaining.set(Duration::from_millis(remaining_ms));
        if let Some((after, reply)) = &self.reply {
            inbound.push(*after, InboundEvent::Bytes(reply.clone()));
        }
    }
}

/// Creates an ingress node with one replica for each of these backends.
fn ingress(retries_per_window: f64, replicas: &[(&str, &StubReplica)]) -> Rc<DataPlane<Network>> {
    let network = Network::default();
    let plane = data_plane(1, network.clone(), retries_per_window);
    let registered = replicas.iter().zip(1u8..).map(|((backend, replica), n)| {
        let address = SocketAddr::from(([10, 0, 0, n], 80));
        network.listen(address, Rc::new((*replica).clone()));
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

/// Returns a complete request.
fn request(method: &str, path: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a\r\nContent-Length: 5\r\n\r\norder"
    )
}

/// A client's connection, and the task that serves it.
struct Client {
    stream: DuplexStream,
    serving: JoinHandle<()>,
}

impl Client {
    fn connect(plane: &Rc<DataPlane<Network>>) -> Client {
        let (stream, server) = tokio::io::duplex(PIPE_BYTES);
        let peer = SocketAddr::from(([127, 0, 0, 1], 1));
        Client {
            stream,
            serving: spawn_local(serve(server, peer, plane.clone())),
        }
    }

    async fn send(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).await.unwrap();
    }

    /// Ends the process, and returns the status of each response that the client received before.
    async fn statuses_at_exit(mut self) -> Vec<u16> {
        self.serving.abort();
        let mut received = String::new();
        self.stream.read_to_string(&mut received).await.unwrap();
        received
            .split("HTTP/1.1 ")
            .skip(1)
            .map(|response| response[..3].parse().unwrap())
            .collect()
    }
}

/// What a client saw until the process ended.
#[derive(Debug, PartialEq, Eq)]
struct Seen {
    /// The statuses of the responses.
    statuses: Vec<u16>,
    /// The time from the start of the shutdown until the last response was written or given up.
    drained_after: Duration,
}

/// Sends the bytes to an ingress node, requests a shutdown shortly afterwards, and returns what the client saw.
fn at_shutdown(
    retries_per_window: f64,
    replicas: &[(&str, &StubReplica)],
    bytes: &str,
    grace: Duration,
) -> Seen {
    in_simulated_time(async {
        let plane = ingress(retries_per_window, replicas);
        let mut client = Client::connect(&plane);
        client.send(bytes).await;
        sleep(BEFORE_SHUTDOWN).await;
        let start = Instant::now();
        drain(&plane, &ShutdownSchedule::new(grace)).await;
        Seen {
            drained_after: start.elapsed(),
            statuses: client.statuses_at_exit().await,
        }
    })
}

/// Guards against LOST of review case 2: a request waiting for the retry budget was cut without a response at the exit.
#[parameterized(
    mutating = { "POST", "/once/x", "s4" },
    idempotent = { "GET", "/one/x", "s1" },
)]
fn a_request_waiting_for_the_retry_budget_gets_503_before_the_exit(
    method: &str,
    path: &str,
    backend: &str,
) {
    let full = StubReplica::full();
    let seen = at_shutdown(
        NO_RETRIES,
        &[(backend, &full)],
        &request(method, path),
        GRACE,
    );
    assert_eq!((seen.statuses, full.requests.get()), (vec![503], 1));
}

/// Guards against LOST of review case 2 for merged responses: the missing part was waited for until the exit.
#[parameterized(
    others_received = { StubReplica::responding(2), 200 },
    others_received_late = { StubReplica::responding(300), 200 },
    all_waiting = { StubReplica::full(), 503 },
    others_in_flight_at_the_exit = { StubReplica::silent(), 502 },
)]
fn a_merged_response_with_a_waiting_sub_request_ends_before_the_exit(
    others: StubReplica,
    expected: u16,
) {
    let full = StubReplica::full();
    let replicas = [("s1", &full), ("s2", &others), ("s3", &others)];
    let seen = at_shutdown(NO_RETRIES, &replicas, &request("GET", "/all/x"), GRACE);
    assert_eq!(seen.statuses, [expected]);
}

/// Guards against LOST of review case 2 where the grace period is shorter than the margin for the exit.
#[parameterized(
    shorter_than_the_margin = { Duration::from_millis(300) },
    none = { Duration::ZERO },
)]
fn a_waiting_request_gets_503_however_short_the_grace_period_is(grace: Duration) {
    let full = StubReplica::full();
    let seen = at_shutdown(
        NO_RETRIES,
        &[("s4", &full)],
        &request("POST", "/once/x"),
        grace,
    );
    assert_eq!(seen.statuses, [503]);
    assert!(seen.drained_after <= grace + POLL_MARGIN, "{seen:?}");
}

/// Guards against REFUSED in place of LOST: a request that a replica may still run gets no 503, and is not given up
/// before the deadline because its replica is silent.
#[parameterized(
    mutating = { "POST", "/once/x", "s4" },
    idempotent = { "GET", "/one/x", "s1" },
)]
fn a_request_in_flight_is_waited_for_until_the_deadline_and_gets_502(
    method: &str,
    path: &str,
    backend: &str,
) {
    let silent = StubReplica::silent();
    let seen = at_shutdown(
        MANY_RETRIES,
        &[(backend, &silent)],
        &request(method, path),
        GRACE,
    );
    assert_eq!(seen.statuses, [502]);
    assert!(
        seen.drained_after + RESPONSE_MARGIN >= RESPOND_WITHIN,
        "{seen:?}"
    );
    assert!(seen.drained_after < GRACE, "{seen:?}");
}

/// Guards against LOST and REFUSED of a request with a hedged attempt: while either replica may respond it is waited for,
/// and it gets no 503, since either may have run it.
#[parameterized(
    neither_responds = { StubReplica::silent(), 502 },
    hedged_attempt_responds_late = { StubReplica::responding(200), 200 },
    hedged_attempt_is_rejected = { StubReplica::full(), 502 },
)]
fn a_request_with_a_hedged_attempt_in_flight_gets_its_response_before_the_exit(
    second: StubReplica,
    expected: u16,
) {
    let silent = StubReplica::silent();
    // Which replica comes first depends on a hash of the request.
    for (first, hedged) in [(&silent, &second), (&second, &silent)] {
        first.requests.set(0);
        hedged.requests.set(0);
        let replicas = [("s1", first), ("s1", hedged)];
        let seen = at_shutdown(MANY_RETRIES, &replicas, &request("GET", "/one/x"), GRACE);
        assert_eq!(seen.statuses, [expected]);
        assert!(first.requests.get() > 0 && hedged.requests.get() > 0);
        assert!(seen.drained_after < GRACE, "{seen:?}");
    }
}

/// Guards against an exchange that is cut while its replica works.
#[test]
fn a_response_that_arrives_shortly_before_the_deadline_is_forwarded() {
    let slow = StubReplica::responding(610);
    let seen = at_shutdown(
        MANY_RETRIES,
        &[("s4", &slow)],
        &request("POST", "/once/x"),
        GRACE,
    );
    assert_eq!(seen.statuses, [200]);
}

/// Guards against LOST of a request that is read in the last milliseconds: it is answered, and not sent to a replica
/// that could not respond in time.
#[test]
fn a_request_that_arrives_shortly_before_the_exit_gets_a_response() {
    for before_deadline in [0, 1, 5, 14, 16, 25].map(Duration::from_millis) {
        let silent = StubReplica::silent();
        let statuses = in_simulated_time(async {
            let plane = ingress(MANY_RETRIES, &[("s4", &silent)]);
            let mut client = Client::connect(&plane);
            let (first, rest) = (
                "POST /o",
                "nce/x HTTP/1.1\r\nHost: index.example\r\nX-Attempt-Id: a\r\n\r\n",
            );
            client.send(first).await;
            let schedule = ShutdownSchedule::new(GRACE);
            let draining = spawn_local({
                let plane = plane.clone();
                async move { drain(&plane, &schedule).await }
            });
            sleep(RESPOND_WITHIN - before_deadline).await;
            client.send(rest).await;
            draining.await.unwrap();
            client.statuses_at_exit().await
        });
        let expected = if silent.requests.get() == 0 { 503 } else { 502 };
        assert_eq!(
            statuses,
            [expected],
            "{before_deadline:?} before the deadline"
        );
    }
}

/// Guards against LOST of requests that have been read behind another one: its response said that the connection closes,
/// and they got none.
#[parameterized(
    both_succeed = { 200, 60, vec![200, 200] },
    second_is_in_flight_at_the_exit = { 560, 560, vec![200, 502] },
)]
fn pipelined_requests_that_were_read_get_responses(
    first_ms: u64,
    second_ms: u64,
    expected: Vec<u16>,
) {
    let (first, second) = (
        StubReplica::responding(first_ms),
        StubReplica::responding(second_ms),
    );
    let both = request("POST", "/once/x") + &request("GET", "/one/x");
    let replicas = [("s4", &first), ("s1", &second)];
    let seen = at_shutdown(MANY_RETRIES, &replicas, &both, GRACE);
    assert_eq!(seen.statuses, expected);
}

/// Guards against a half-read request that is sent on, or that delays the exit: its client may send it again.
#[test]
fn a_request_that_is_not_complete_at_the_exit_is_not_sent() {
    let replica = StubReplica::responding(2);
    let incomplete = request("POST", "/once/x");
    let incomplete = &incomplete[..incomplete.len() - 1];
    let seen = at_shutdown(MANY_RETRIES, &[("s4", &replica)], incomplete, GRACE);
    assert_eq!((&seen.statuses, replica.requests.get()), (&vec![], 0));
    assert!(seen.drained_after < GRACE, "{seen:?}");
}

/// Guards against LOST of a waiting request whose replica departs, or whose route is removed, during the shutdown.
#[parameterized(
    replica_departs = { true, false },
    route_is_removed = { false, true },
    both = { true, true },
)]
fn a_waiting_request_gets_503_if_its_destination_is_removed(departs: bool, route_removed: bool) {
    let full = StubReplica::full();
    let statuses = in_simulated_time(async {
        let plane = ingress(NO_RETRIES, &[("s4", &full)]);
        let mut client = Client::connect(&plane);
        client.send(&request("POST", "/once/x")).await;
        sleep(BEFORE_SHUTDOWN).await;
        let draining = spawn_local({
            let plane = plane.clone();
            async move { drain(&plane, &ShutdownSchedule::new(GRACE)).await }
        });
        sleep(BEFORE_SHUTDOWN).await;
        if departs {
            plane.update_replicas(&[], UpdateScope::Complete);
        }
        if route_removed {
            plane.apply_configuration(br#"{"revision":9,"route_table":[],"backends":[]}"#);
        }
        draining.await.unwrap();
        client.statuses_at_exit().await
    });
    assert_eq!(statuses, [503]);
}

/// Guards against an attempt that grants a replica more time than the process has left: its response would be lost.
#[test]
fn no_attempt_during_a_shutdown_grants_time_beyond_the_deadline() {
    let replica = StubReplica::silent();
    let (remaining, elapsed) = in_simulated_time(async {
        let plane = ingress(MANY_RETRIES, &[("s4", &replica)]);
        let start = Instant::now();
        let draining = spawn_local({
            let plane = plane.clone();
            async move { drain(&plane, &ShutdownSchedule::new(GRACE)).await }
        });
        sleep(BEFORE_SHUTDOWN).await;
        let mut client = Client::connect(&plane);
        client.send(&request("POST", "/once/x")).await;
        let elapsed = start.elapsed();
        draining.await.unwrap();
        (replica.last_remaining.get(), elapsed)
    });
    assert!(
        elapsed + remaining <= RESPOND_WITHIN,
        "{remaining:?} after {elapsed:?}"
    );
}
