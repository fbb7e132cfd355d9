//! Point 5: replicas send duplicate responses, also late ones or ones without id, responses of another attempt,
//! truncated responses, or none. A caller must get its own response or an error; a request that is not idempotent must
//! run at most once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use super::context::Context;
use super::findings::Findings;
use super::setup::{INGRESS, SERVICES, configure};
use crate::client::query_at;
use crate::cluster::Cluster;
use crate::error::DemoError;
use crate::replica::{Replica, ReplicaFaults, records};
use linenthread_ctl::Response;

/// The number of replicas of each service.
const REPLICAS: usize = 3;
/// The number of concurrent clients, each with one request at a time.
const CLIENTS: usize = 8;
/// The share of the requests to a replica that it answers with a fault.
const FAULT_SHARE: f64 = 0.3;
const REQUEST_DEADLINE: Duration = Duration::from_millis(600);
/// How often an idempotent request is sent to replicas at most.
const MAX_ATTEMPTS: usize = 2;
const RECORD_BYTES: usize = 16;
/// The number of records in a merged response: the greatest ones.
const MERGED_RECORDS: usize = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Idempotent,
    Mutating,
    Merged,
}

impl RequestKind {
    const ALL: [RequestKind; 3] = [
        RequestKind::Idempotent,
        RequestKind::Mutating,
        RequestKind::Merged,
    ];

    fn method(self) -> &'static str {
        match self {
            RequestKind::Mutating => "POST",
            RequestKind::Idempotent | RequestKind::Merged => "GET",
        }
    }

    /// Returns how often a request may run at most.
    fn max_runs(self) -> usize {
        match self {
            RequestKind::Mutating => 1,
            RequestKind::Idempotent | RequestKind::Merged => MAX_ATTEMPTS,
        }
    }

    /// Returns the name of the header with the seals of the replicas that responded.
    fn seal_header(self) -> &'static str {
        match self {
            RequestKind::Merged => "x-part-seals",
            RequestKind::Idempotent | RequestKind::Mutating => "x-replica-seal",
        }
    }
}

/// One request of a client.
struct ClientRequest {
    kind: RequestKind,
    service: &'static str,
    path: String,
    attempt: String,
}

impl ClientRequest {
    fn new(number: usize) -> ClientRequest {
        let kinds = RequestKind::ALL.len();
        let service = SERVICES[number / kinds % SERVICES.len()];
        let kind = RequestKind::ALL[number % kinds];
        let path = match kind {
            RequestKind::Idempotent => format!("/{service}/x-{number}"),
            RequestKind::Mutating => format!("/once/{service}/x-{number}"),
            RequestKind::Merged => format!("/all/x-{number}"),
        };
        ClientRequest {
            kind,
            service,
            path,
            attempt: format!("a-{number}"),
        }
    }

    /// Describes why a successful response belongs to another request; `None` if it is this request's own.
    fn mismatch(&self, response: &Response) -> Option<String> {
        let header = response.head.header(self.kind.seal_header());
        let seals: Vec<&str> = header.unwrap_or_default().split(", ").collect();
        let is_other = |seal: &&&str| seal.split('.').next_back() != Some(&*self.attempt);
        if let Some(seal) = seals.iter().find(is_other) {
            return Some(format!("{} has the seal {seal:?}", self.attempt));
        }
        let expected = match self.kind {
            RequestKind::Merged => merged_records(&seals, &self.path),
            RequestKind::Idempotent | RequestKind::Mutating => records(self.service, &self.path),
        };
        (response.body != expected)
            .then(|| format!("{} has the body of another request", self.attempt))
    }
}

/// Returns the greatest records for a path of the services that these seals name.
fn merged_records(seals: &[&str], path: &str) -> Vec<u8> {
    let services = seals.iter().filter_map(|seal| seal.split('.').next());
    let all: Vec<u8> = services
        .flat_map(|service| records(service, path))
        .collect();
    let mut records: Vec<&[u8]> = all.chunks(RECORD_BYTES).collect();
    records.sort();
    records
        .iter()
        .rev()
        .take(MERGED_RECORDS)
        .flat_map(|record| record.iter().copied())
        .collect()
}

pub(super) fn run(context: &mut Context<'_>) -> Result<Findings, DemoError> {
    let mut findings = Findings::default();
    let mut cluster = context.new_cluster()?;
    cluster.start(1, 1)?;
    let faults = ReplicaFaults::Drawn {
        seed: context.random.rand_u64(),
        share: FAULT_SHARE,
    };
    for service in SERVICES {
        cluster.start_faulty_replicas(service, REPLICAS, faults)?;
    }
    configure(&mut cluster, REPLICAS * SERVICES.len())?;
    let Some(ingress) = cluster.ingress_address(INGRESS) else {
        return Ok(findings);
    };
    let outcomes = send_all(ingress, context.scale.requests);
    check_responses(&mut findings, &outcomes);
    check_runs(&mut findings, &cluster, &outcomes);
    add_counts(&mut findings, &cluster, &outcomes);
    Ok(findings)
}

/// The outcome of one request as its client sees it.
struct RequestOutcome {
    request: ClientRequest,
    status: Option<u16>,
    /// Why the response belongs to another request, if it does.
    mismatch: Option<String>,
}

/// Sends this many requests from concurrent clients; returns all outcomes.
fn send_all(ingress: SocketAddr, requests: usize) -> Vec<RequestOutcome> {
    let next = AtomicUsize::new(0);
    let client = || {
        let mut outcomes = Vec::new();
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= requests {
                return outcomes;
            }
            outcomes.push(send(ingress, ClientRequest::new(number)));
        }
    };
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS).map(|_| scope.spawn(client)).collect();
        clients
            .into_iter()
            .filter_map(|client| client.join().ok())
            .flatten()
            .collect()
    })
}

fn send(ingress: SocketAddr, request: ClientRequest) -> RequestOutcome {
    let method = request.kind.method();
    let response = query_at(
        ingress,
        method,
        &request.path,
        &request.attempt,
        REQUEST_DEADLINE,
    )
    .ok();
    RequestOutcome {
        status: response.as_ref().map(|response| response.status),
        mismatch: response
            .filter(|response| response.status == 200)
            .and_then(|response| request.mismatch(&response)),
        request,
    }
}

/// Checks that each successful response is the caller's own, and that at least half of all requests succeed.
fn check_responses(findings: &mut Findings, outcomes: &[RequestOutcome]) {
    for outcome in outcomes {
        findings.check(
            outcome.mismatch.is_none(),
            "a response is the caller's own",
            || outcome.mismatch.clone().unwrap_or_default(),
        );
    }
    let successes = outcomes
        .iter()
        .filter(|outcome| outcome.status == Some(200))
        .count();
    findings.check(
        2 * successes >= outcomes.len(),
        "half of all requests succeed",
        || format!("only {successes} requests succeeded"),
    );
}

/// An attempt and the service that ran it.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    service: String,
    attempt: String,
}

/// Checks how often each request ran on all replicas of a service together.
fn check_runs(findings: &mut Findings, cluster: &Cluster, outcomes: &[RequestOutcome]) {
    let mut runs: BTreeMap<AttemptKey, usize> = BTreeMap::new();
    for replica in &cluster.replicas {
        // Ids are `i-SERVICE-NUMBER`.
        let service = replica.id.split('-').nth(1).unwrap_or_default();
        for received in replica.received_requests() {
            let key = AttemptKey {
                service: service.to_owned(),
                attempt: received.attempt,
            };
            *runs.entry(key).or_default() += 1;
        }
    }
    for RequestOutcome { request, .. } in outcomes {
        let runs_at = |service: &str| {
            let key = AttemptKey {
                service: service.to_owned(),
                attempt: request.attempt.clone(),
            };
            runs.get(&key).copied().unwrap_or_default()
        };
        let max_runs = SERVICES.iter().map(|service| runs_at(service)).max();
        let count = max_runs.unwrap_or_default();
        findings.check(
            count <= request.kind.max_runs(),
            "a request runs no more often than allowed",
            || format!("{:?} {} ran {count} times", request.kind, request.attempt),
        );
    }
}

/// Adds a note with the number of responses by status and of faults by name.
fn add_counts(findings: &mut Findings, cluster: &Cluster, outcomes: &[RequestOutcome]) {
    let mut statuses: BTreeMap<Option<u16>, usize> = BTreeMap::new();
    for outcome in outcomes {
        *statuses.entry(outcome.status).or_default() += 1;
    }
    let mut faults: BTreeMap<&str, usize> = BTreeMap::new();
    for (fault, count) in cluster.replicas.iter().flat_map(Replica::fault_counts) {
        *faults.entry(fault).or_default() += count;
    }
    findings.add_note(format!(
        "responses by status: {statuses:?}; faults: {faults:?}"
    ));
}
