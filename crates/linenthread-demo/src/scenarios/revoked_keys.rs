//! Point 6: an operator revokes a key, adds one and moves one to another tenant while clients keep their connections.
//! Each ingress node must apply the new configuration in time and serve unchanged keys without interruption, and no key
//! may reach a replica, a log or the response to a rejected order.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use linenthread_ctl::control_api::OK;

use super::context::Context;
use super::findings::Findings;
use super::scale::{APPLY_TIMEOUT, RECOVERY_TIMEOUT};
use super::setup::{SERVICES, UNAUTHORIZED, configure_with, describe};
use crate::client::{CallOutcome, TenantClient, read_at_any, replace_at_any};
use crate::cluster::Cluster;
use crate::error::DemoError;
use crate::order::{Order, Tenant};
use crate::replica::Replica;

const CONTROL_NODES: usize = 3;
const INGRESS_NODES: usize = 2;
/// The number of replicas of each service.
const REPLICAS: usize = 2;
/// The status of the response to an invalid order.
const BAD_REQUEST: u16 = 400;
const QUERY_DEADLINE: Duration = Duration::from_millis(800);
/// The pause between two queries of a client.
const QUERY_INTERVAL: Duration = Duration::from_millis(10);
/// How long a client continues after a change, to check that it stays in force.
const STABLE_TIME: Duration = Duration::from_millis(500);
/// The path of queries with an unchanged key.
const STEADY_PATH: &str = "/all/steady";

/// The key that its tenant keeps.
const STEADY_KEY: &str = "k5tw9steady2rrytapjsu";
/// The key that is revoked.
const REVOKED_KEY: &str = "k7bd4revoked8rryiikdr";
/// The key that is added.
const ADDED_KEY: &str = "k2hn6added3brkbbkf83f";
/// The key that is moved to another tenant.
const MOVED_KEY: &str = "k9qc1moved5ajsujqurtx";
const ALL_KEYS: [&str; 4] = [STEADY_KEY, REVOKED_KEY, ADDED_KEY, MOVED_KEY];

fn tenants_before() -> Vec<Tenant> {
    vec![
        Tenant::new("left", &[STEADY_KEY, REVOKED_KEY]),
        Tenant::new("right", &[MOVED_KEY]),
    ]
}

/// Returns the tenants after the change: one key is revoked, one is added, and one belongs to another tenant.
fn tenants_after() -> Vec<Tenant> {
    vec![
        Tenant::new("left", &[STEADY_KEY, MOVED_KEY]),
        Tenant::new("right", &[ADDED_KEY]),
    ]
}

pub(super) fn run(context: &mut Context<'_>) -> Result<Findings, DemoError> {
    let mut findings = Findings::default();
    let mut cluster = context.new_cluster()?;
    cluster.start(CONTROL_NODES, INGRESS_NODES)?;
    for service in SERVICES {
        cluster.start_replicas(service, REPLICAS)?;
    }
    let first = Order::for_tenants(0, 1, &SERVICES, &tenants_before());
    configure_with(&mut cluster, &first, REPLICAS * SERVICES.len())?;

    let addresses = cluster.ingress_addresses();
    let is_stopped = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let steady: Vec<_> = addresses
            .iter()
            .map(|peer| scope.spawn(|| send_steadily(*peer, &is_stopped)))
            .collect();
        change_keys(&mut findings, &cluster, &addresses);
        is_stopped.store(true, Ordering::Relaxed);
        for client in steady {
            let outcome = client.join().unwrap_or_default();
            check_steady(&mut findings, &outcome);
        }
    });
    check_shared_key(&mut findings, &cluster);
    check_replicas(&mut findings, &cluster);
    check_logs(&mut findings, &mut cluster);
    Ok(findings)
}

/// A key that the change concerns, and the expected status of its queries at all ingress nodes before and after it.
struct KeyChange {
    key: &'static str,
    invariant: &'static str,
    before: u16,
    after: u16,
}

/// The keys whose status or tenant changes.
const KEY_CHANGES: [KeyChange; 3] = [
    KeyChange {
        key: REVOKED_KEY,
        invariant: "a revoked key is refused in time on an open connection",
        before: OK,
        after: UNAUTHORIZED,
    },
    KeyChange {
        key: ADDED_KEY,
        invariant: "an added key is served in time on an open connection",
        before: UNAUTHORIZED,
        after: OK,
    },
    KeyChange {
        key: MOVED_KEY,
        invariant: "a key moved to another tenant is served on an open connection",
        before: OK,
        after: OK,
    },
];

/// A client of one ingress node with a key that the change concerns.
struct ChangedClient {
    change: &'static KeyChange,
    client: TenantClient,
    /// The prefix of the attempt ids of its queries.
    name: String,
    queries: usize,
}

impl ChangedClient {
    /// Sends the next query and returns its status; `None` if the connection has ended.
    fn query(&mut self) -> Option<u16> {
        self.queries += 1;
        let attempt = format!("{}-{}", self.name, self.queries);
        let response = self.client.query("/all/changed", &attempt, QUERY_DEADLINE);
        response.ok().map(|response| response.status)
    }

    /// Sends queries until the status is the one expected after the change, or until the deadline, and then for
    /// [`STABLE_TIME`] more.
    fn wait_for_change(&mut self, apply_deadline: Instant) -> ChangeOutcome {
        let expected = Some(self.change.after);
        let first = self.query_while(apply_deadline, |status| status != expected);
        let stable_deadline = Instant::now() + STABLE_TIME;
        let last = self.query_while(stable_deadline, |status| status == expected);
        ChangeOutcome { first, last }
    }

    /// Sends queries while the connection is open and `predicate` holds for their status, until a deadline; returns the
    /// last status.
    fn query_while(
        &mut self,
        deadline: Instant,
        predicate: impl Fn(Option<u16>) -> bool,
    ) -> Option<u16> {
        let mut status = self.query();
        while status.is_some() && predicate(status) && Instant::now() < deadline {
            std::thread::sleep(QUERY_INTERVAL);
            status = self.query();
        }
        status
    }
}

/// The statuses that a client saw after a change; `None` if its connection has ended.
struct ChangeOutcome {
    /// The expected status, if it came within the bound, else the last status within the bound.
    first: Option<u16>,
    /// The first status after it that differs from the expected one, if any, else the last status.
    last: Option<u16>,
}

/// Sends the change, and checks the clients whose keys it concerns before the change, within the bound, and for a while
/// after that.
fn change_keys(findings: &mut Findings, cluster: &Cluster, addresses: &[SocketAddr]) {
    let mut clients = connect_all(findings, addresses);
    for client in &mut clients {
        let status = client.query();
        findings.check(
            status == Some(client.change.before),
            "a key is served before the change exactly if a tenant has it",
            || format!("{}: {status:?}", client.name),
        );
    }
    let order = Order::for_tenants(1, 2, &SERVICES, &tenants_after());
    let outcome = replace_at_any(&cluster.control_addresses(), &order, RECOVERY_TIMEOUT);
    findings.check(outcome.has_status(OK), "the change is acknowledged", || {
        describe(&outcome)
    });
    let apply_deadline = Instant::now() + APPLY_TIMEOUT;
    // All clients wait at the same time, since a connection without queries is closed as idle.
    let outcomes: Vec<ChangeOutcome> = std::thread::scope(|scope| {
        let waits: Vec<_> = clients
            .iter_mut()
            .map(|client| scope.spawn(move || client.wait_for_change(apply_deadline)))
            .collect();
        waits
            .into_iter()
            .filter_map(|wait| wait.join().ok())
            .collect()
    });
    findings.check(
        outcomes.len() == addresses.len() * KEY_CHANGES.len(),
        "each key is tried at each ingress node",
        || format!("{} outcomes", outcomes.len()),
    );
    for (client, outcome) in clients.iter().zip(&outcomes) {
        check_change(findings, client, outcome);
    }
}

fn connect_all(findings: &mut Findings, addresses: &[SocketAddr]) -> Vec<ChangedClient> {
    let mut clients = Vec::new();
    for (ingress, peer) in addresses.iter().enumerate() {
        for (number, change) in KEY_CHANGES.iter().enumerate() {
            match TenantClient::connect(*peer, change.key) {
                Ok(client) => clients.push(ChangedClient {
                    change,
                    client,
                    name: format!("changed-{ingress}-{number}"),
                    queries: 0,
                }),
                Err(error) => {
                    findings.check(false, "a client connects", || error.to_string());
                }
            }
        }
    }
    clients
}

/// Checks that the expected status came within the bound on the open connection, and stayed.
fn check_change(findings: &mut Findings, client: &ChangedClient, outcome: &ChangeOutcome) {
    let expected = Some(client.change.after);
    findings.check(outcome.first == expected, client.change.invariant, || {
        format!(
            "{}: {:?} after {APPLY_TIMEOUT:?}",
            client.name, outcome.first
        )
    });
    findings.check(
        outcome.first != expected || outcome.last == expected,
        "a change stays in force",
        || format!("{}: {:?}", client.name, outcome.last),
    );
}

/// The outcome of a client with an unchanged key.
#[derive(Default)]
struct SteadyOutcome {
    served: usize,
    /// The status of the first response that is no success, or the error of the connection.
    failure: Option<String>,
}

/// Sends queries on one connection until stopped.
fn send_steadily(peer: SocketAddr, is_stopped: &AtomicBool) -> SteadyOutcome {
    let mut outcome = SteadyOutcome::default();
    let mut client = match TenantClient::connect(peer, STEADY_KEY) {
        Ok(client) => client,
        Err(error) => {
            outcome.failure = Some(error.to_string());
            return outcome;
        }
    };
    while !is_stopped.load(Ordering::Relaxed) && outcome.failure.is_none() {
        let attempt = format!("steady-{peer}-{}", outcome.served);
        match client.query(STEADY_PATH, &attempt, QUERY_DEADLINE) {
            Ok(response) if response.status == OK => outcome.served += 1,
            Ok(response) => outcome.failure = Some(format!("status {}", response.status)),
            Err(error) => outcome.failure = Some(error.to_string()),
        }
        std::thread::sleep(QUERY_INTERVAL);
    }
    outcome
}

fn check_steady(findings: &mut Findings, outcome: &SteadyOutcome) {
    findings.check(
        outcome.served > 0 && outcome.failure.is_none(),
        "an unchanged key is served without interruption",
        || format!("{} served, then {:?}", outcome.served, outcome.failure),
    );
    findings.add_note(format!(
        "{} queries served with an unchanged key",
        outcome.served
    ));
}

/// Checks that an order in which two tenants share a key is rejected without a key in the response, and that the
/// acknowledged configuration stays in force.
fn check_shared_key(findings: &mut Findings, cluster: &Cluster) {
    let tenants = [
        Tenant::new("left", &[STEADY_KEY]),
        Tenant::new("right", &[ADDED_KEY, STEADY_KEY]),
    ];
    let order = Order::for_tenants(2, 3, &SERVICES, &tenants);
    let outcome = replace_at_any(&cluster.control_addresses(), &order, RECOVERY_TIMEOUT);
    findings.check(
        outcome.has_status(BAD_REQUEST),
        "an order in which two tenants share a key is invalid",
        || format!("{:?}", outcome.status),
    );
    findings.check(
        !contains_key(&outcome),
        "the response to a rejected order contains no key",
        || describe(&outcome),
    );
    let read = read_at_any(&cluster.control_addresses(), RECOVERY_TIMEOUT);
    let acknowledged = Order::for_tenants(1, 2, &SERVICES, &tenants_after());
    findings.check(
        read.body == acknowledged.document,
        "the acknowledged configuration reads back unchanged",
        || format!("revision {:?}", read.revision()),
    );
}

fn contains_key(outcome: &CallOutcome) -> bool {
    let body = String::from_utf8_lossy(&outcome.body);
    ALL_KEYS.iter().any(|key| body.contains(key))
}

/// Checks that replicas received no key, and the name of the tenant that had the key at that time.
fn check_replicas(findings: &mut Findings, cluster: &Cluster) {
    let received: Vec<_> = cluster
        .replicas
        .iter()
        .flat_map(Replica::received_requests)
        .collect();
    let with_key = received.iter().filter(|request| request.has_key).count();
    findings.check(with_key == 0, "no replica gets a client's key", || {
        format!("{with_key} of {} requests", received.len())
    });
    let steady = || received.iter().filter(|r| r.path == STEADY_PATH);
    let named = steady().filter(|r| r.tenant.as_deref() == Some("left"));
    let (named, total) = (named.count(), steady().count());
    findings.check(
        named == total,
        "replicas receive the name of the tenant that has the key",
        || format!("{named} of {total} requests"),
    );
    let moved: Vec<&str> = received
        .iter()
        .filter(|request| request.attempt.starts_with("changed-0-2-"))
        .map(|request| request.tenant.as_deref().unwrap_or("none"))
        .collect();
    findings.check(
        moved.first() == Some(&"right") && moved.last() == Some(&"left"),
        "replicas receive the name of the tenant that a key was moved to",
        || format!("first {:?}, last {:?}", moved.first(), moved.last()),
    );
}

/// Checks that no process has written a key during the run.
fn check_logs(findings: &mut Findings, cluster: &mut Cluster) {
    let lines = cluster.all_lines_with_any(&ALL_KEYS);
    findings.check(lines.is_empty(), "no log line contains a key", || {
        format!("{} lines", lines.len())
    });
    let total = cluster.all_lines_with_any(&["event="]).len();
    findings.check(total > 0, "there are log lines to search", || {
        "none".to_owned()
    });
    findings.add_note(format!(
        "{total} log lines of all processes searched for keys"
    ));
}
