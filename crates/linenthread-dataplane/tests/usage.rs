//! Tests of how requests through the dispatchers are counted per tenant, in simulated time.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_dataplane::outcome::ResponseUse;
use linenthread_dataplane::pool::ReplicaRequest;
use linenthread_dataplane::{DataPlane, QueryParameters, UpdateScope, clock};
use linenthread_dataplane_sim::deployment::{HOST, data_plane};
use linenthread_dataplane_sim::network::{
    Accepted, Inbound, InboundEvent, Listener, Network, Peer,
};
use linenthread_dataplane_sim::replica::messages::{self, Message};
use linenthread_dataplane_sim::simulation::in_simulated_time;
use linenthread_time::WallTime;
use yare::parameterized;

/// The retry quota of the ingress node: more than any test needs.
const RETRIES_PER_WINDOW: f64 = 100.0;
/// The window in which requests are sent.
const WINDOW: u64 = 100;
/// The length of a window, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// Longer than any request, in tenths of a millisecond.
const DEADLINE_TENTHS: i64 = 10_000;
/// The time after which all attempts have ended.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Replicas that respond to their first requests with one reply each, and to all others with the last reply.
#[derive(Clone)]
struct Replicas {
    replies: Rc<[Reply]>,
    requests: Rc<Cell<usize>>,
}

/// The delay in milliseconds after the request, and the events that the replica sends.
type Reply = (u64, Vec<InboundEvent>);

impl Listener for Replicas {
    fn accept(&self) -> Option<Accepted> {
        Some(Accepted::immediately(self.clone()))
    }
}

impl Peer for Replicas {
    fn receive(&mut self, _: &[u8], inbound: &mut Inbound) {
        let n = self.requests.replace(self.requests.get() + 1);
        let (after, events) = &self.replies[n.min(self.replies.len() - 1)];
        for event in events {
            inbound.push(Duration::from_millis(*after), event.clone());
        }
    }
}

fn sealed() -> Vec<InboundEvent> {
    let message = Message {
        request_id: Some("a"),
        seal: Some("seal"),
        ..Message::default()
    };
    vec![InboundEvent::Bytes(message.to_bytes())]
}

fn rejection() -> Vec<InboundEvent> {
    vec![InboundEvent::Bytes(messages::rejection(Some("a")))]
}

fn misdirection() -> Vec<InboundEvent> {
    vec![InboundEvent::Bytes(messages::misdirection("j"))]
}

/// Creates an ingress node with two replicas of each backend.
fn ingress(replicas: &Replicas) -> Rc<DataPlane<Network>> {
    let network = Network::default();
    let plane = data_plane(1, network.clone(), RETRIES_PER_WINDOW);
    let backends = ["s1", "s2", "s3", "s4", "s1", "s2", "s3", "s4"];
    let registered = backends.iter().zip(1u8..).map(|(backend, n)| {
        let address = SocketAddr::from(([10, 0, 0, n], 80));
        network.listen(address, Rc::new(replicas.clone()));
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

/// Sends a request on behalf of a tenant.
fn send(plane: &DataPlane<Network>, path: &str, tenant: Option<&str>) {
    let table = plane.routing_table().expect("a configuration");
    let resolved = table.find(HOST, path).expect("a route");
    let response_use = match resolved.route.fanout {
        Some(_) => ResponseUse::Merged,
        None => ResponseUse::Forwarded,
    };
    let head = format!("GET {path} HTTP/1.1\r\nX-Attempt-Id: a\r\n").into_bytes();
    let request = ReplicaRequest::new(head, b"\r\n".to_vec(), "a".into(), response_use)
        .with_tenant(tenant.map(Into::into));
    let parameters = QueryParameters {
        affinity_key: 1,
        deadline: clock::now_tenth_millis() + DEADLINE_TENTHS,
        priority: 0,
    };
    drop(plane.dispatch(Rc::new(request), resolved, parameters));
}

/// Sets the agreed time to `after_ms` after the start of [`WINDOW`].
fn synchronize(plane: &DataPlane<Network>, after_ms: u64) {
    let agreed = WallTime::from_millis(WINDOW * WINDOW_MS + after_ms);
    plane.observe_agreed_time(clock::now(), agreed);
}

/// Returns the counts of an ingress node as (window, tenant, requests).
fn usage(plane: &DataPlane<Network>) -> Vec<(u64, String, u64)> {
    let counts = plane.take_all_usage().into_iter().flat_map(|counts| {
        let window = counts.window;
        counts
            .tenants
            .into_iter()
            .map(move |count| (window, count.tenant, count.requests))
    });
    counts.collect()
}

/// Sends one request, and returns the number of requests that replicas received, and the counts.
async fn count_one(path: &str, replies: Vec<Reply>, after_ms: u64) -> (usize, Vec<(u64, u64)>) {
    let replicas = Replicas {
        replies: replies.into(),
        requests: Rc::default(),
    };
    let plane = ingress(&replicas);
    synchronize(&plane, after_ms);
    send(&plane, path, Some("t"));
    tokio::time::sleep(SETTLE_TIME).await;
    let counted = usage(&plane)
        .into_iter()
        .map(|(window, _, requests)| (window, requests));
    (replicas.requests.get(), counted.collect())
}

#[parameterized(
    answered = { "/one/x", vec![(2, sealed())], 1 },
    retried = { "/one/x", vec![(2, vec![InboundEvent::Reset]), (2, sealed())], 2 },
    retried_until_it_failed = { "/one/x", vec![(2, vec![InboundEvent::Reset])], 2 },
    retried_after_a_rejection = { "/one/x", vec![(2, rejection()), (2, sealed())], 2 },
    hedged = { "/one/x", vec![(900, sealed()), (2, sealed())], 2 },
    fanned_out = { "/all/x", vec![(2, sealed())], 3 },
    fanned_out_and_retried = { "/all/x", vec![(2, vec![InboundEvent::Reset]), (2, sealed())], 4 },
    on_a_mutating_route = { "/once/x", vec![(2, vec![InboundEvent::Reset])], 1 },
)]
fn a_request_that_may_have_run_counts_once(path: &str, replies: Vec<Reply>, at_least: usize) {
    let (requests, counted) = in_simulated_time(count_one(path, replies, 0));
    assert!(
        requests >= at_least,
        "replicas received {requests} requests"
    );
    assert_eq!(counted, [(WINDOW, 1)]);
}

#[parameterized(
    rejected = { "/one/x", rejection() },
    rejected_by_all_backends = { "/all/x", rejection() },
    rejected_on_a_mutating_route = { "/once/x", rejection() },
    misdirected = { "/one/x", misdirection() },
)]
fn a_request_that_no_replica_ran_does_not_count(path: &str, reply: Vec<InboundEvent>) {
    let (requests, counted) = in_simulated_time(count_one(path, vec![(2, reply)], 0));
    assert!(requests > 0);
    assert_eq!(counted, []);
}

/// The request is sent 100 ms before the end of its window, and the response arrives in the next.
#[test]
fn a_request_counts_in_the_window_of_its_start() {
    let replies = vec![(300, sealed())];
    let (_, counted) = in_simulated_time(count_one("/once/x", replies, WINDOW_MS - 100));
    assert_eq!(counted, [(WINDOW, 1)]);
}

#[test]
fn requests_are_counted_per_tenant_and_not_without_a_tenant() {
    let counted = in_simulated_time(async {
        let replicas = Replicas {
            replies: vec![(2, sealed())].into(),
            requests: Rc::default(),
        };
        let plane = ingress(&replicas);
        for tenant in [Some("t"), Some("u"), None, Some("t")] {
            send(&plane, "/one/x", tenant);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(usage(&plane), []);
        synchronize(&plane, 100);
        usage(&plane)
    });
    assert_eq!(counted, [(WINDOW, "t".into(), 2), (WINDOW, "u".into(), 1)]);
}
