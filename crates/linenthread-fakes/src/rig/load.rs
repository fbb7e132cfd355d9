//! Load on a rig: starts clients, and evaluates their queries and the traffic between zones.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use oorandom::Rand64;

use super::check::check;
use super::clients::{QueryLoop, QueryOutcome};
use super::{POLL_INTERVAL, Rig, ZonePair};
use crate::EVENT_TIMEOUT;
use crate::sync::lock;

/// How many outcomes are shown when a wait for successful queries fails.
const SHOWN_OUTCOMES: usize = 12;
/// The number of replicas that hold each shard.
const REPLICAS_PER_SHARD: usize = 2;

/// The sub-requests executed since a starting point, counted by pair of zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The number of sub-requests from the zone of the client to the zone of the replica.
    pub sub_requests: BTreeMap<ZonePair, usize>,
    /// The number of sub-requests sent to another zone although the client's zone holds the shard.
    pub avoidable: usize,
}

impl Traffic {
    /// Returns the number of sub-requests.
    pub fn total(&self) -> usize {
        self.sub_requests.values().sum()
    }

    /// Returns the number of sub-requests from clients in one zone to replicas in another.
    pub fn between(&self, from: usize, to: usize) -> usize {
        let zones = ZonePair { from, to };
        self.sub_requests.get(&zones).copied().unwrap_or_default()
    }
}

impl Rig {
    /// Sets whether clients query a process and expect responses from it. Must be false while the process is stopped.
    pub fn set_queried(&self, process: usize, queried: bool) {
        lock(&self.shared.up)[process] = queried;
    }

    /// Starts one client for each process. A client sends its queries sequentially, at most `per_second` in a second.
    pub fn start_clients(&mut self, per_second: u64) {
        for (number, process) in self.processes.iter().enumerate() {
            let client = QueryLoop {
                process: number,
                zone: process.zone,
                http: process.http,
                rng: Rand64::new(u128::from(self.config.seed) * 977 + number as u128),
                interval: Duration::from_micros(1_000_000 / per_second.max(1)),
                shared: self.shared.clone(),
            };
            self.clients.push(client.start());
        }
    }

    /// Returns how many queries have succeeded so far.
    pub fn success_count(&self) -> usize {
        let outcomes = lock(&self.shared.outcomes);
        outcomes
            .iter()
            .filter(|outcome| outcome.succeeded())
            .count()
    }

    /// Waits until, in each of these zones, the last `in_a_row` queries sent since this call have succeeded. Queries to
    /// processes that did not stay up are not counted. Returns how long it took.
    ///
    /// # Panics
    ///
    /// If that does not happen within four times [`EVENT_TIMEOUT`].
    pub fn wait_until_serving(&self, zones: &[usize], in_a_row: usize) -> Duration {
        let since = Instant::now();
        while since.elapsed() < 4 * EVENT_TIMEOUT {
            let is_serving = |zone: &usize| self.is_serving(*zone, since, in_a_row);
            if zones.iter().all(is_serving) {
                return since.elapsed();
            }
            sleep(POLL_INTERVAL);
        }
        let outcomes = lock(&self.shared.outcomes);
        let last: Vec<_> = outcomes
            .iter()
            .rev()
            .take(SHOWN_OUTCOMES)
            .map(|outcome| (outcome.zone, outcome.status, outcome.non_idempotent))
            .collect();
        panic!(
            "queries did not succeed in all of the zones {zones:?}; the last outcomes: {last:?}"
        );
    }

    fn is_serving(&self, zone: usize, since: Instant, in_a_row: usize) -> bool {
        let outcomes = lock(&self.shared.outcomes);
        let of_zone: Vec<_> = outcomes
            .iter()
            .filter(|outcome| {
                outcome.zone == zone && outcome.sent_at >= since && outcome.process_stayed_up
            })
            .collect();
        let mut last = of_zone.iter().rev().take(in_a_row);
        of_zone.len() >= in_a_row && last.all(|outcome| outcome.succeeded())
    }

    /// Returns how many sub-requests have been executed so far.
    pub fn execution_count(&self) -> usize {
        lock(&self.executed).len()
    }

    /// Returns the traffic between zones, without the first `since` executed sub-requests.
    pub fn traffic(&self, since: usize) -> Traffic {
        let zone_count = self.config.zones.len();
        let groups = self.config.replica_count();
        let zone_of_query: BTreeMap<String, usize> = self
            .outcomes()
            .into_iter()
            .map(|outcome| (outcome.id, outcome.zone))
            .collect();
        let mut traffic = Traffic::default();
        for execution in lock(&self.executed).iter().skip(since) {
            let Some(&from) = zone_of_query.get(&execution.query) else {
                continue;
            };
            let to = execution.replica % zone_count;
            let zones = ZonePair { from, to };
            *traffic.sub_requests.entry(zones).or_default() += 1;
            let is_local = (0..REPLICAS_PER_SHARD)
                .any(|replica| (execution.shard + replica) % groups % zone_count == from);
            traffic.avoidable += usize::from(is_local && to != from);
        }
        traffic
    }

    /// Stops the clients, checks all their queries against the executed sub-requests, and returns the violations.
    ///
    /// # Panics
    ///
    /// If a client has panicked.
    pub fn stop_and_check(&mut self) -> Vec<String> {
        self.shared.stopping.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            client
                .join()
                .expect("the thread of a client does not panic");
        }
        check(&self.outcomes(), &lock(&self.executed))
    }

    /// Returns the outcomes of all queries so far.
    pub fn outcomes(&self) -> Vec<QueryOutcome> {
        lock(&self.shared.outcomes).clone()
    }
}
