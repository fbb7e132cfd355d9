//! From a client's connection to the replicas and back, in simulated time: one final answer to each request,
//! how often it is sent, and what is promised.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_dataplane::connection::HttpConnection;
use linenthread_dataplane::{DataPlane, Share, clock, serve};
use linenthread_dataplane_sim::network::{Event, Inbound, Listener, Network, Peer, WriteFate};
use linenthread_dataplane_sim::replica::message;
use linenthread_dataplane_sim::world::{HOST, configuration, settings};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;
use yare::parameterized;

/// Replicas that do the same with each request, and count them.
#[derive(Clone)]
struct Replicas {
    reply: Vec<Event>,
    requests: Rc<Cell<usize>>,
}

impl Listener for Replicas {
    fn accept(&self) -> Option<(Duration, Box<dyn Peer>)> {
        Some((Duration::ZERO, Box::new(self.clone())))
    }
}

impl Peer for Replicas {
    fn write_fate(&mut self, _: &[u8]) -> WriteFate {
        WriteFate::Taken
    }

    fn receive(&mut self, _: &[u8], inbound: &mut Inbound) {
        self.requests.set(self.requests.get() + 1);
        self.reply
            .iter()
            .for_each(|event| inbound.push(Duration::from_millis(2), event.clone()));
    }
}

/// A front with these replicas of both services that are asked alone.
fn front(replicas: Option<&Replicas>) -> Rc<DataPlane<Network>> {
    clock::restart();
    let network = Network::default();
    let plane = DataPlane::new(Rc::new(settings()), 1, network.clone());
    plane.adopt(configuration().as_bytes());
    plane.allot(Share {
        free: 100.0,
        until: u64::MAX,
        own: 0,
        fronts: 1,
        epoch: 1,
    });
    let Some(replicas) = replicas else {
        return plane;
    };
    let told = ["s1", "s4", "s1", "s4"]
        .iter()
        .zip(1u8..)
        .map(|(service, n)| {
            let address = SocketAddr::from(([10, 0, 0, n], 80));
            network.listen(address, Rc::new(replicas.clone()));
            linenthread_messages::Replica {
                id: format!("i{n}"),
                backend: (*service).into(),
                address: address.to_string(),
                ..Default::default()
            }
        });
    plane.hear(&told.collect::<Vec<_>>(), true);
    plane
}

/// The status that a front answers a request with.
async fn status(replicas: Option<Replicas>, path: &str, headers: &str) -> u16 {
    let plane = front(replicas.as_ref());
    let (near, far) = tokio::io::duplex(4_096);
    spawn_local(serve(far, SocketAddr::from(([127, 0, 0, 1], 1)), plane));
    let mut http = HttpConnection::new(near);
    let by = Instant::now() + Duration::from_secs(10);
    let request = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\n{headers}\r\n");
    http.write(request.as_bytes(), by).await.unwrap();
    http.answer(4_096, by).await.unwrap().status
}

fn simulated<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, future)
}

#[parameterized(
    one_id = { "X-Attempt-Id: a\r\n", 503 },
    no_id = { "", 400 },
    empty_id = { "X-Attempt-Id: \r\n", 400 },
    two_ids = { "X-Attempt-Id: a\r\nX-Attempt-Id: b\r\n", 400 },
    time_that_is_none = { "X-Attempt-Id: a\r\nX-Remaining-Ms: soon\r\n", 400 },
)]
fn a_request_has_one_id(headers: &str, expected: u16) {
    assert_eq!(simulated(status(None, "/one/x", headers)), expected);
}

fn sealed(id: &str) -> Vec<u8> {
    message(200, id, "seal", "", b"body")
}

fn without_last(mut bytes: Vec<u8>) -> Vec<u8> {
    bytes.pop();
    bytes
}

fn rejected(id: &str) -> Vec<u8> {
    message(503, id, "", "X-Not-Executed: 1\r\n", b"")
}

#[parameterized(
    answered = { vec![Event::Bytes(sealed("a"))], 200 },
    silent = { vec![], 502 },
    reset = { vec![Event::Reset], 502 },
    closed = { vec![Event::Close], 502 },
    half_and_reset = { vec![Event::Bytes(sealed("a")[..50].to_vec()), Event::Reset], 502 },
    without_its_last_byte = { vec![Event::Bytes(without_last(sealed("a"))), Event::Close], 502 },
    without_id = { vec![Event::Bytes(sealed(""))], 502 },
    of_another = { vec![Event::Bytes(sealed("b"))], 502 },
    refused_for_another = { vec![Event::Bytes(rejected("b"))], 502 },
    failed = { vec![Event::Bytes(message(500, "a", "", "", b""))], 502 },
    failed_with_a_seal = { vec![Event::Bytes(message(500, "a", "seal", "", b""))], 500 },
)]
fn what_may_not_be_repeated_and_may_have_run_is_sent_once(reply: Vec<Event>, expected: u16) {
    let replicas = Replicas {
        reply,
        requests: Rc::default(),
    };
    let got = simulated(status(
        Some(replicas.clone()),
        "/once/x",
        "X-Attempt-Id: a\r\n",
    ));
    assert_eq!((got, replicas.requests.get()), (expected, 1));
}

#[parameterized(
    by_its_id = { rejected("a") },
    on_a_first_request = { rejected("") },
    by_another_at_the_address = { message(421, "", "", "X-Replica-Id: j\r\n", b"") },
)]
fn what_never_ran_is_sent_again_and_refused_with_a_promise(reply: Vec<u8>) {
    let replicas = Replicas {
        reply: vec![Event::Bytes(reply)],
        requests: Rc::default(),
    };
    let got = simulated(status(
        Some(replicas.clone()),
        "/once/x",
        "X-Attempt-Id: a\r\n",
    ));
    assert_eq!(got, 503);
    assert!(replicas.requests.get() > 1);
}

#[test]
fn what_may_be_repeated_is_sent_again_after_a_reset() {
    let replicas = Replicas {
        reply: vec![Event::Reset],
        requests: Rc::default(),
    };
    let got = simulated(status(
        Some(replicas.clone()),
        "/one/x",
        "X-Attempt-Id: a\r\n",
    ));
    assert_eq!(got, 502);
    assert!(replicas.requests.get() > 1);
}
