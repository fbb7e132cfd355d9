//! Point 5: replicas answer twice, late, without id, as another, cut, or not at all. A caller gets its own
//! answer or is told that there is none; a request that must not be repeated runs at most once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use linenthread_ctl::Response;
use oorandom::Rand64;

use crate::Cluster;
use crate::cluster::ask_at;
use crate::replica::{Misbehaviour, records};
use crate::rounds::setup::{SERVICES, configured};
use crate::rounds::{Findings, Scale};

const REPLICAS: usize = 3;
const CLIENTS: usize = 8;
/// So large a share of requests goes wrong at a replica.
const SHARE: f64 = 0.3;
/// A lookup may take so long.
const TIME: Duration = Duration::from_millis(600);
/// Requests of a kind that may be repeated are sent so often at most.
const TRIES: usize = 2;
const RECORD: usize = 16;
/// The five greatest records make up a merged answer.
const LIMIT: usize = 5;

/// The kinds of requests, one after another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Repeatable,
    Once,
    Merged,
}

/// One request of a client.
struct Request {
    kind: Kind,
    service: &'static str,
    path: String,
    attempt: String,
}

impl Request {
    fn new(number: usize) -> Request {
        let service = SERVICES[number / 3 % SERVICES.len()];
        let kind = [Kind::Repeatable, Kind::Once, Kind::Merged][number % 3];
        let path = match kind {
            Kind::Repeatable => format!("/{service}/x-{number}"),
            Kind::Once => format!("/once/{service}/x-{number}"),
            Kind::Merged => format!("/all/x-{number}"),
        };
        Request {
            kind,
            service,
            path,
            attempt: format!("a-{number}"),
        }
    }

    /// Why an answer with success is not this request's own; nothing if it is.
    fn fault(&self, reply: &Response) -> Option<String> {
        let seals = match self.kind {
            Kind::Merged => reply.head.header("x-part-seals"),
            Kind::Repeatable | Kind::Once => reply.head.header("x-replica-seal"),
        };
        let seals: Vec<&str> = seals.unwrap_or_default().split(", ").collect();
        if let Some(seal) = seals
            .iter()
            .find(|s| s.split('.').next_back() != Some(&*self.attempt))
        {
            return Some(format!("{} has the seal {seal:?}", self.attempt));
        }
        let expected = match self.kind {
            Kind::Merged => merged(&seals, &self.path),
            Kind::Repeatable | Kind::Once => records(self.service, &self.path),
        };
        (reply.body != expected).then(|| format!("{} has bytes that are not its own", self.attempt))
    }
}

/// The greatest records of the services that these seals name.
fn merged(seals: &[&str], path: &str) -> Vec<u8> {
    let services = seals.iter().filter_map(|seal| seal.split('.').next());
    let all: Vec<u8> = services
        .flat_map(|service| records(service, path))
        .collect();
    let mut records: Vec<&[u8]> = all.chunks(RECORD).collect();
    records.sort();
    records
        .iter()
        .rev()
        .take(LIMIT)
        .flat_map(|r| r.iter().copied())
        .collect()
}

pub(super) fn play(
    program: &Path,
    scale: &Scale,
    random: &mut Rand64,
) -> std::io::Result<Findings> {
    let mut findings = Findings::default();
    let mut cluster = Cluster::new(program)?;
    cluster.start(1, 1)?;
    let how = Misbehaviour::Drawn {
        seed: random.rand_u64(),
        share: SHARE,
    };
    for service in SERVICES {
        cluster.serve_with(service, REPLICAS, how)?;
    }
    configured(&mut cluster, REPLICAS * SERVICES.len())?;
    let Some(ingress) = cluster.ingress("front-1") else {
        return Ok(findings);
    };
    let seen = send_all(ingress, scale.requests);
    let answered = seen
        .iter()
        .filter(|(_, status, _)| *status == Some(200))
        .count();
    for (_, _, fault) in &seen {
        findings.check(fault.is_none(), "an answer is the caller's own", || {
            fault.clone().unwrap_or_default()
        });
    }
    check_runs(&mut findings, &cluster, &seen);
    findings.check(
        2 * answered >= seen.len(),
        "half of all requests are answered",
        || format!("{answered}"),
    );
    note_counts(&mut findings, &cluster, &seen);
    Ok(findings)
}

type Seen = (Request, Option<u16>, Option<String>);

/// Several clients, each with one request at a time.
fn send_all(ingress: SocketAddr, many: usize) -> Vec<Seen> {
    let next = AtomicUsize::new(0);
    let client = || {
        let mut seen = Vec::new();
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= many {
                return seen;
            }
            seen.push(send(ingress, Request::new(number)));
        }
    };
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS).map(|_| scope.spawn(client)).collect();
        clients
            .into_iter()
            .filter_map(|c| c.join().ok())
            .flatten()
            .collect()
    })
}

fn send(ingress: SocketAddr, request: Request) -> Seen {
    let method = if request.kind == Kind::Once {
        "POST"
    } else {
        "GET"
    };
    let reply = ask_at(ingress, method, &request.path, &request.attempt, TIME).ok();
    let status = reply.as_ref().map(|r| r.status);
    let fault = reply
        .filter(|r| r.status == 200)
        .and_then(|r| request.fault(&r));
    (request, status, fault)
}

/// How often each request ran at all replicas together.
fn check_runs(findings: &mut Findings, cluster: &Cluster, seen: &[Seen]) {
    let mut runs: BTreeMap<(String, String), usize> = BTreeMap::new();
    for (replica, ran) in cluster
        .replicas
        .iter()
        .flat_map(|r| r.ran().into_iter().map(move |ran| (r, ran)))
    {
        let service = replica
            .ident
            .split('-')
            .nth(1)
            .unwrap_or_default()
            .to_owned();
        *runs.entry((service, ran.attempt)).or_default() += 1;
    }
    for (request, _, _) in seen {
        let most = if request.kind == Kind::Once { 1 } else { TRIES };
        let count = |service: &str| {
            runs.get(&(service.to_owned(), request.attempt.clone()))
                .copied()
                .unwrap_or_default()
        };
        let ran = SERVICES.iter().map(|s| count(s)).max().unwrap_or_default();
        findings.check(
            ran <= most,
            "a request runs at most as often as it may",
            || format!("{:?} {} ran {ran} times", request.kind, request.attempt),
        );
    }
}

fn note_counts(findings: &mut Findings, cluster: &Cluster, seen: &[Seen]) {
    let mut statuses: BTreeMap<Option<u16>, usize> = BTreeMap::new();
    for (_, status, _) in seen {
        *statuses.entry(*status).or_default() += 1;
    }
    let mut wrong: BTreeMap<&str, usize> = BTreeMap::new();
    for (way, count) in cluster
        .replicas
        .iter()
        .flat_map(super::super::replica::Replica::misbehaved)
    {
        *wrong.entry(way).or_default() += count;
    }
    findings.note(format!(
        "answers by status: {statuses:?}; played: {wrong:?}"
    ));
}
