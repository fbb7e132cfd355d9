//! The clients of a rig, and what became of their queries.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use oorandom::Rand64;

use super::check::check;
use super::clients::{QueryLoop, QueryOutcome};
use super::{POLL_INTERVAL, Rig, ZonePair};
use crate::PATIENCE;
use crate::sync::lock;

/// Outcomes that are shown when clients are not served.
const SHOWN_OUTCOMES: usize = 12;
/// Replica groups that hold a shard.
const REPLICAS_PER_SHARD: usize = 2;

/// The sub-requests that were executed since some moment, by zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// How many there were from the zone of the client to the zone of the replica.
    pub sub_requests: BTreeMap<ZonePair, usize>,
    /// How many left a zone that holds their shard.
    pub avoidable: usize,
}

impl Traffic {
    /// How many sub-requests there were.
    pub fn total(&self) -> usize {
        self.sub_requests.values().sum()
    }

    /// How many there were from clients of one zone to replicas of another.
    pub fn between(&self, from: usize, to: usize) -> usize {
        let zones = ZonePair { from, to };
        self.sub_requests.get(&zones).copied().unwrap_or_default()
    }
}

impl Rig {
    /// Sets whether clients query a process, and expect responses of it: not while it is stopped.
    pub fn set_queried(&self, process: usize, queried: bool) {
        lock(&self.shared.up)[process] = queried;
    }

    /// Starts a client of each process, with so many queries a second, one after another.
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

    /// How many queries have succeeded so far.
    pub fn succeeded(&self) -> usize {
        let outcomes = lock(&self.shared.outcomes);
        outcomes
            .iter()
            .filter(|outcome| outcome.succeeded())
            .count()
    }

    /// Waits until the last so many queries of each of these zones' clients have succeeded, of those made from now
    /// on; how long that took.
    ///
    /// # Panics
    ///
    /// If they do not in time.
    pub fn wait_until_serving(&self, zones: &[usize], in_a_row: usize) -> Duration {
        let since = Instant::now();
        while since.elapsed() < 4 * PATIENCE {
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
        panic!("service did not become whole in zones {zones:?}; the last: {last:?}");
    }

    fn is_serving(&self, zone: usize, since: Instant, in_a_row: usize) -> bool {
        let outcomes = lock(&self.shared.outcomes);
        let of_zone: Vec<_> = outcomes
            .iter()
            .filter(|outcome| outcome.zone == zone && outcome.sent_at >= since && outcome.alive)
            .collect();
        let mut last = of_zone.iter().rev().take(in_a_row);
        of_zone.len() >= in_a_row && last.all(|outcome| outcome.succeeded())
    }

    /// How many sub-requests were executed so far.
    pub fn executed(&self) -> usize {
        lock(&self.executed).len()
    }

    /// The traffic between zones, of the sub-requests executed after the first so many.
    pub fn traffic(&self, since: usize) -> Traffic {
        let zone_count = self.config.zones.len();
        let groups = self.config.replica_count();
        let zone_of_query: BTreeMap<String, usize> = self
            .outcomes()
            .into_iter()
            .map(|outcome| (outcome.id, outcome.zone))
            .collect();
        let mut traffic = Traffic::default();
        for one in lock(&self.executed).iter().skip(since) {
            let Some(&from) = zone_of_query.get(&one.query) else {
                continue;
            };
            let to = one.replica % zone_count;
            let zones = ZonePair { from, to };
            *traffic.sub_requests.entry(zones).or_default() += 1;
            let is_local = (0..REPLICAS_PER_SHARD)
                .any(|replica| (one.shard + replica) % groups % zone_count == from);
            traffic.avoidable += usize::from(is_local && to != from);
        }
        traffic
    }

    /// Stops the clients and checks all their queries against what was executed; the violations.
    ///
    /// # Panics
    ///
    /// If a client has panicked.
    pub fn check(&mut self) -> Vec<String> {
        self.shared.stopping.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            client.join().expect("a client ends by itself");
        }
        check(&self.outcomes(), &lock(&self.executed))
    }

    /// The outcomes of all queries so far.
    pub fn outcomes(&self) -> Vec<QueryOutcome> {
        lock(&self.shared.outcomes).clone()
    }
}
