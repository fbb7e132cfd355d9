//! Tests of how tenants of low priority are served while replicas are overloaded, in simulated time.

use std::cell::RefCell;
use std::collections::BTreeMap;
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
use tokio::time::Instant;
use yare::parameterized;

/// The retry quota of the ingress node: more than any test needs.
const RETRIES_PER_WINDOW: f64 = 100.0;
/// The number of requests that a replica processes concurrently, each for `WORK`: 200 a second with two replicas.
const SLOTS: usize = 2;
const WORK: Duration = Duration::from_millis(20);
/// A replica rejects requests that would wait longer than this.
const MAX_WAIT: Duration = Duration::from_millis(80);
/// Longer than any request, in tenths of a millisecond.
const DEADLINE_TENTHS: i64 = 10_000;
/// Requests of the first seconds are not counted, while the decision module learns the capacity of the replicas.
const WARM_UP_MS: u64 = 5_000;
const END_MS: u64 = 20_000;
/// Random draws per millisecond. Each may yield a request of any tenant, so that the requests arrive in no fixed
/// order.
const DRAWS_PER_MS: u64 = 8;
const DRAWS_PER_SECOND: u64 = DRAWS_PER_MS * 1_000;

/// The number of requests by tenant.
type Counts = Rc<RefCell<BTreeMap<String, u64>>>;

fn add_one(counts: &Counts, tenant: &str) {
    *counts.borrow_mut().entry(tenant.to_owned()).or_default() += 1;
}

/// A replica with a queue.
#[derive(Clone)]
struct Replica {
    /// When each slot becomes free.
    free_at: Rc<RefCell<[Instant; SLOTS]>>,
    served: Counts,
}

impl Listener for Replica {
    fn accept(&self) -> Option<Accepted> {
        Some(Accepted::immediately(self.clone()))
    }
}

/// Returns the value of a header.
fn header<'a>(request: &'a str, name: &str) -> &'a str {
    let lines = request.lines();
    let mut headers = lines.filter_map(|line| line.split_once(": "));
    headers
        .find(|header| header.0 == name)
        .map_or("", |header| header.1)
}

impl Peer for Replica {
    fn receive(&mut self, bytes: &[u8], inbound: &mut Inbound) {
        let request = String::from_utf8_lossy(bytes);
        let id = header(&request, "X-Attempt-Id");
        let now = Instant::now();
        let mut free_at = self.free_at.borrow_mut();
        free_at.sort_unstable();
        let start = free_at[0].max(now);
        if start > now + MAX_WAIT {
            let rejection = InboundEvent::Bytes(messages::rejection(Some(id)));
            inbound.push(Duration::from_millis(1), rejection);
            return;
        }
        free_at[0] = start + WORK;
        add_one(&self.served, header(&request, "X-Client-Name"));
        let message = Message {
            request_id: Some(id),
            seal: Some("seal"),
            ..Message::default()
        };
        inbound.push(free_at[0] - now, InboundEvent::Bytes(message.to_bytes()));
    }
}

/// Creates an ingress node with two replicas, which count the requests they serve.
fn ingress(served: &Counts) -> Rc<DataPlane<Network>> {
    let network = Network::default();
    let plane = data_plane(1, network.clone(), RETRIES_PER_WINDOW);
    let registered = (1..=2).map(|n| {
        let address = SocketAddr::from(([10, 0, 0, n], 80));
        let replica = Replica {
            free_at: Rc::new(RefCell::new([Instant::now(); SLOTS])),
            served: served.clone(),
        };
        network.listen(address, Rc::new(replica));
        linenthread_messages::Replica {
            id: format!("i{n}"),
            backend: "s1".into(),
            address: address.to_string(),
            ..Default::default()
        }
    });
    plane.update_replicas(&registered.collect::<Vec<_>>(), UpdateScope::Complete);
    plane
}

/// A tenant and its request rate.
#[derive(Clone, Copy)]
struct Load {
    tenant: &'static str,
    priority: i64,
    per_second: u64,
}

fn load(tenant: &'static str, priority: i64, per_second: u64) -> Load {
    Load {
        tenant,
        priority,
        per_second,
    }
}

/// Random numbers by xorshift.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Draws the tenant that sends a request now, if any.
    fn draw(&mut self, loads: &[Load]) -> Option<Load> {
        let mut position = self.next() % DRAWS_PER_SECOND;
        loads.iter().copied().find(|load| {
            let is_hit = position < load.per_second;
            position = position.saturating_sub(load.per_second);
            is_hit
        })
    }
}

fn send(plane: &DataPlane<Network>, number: u64, load: Load) {
    let table = plane.routing_table().expect("a configuration");
    let resolved = table.find(HOST, "/one/x").expect("a route");
    let id = format!("a{number}");
    let head = format!("GET /one/x HTTP/1.1\r\nX-Attempt-Id: {id}\r\n").into_bytes();
    let request = ReplicaRequest::new(head, b"\r\n".to_vec(), id, ResponseUse::Forwarded)
        .with_tenant(Some(load.tenant.into()));
    let parameters = QueryParameters {
        affinity_key: number,
        deadline: clock::now_tenth_millis() + DEADLINE_TENTHS,
        priority: load.priority,
    };
    drop(plane.dispatch(Rc::new(request), resolved, parameters));
}

/// Returns the share of each tenant's requests that is served, and the share of all requests.
async fn served_shares(loads: &[Load]) -> (BTreeMap<String, f64>, f64) {
    let (sent, served) = (Counts::default(), Counts::default());
    let plane = ingress(&served);
    let mut random = Random(1);
    let mut number = 0;
    for ms in 0..END_MS {
        if ms == WARM_UP_MS {
            sent.borrow_mut().clear();
            served.borrow_mut().clear();
        }
        let drawn = (0..DRAWS_PER_MS).filter_map(|_| random.draw(loads));
        for load in drawn {
            number += 1;
            add_one(&sent, load.tenant);
            send(&plane, number, load);
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let (sent, served) = (sent.borrow(), served.borrow());
    let share = |served: u64, sent: u64| served as f64 / sent as f64;
    let shares = sent.iter().map(|(tenant, sent)| {
        let served = served.get(tenant).copied().unwrap_or_default();
        (tenant.clone(), share(served, *sent))
    });
    let of_all = share(served.values().sum(), sent.values().sum());
    (shares.collect(), of_all)
}

fn simulated(loads: &[Load]) -> (BTreeMap<String, f64>, f64) {
    in_simulated_time(served_shares(loads))
}

// Guards against a tenant of low priority that is not served at all while tenants of higher priority overload the
// replicas. The users' bound is a quarter of the share served of all requests.
#[parameterized(
    some = { load("a", 0, 300), load("b", 1, 30) },
    twice = { load("a", 0, 400), load("b", 1, 30) },
    three_times = { load("a", 0, 600), load("b", 1, 30) },
    more_than_four_times = { load("a", 0, 900), load("b", 1, 100) },
    far_lower = { load("a", 0, 600), load("b", 9, 30) },
)]
fn no_tenant_is_starved(high: Load, low: Load) {
    let (shares, all) = simulated(&[high, low]);
    assert!(shares["b"] >= 0.25 * all, "{shares:?}, {all} of all");
    assert!(shares["a"] > shares["b"], "{shares:?}: the priority counts");
}

#[test]
fn tenants_of_one_priority_are_served_alike() {
    let (shares, all) = simulated(&[load("a", 1, 600), load("b", 1, 60)]);
    assert!(shares["b"] > 0.8 * all, "{shares:?}, {all} of all");
}
