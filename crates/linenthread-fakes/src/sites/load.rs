//! Steady load on two sites, and faults of their link.

use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use super::setup::SOFT_DEADLINE;
use super::verdict::{QueryEnd, QuerySummary};
use super::{Sites, SitesConfig};
use crate::Client;
use crate::proxy::{ByteLimit, Direction};

/// The tolerance after the soft deadline within which a response may arrive, since the machine may be busy.
const MAX_LATENESS: Duration = Duration::from_millis(1_500);
/// The maximum time after the last response within which a sub-request may still reach a replica.
const IN_TRANSIT: Duration = Duration::from_millis(200);

/// With a session time-out shorter than this, sessions are not resumed after their connection is lost.
const SHORT_SESSION_TIMEOUT: Duration = Duration::from_millis(100);
/// The delay after which a lost link is reported as down if sessions are not resumed.
const SHORT_DOWN_DELAY: Duration = Duration::from_millis(10);

/// The result of one query.
#[derive(Clone, Debug)]
pub struct QueryResult {
    /// The trace id.
    pub id: String,
    /// The index that was queried.
    pub index: &'static str,
    /// When the query was scheduled, relative to the start of the run.
    pub scheduled_at: Duration,
    /// The HTTP status; `None` if the connection ended without a response.
    pub status: Option<u16>,
    /// The time from the scheduled start to the response.
    pub latency: Duration,
}

impl QueryResult {
    /// Sends a query on a new connection and waits for its end.
    fn query(
        address: SocketAddr,
        id: String,
        index: &'static str,
        started_at: Instant,
        scheduled_at: Duration,
    ) -> QueryResult {
        let mut client = Client::connect(address);
        client.query(index, &id, &[1]);
        let status = client.read_response().map(|response| response.status);
        QueryResult {
            id,
            index,
            scheduled_at,
            status,
            latency: started_at.elapsed().saturating_sub(scheduled_at),
        }
    }

    /// Returns how the result violates the rules, given the number of executions of its sub-request.
    fn violation(&self, executions: usize) -> Option<&'static str> {
        let end = QueryEnd {
            index: self.index,
            status: self.status,
            executions,
        };
        let is_late = self.latency > SOFT_DEADLINE + MAX_LATENESS;
        end.status_mismatch()
            .or_else(|| end.duplicate_execution())
            .or_else(|| is_late.then_some("got a late response"))
    }
}

/// The configuration of a steady load.
#[derive(Clone, Debug)]
pub struct SteadyLoad {
    /// The prefix of the trace ids; it must be unique among the loads on the same sites.
    pub tag: String,
    /// The indexes that are queried, in turn.
    pub indexes: Vec<&'static str>,
    /// The interval between queries.
    pub interval: Duration,
    /// The duration of the load.
    pub duration: Duration,
}

/// The outcome of a load.
#[derive(Debug)]
pub struct LoadReport {
    /// The counts of outcomes, and the violations.
    pub summary: QuerySummary,
    /// The result of each query, in the order of the responses.
    pub results: Vec<QueryResult>,
}

/// Sends queries at a steady rate while `inject` injects faults into the link. Checks each result against the executed
/// sub-requests and the soft deadline.
///
/// # Panics
///
/// If there are more than 2^32 queries.
pub fn query_during_fault(
    sites: &mut Sites,
    load: SteadyLoad,
    inject: impl FnOnce(&mut Sites),
) -> LoadReport {
    let (result_sender, result_receiver) = channel();
    let (address, started_at) = (sites.local.address, Instant::now());
    let SteadyLoad {
        tag,
        indexes,
        interval,
        duration,
    } = load;
    let count = duration.as_millis() / interval.as_millis().max(1);
    let count = u32::try_from(count).expect("a run has fewer than 2^32 queries");
    let starter = spawn(move || {
        for (n, index) in (0..count).zip(indexes.into_iter().cycle()) {
            let scheduled_at = interval * n;
            sleep((started_at + scheduled_at).saturating_duration_since(Instant::now()));
            let (result_sender, id) = (result_sender.clone(), format!("{tag}-{n}"));
            spawn(move || {
                result_sender.send(QueryResult::query(
                    address,
                    id,
                    index,
                    started_at,
                    scheduled_at,
                ))
            });
        }
    });
    inject(sites);
    starter
        .join()
        .expect("the thread that starts queries does not panic");
    let results: Vec<QueryResult> = result_receiver.iter().collect();
    sleep(IN_TRANSIT);
    LoadReport {
        summary: check(sites, &results),
        results,
    }
}

fn check(sites: &Sites, results: &[QueryResult]) -> QuerySummary {
    let executions = sites.executions();
    let mut verdict = QuerySummary::default();
    for result in results {
        verdict.count(result.status);
        let QueryResult {
            id,
            index,
            status,
            latency,
            ..
        } = result;
        let sub_request = format!("{id}.1");
        let executed = executions.get(&sub_request).copied().unwrap_or_default();
        if let Some(reason) = result.violation(executed) {
            verdict.violations.push(format!(
                "{id} ({index}) {reason}: status {status:?}, {executed} executions, latency {latency:?}"
            ));
        }
    }
    verdict
}

/// Repeats a non-idempotent query, each time with the link closed at another byte of the exchange: at every `step`th
/// position in both directions. The positions are divided among at most `at_once` pairs of sites, which run
/// concurrently.
///
/// # Panics
///
/// If a pair of sites cannot be started, or its link does not come up again.
pub fn disconnect_everywhere(
    exe: &str,
    session_timeout: Duration,
    step: usize,
    at_once: usize,
) -> QuerySummary {
    // Without resumption, a short interruption must be reported as well.
    let config = SitesConfig {
        session_timeout,
        down_delay: if session_timeout < SHORT_SESSION_TIMEOUT {
            SHORT_DOWN_DELAY
        } else {
            SitesConfig::default().down_delay
        },
        ..SitesConfig::default()
    };
    let exchange = Sites::start(exe, config).measure_exchange();
    // A limit beyond the end of the exchange is reached by the heartbeats after it, and does not interrupt it.
    let limit = |direction| move |bytes| ByteLimit { direction, bytes };
    let limits: Vec<ByteLimit> = (0..=exchange.to_upstream)
        .map(limit(Direction::ToUpstream))
        .chain((0..=exchange.from_upstream).map(limit(Direction::FromUpstream)))
        .step_by(step.max(1))
        .collect();
    let threads: Vec<_> = limits
        .chunks(limits.len().div_ceil(at_once.max(1)))
        .map(|limits| {
            let (limits, exe) = (limits.to_vec(), exe.to_owned());
            spawn(move || disconnect_at_each(&exe, config, &limits))
        })
        .collect();
    let mut total = QuerySummary::default();
    for thread in threads {
        total.add(
            thread
                .join()
                .expect("the thread of a pair of sites does not panic"),
        );
    }
    total
}

fn disconnect_at_each(exe: &str, config: SitesConfig, limits: &[ByteLimit]) -> QuerySummary {
    let mut sites = Sites::start(exe, config);
    let mut verdict = QuerySummary::default();
    for limit in limits {
        sites.disconnect_at(*limit, &mut verdict);
    }
    verdict
}
