//! Observes the zones from one coordinator.

use std::collections::BTreeMap;

use linenthread_core::interface::{AttemptOutcome, TenthMillis};

use crate::report::{Demand, Report, RouteStats};
use crate::zone_index::{ZoneIndex, ZonePair};

/// With fewer recent sub-requests to a zone, an observer has no opinion of it.
const MIN_RECENT_COMPLETED: f64 = 5.0;
/// The factor by which the recent counts are multiplied after each report.
const RECENT_DECAY: f64 = 0.5;
/// Recent counts of no more sub-requests than this are dropped.
const NEGLIGIBLE_COUNT: f64 = 0.1;
/// The number of reports for which a replica's last outcome counts.
const OUTCOME_LIFETIME_REPORTS: u64 = 16;
/// A zone is considered down if at least this share of its recent sub-requests failed.
const DOWN_FAILURE_SHARE: f64 = 0.6;
/// A zone is considered slow if its latency is more than this many times the usual latency of all zones.
const SLOW_LATENCY_RATIO: f64 = 3.0;
/// A cancelled sub-request counts as failed if it had run for more than this many times the usual latency.
const SILENT_LATENCY_RATIO: f64 = 20.0;
/// The factor by which the sums of the usual latency are multiplied before the counts of each zone are added.
const USUAL_DECAY: f64 = 0.98;
const TENTHS_PER_MS: TenthMillis = 10;

/// Counts of a zone's recent sub-requests, which decay with each report.
#[derive(Clone, Copy, Debug, Default)]
struct RecentCounts {
    completed: f64,
    succeeded: f64,
    latency_sum_ms: f64,
}

impl RecentCounts {
    fn add(&mut self, stats: &RouteStats) {
        self.completed += f64::from(stats.completed);
        self.succeeded += f64::from(stats.succeeded);
        self.latency_sum_ms += stats.latency_sum_ms as f64;
    }

    fn decayed(self) -> RecentCounts {
        RecentCounts {
            completed: self.completed * RECENT_DECAY,
            succeeded: self.succeeded * RECENT_DECAY,
            latency_sum_ms: self.latency_sum_ms * RECENT_DECAY,
        }
    }
}

/// The usual latency of all zones, from sums that decay as counts are added.
#[derive(Clone, Copy, Debug, Default)]
struct UsualLatency {
    sum_ms: f64,
    succeeded: f64,
}

impl UsualLatency {
    fn mean_ms(&self) -> f64 {
        if self.succeeded > 0.0 {
            self.sum_ms / self.succeeded
        } else {
            f64::INFINITY
        }
    }

    fn add(&mut self, stats: &RouteStats) {
        self.sum_ms = self.sum_ms * USUAL_DECAY + stats.latency_sum_ms as f64;
        self.succeeded = self.succeeded * USUAL_DECAY + f64::from(stats.succeeded);
    }
}

/// A replica, by its index in the decision module and by its zone when the sub-request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneReplica {
    zone: ZoneIndex,
    replica: usize,
}

/// The outcome of the last sub-request to a replica.
#[derive(Clone, Copy, Debug)]
struct LastOutcome {
    succeeded: bool,
    /// The number of reports made before it.
    report: u64,
}

/// Counts the outcomes of one coordinator's sub-requests by zone, and summarizes them in reports.
#[derive(Clone, Debug)]
pub struct ZoneObserver {
    local_zone: ZoneIndex,
    sub_requests: u32,
    /// By zone of replicas, since the last report.
    current: BTreeMap<ZoneIndex, RouteStats>,
    /// By zone of replicas.
    recent: BTreeMap<ZoneIndex, RecentCounts>,
    /// Kept in addition to the recent counts, since after the first failures a zone that is down receives little more
    /// than health checks.
    last_outcomes: BTreeMap<ZoneReplica, LastOutcome>,
    /// The number of reports made so far.
    reports: u64,
    usual_latency: UsualLatency,
}

impl ZoneObserver {
    /// Creates the observer of a coordinator in this zone.
    pub fn new(local_zone: ZoneIndex) -> ZoneObserver {
        ZoneObserver {
            local_zone,
            sub_requests: 0,
            current: BTreeMap::new(),
            recent: BTreeMap::new(),
            last_outcomes: BTreeMap::new(),
            reports: 0,
            usual_latency: UsualLatency::default(),
        }
    }

    /// Records the arrival of a query that needs this many sub-requests.
    pub fn on_query(&mut self, sub_requests: usize) {
        let sub_requests = u32::try_from(sub_requests).unwrap_or(u32::MAX);
        self.sub_requests = self.sub_requests.saturating_add(sub_requests);
    }

    /// Records the end of a sub-request to a replica. It is ignored if it was not sent, was rejected by a full replica
    /// or was cancelled early: that says nothing about whether the zone can be reached.
    pub fn on_outcome(
        &mut self,
        zone: ZoneIndex,
        replica: usize,
        outcome: AttemptOutcome,
        elapsed: TenthMillis,
    ) {
        if !self.is_evidence(outcome, elapsed) {
            return;
        }
        let succeeded = outcome == AttemptOutcome::Success;
        let last_outcome = LastOutcome {
            succeeded,
            report: self.reports,
        };
        let replica = ZoneReplica { zone, replica };
        self.last_outcomes.insert(replica, last_outcome);
        let stats = self.current.entry(zone).or_default();
        stats.completed = stats.completed.saturating_add(1);
        if succeeded {
            stats.succeeded += 1;
            stats.latency_sum_ms += (elapsed.max(0) / TENTHS_PER_MS).cast_unsigned();
        }
    }

    fn is_evidence(&self, outcome: AttemptOutcome, elapsed: TenthMillis) -> bool {
        match outcome {
            AttemptOutcome::NotSent | AttemptOutcome::Rejected => false,
            // Usually another attempt was just faster. But without any response for long the attempt counts, so that a
            // route that delivers nothing is detected.
            AttemptOutcome::Cancelled => {
                let usual_ms = self.usual_latency.mean_ms();
                elapsed as f64 / TENTHS_PER_MS as f64 > SILENT_LATENCY_RATIO * usual_ms.max(1.0)
            }
            _ => true,
        }
    }

    /// Drops the outcomes of a replica that was removed, or whose index now denotes another replica.
    pub fn on_replica_removed(&mut self, replica: usize) {
        self.last_outcomes
            .retain(|known, _| known.replica != replica);
    }

    /// Returns what was observed since the last report, and begins the next one. `replicas` is the number of replicas
    /// that accept sub-requests, by zone.
    pub fn report(&mut self, replicas: &[u32]) -> Report {
        let usual_ms = self.usual_latency.mean_ms();
        let current = std::mem::take(&mut self.current);
        for (zone, stats) in &current {
            self.usual_latency.add(stats);
            self.recent.entry(*zone).or_default().add(stats);
        }
        self.reports += 1;
        self.expire_outcomes();
        let mut routes = BTreeMap::new();
        for (zone, recent) in &self.recent {
            let stats = current.get(zone).copied().unwrap_or_default();
            let zone_replicas = replicas.get(zone.position()).copied();
            let all_failed = self.all_replicas_failed(*zone, zone_replicas.unwrap_or(u32::MAX));
            let stats = with_opinion(stats, recent, all_failed, usual_ms);
            let route = ZonePair {
                from: self.local_zone,
                to: *zone,
            };
            routes.insert(route, stats);
        }
        for recent in self.recent.values_mut() {
            *recent = recent.decayed();
        }
        self.recent
            .retain(|_, recent| recent.completed > NEGLIGIBLE_COUNT);
        let demand = Demand {
            observers: 1,
            sub_requests: std::mem::take(&mut self.sub_requests),
        };
        Report {
            demand: BTreeMap::from([(self.local_zone, demand)]),
            routes,
        }
    }

    /// Drops outcomes that are too old, and adds the zones of the others to those on which an opinion is formed.
    fn expire_outcomes(&mut self) {
        let reports = self.reports;
        self.last_outcomes
            .retain(|_, last| last.report + OUTCOME_LIFETIME_REPORTS > reports);
        for replica in self.last_outcomes.keys() {
            self.recent.entry(replica.zone).or_default();
        }
    }

    /// Reports whether most of a zone's replicas were tried and the last attempt at each of them failed.
    fn all_replicas_failed(&self, zone: ZoneIndex, replicas: u32) -> bool {
        let (mut tried, mut failed) = (0, 0);
        for (replica, last) in &self.last_outcomes {
            if replica.zone == zone {
                tried += 1;
                failed += u32::from(!last.succeeded);
            }
        }
        failed == tried && 2 * tried > replicas
    }
}

/// Adds the observer's opinion of the zone to the counts of the route to it.
fn with_opinion(
    stats: RouteStats,
    recent: &RecentCounts,
    all_failed: bool,
    usual_ms: f64,
) -> RouteStats {
    let failure_share = 1.0 - recent.succeeded / recent.completed.max(1.0);
    let is_down = all_failed || failure_share >= DOWN_FAILURE_SHARE;
    let is_slow = !is_down
        && recent.succeeded > 0.0
        && recent.latency_sum_ms / recent.succeeded > SLOW_LATENCY_RATIO * usual_ms.max(1.0);
    let has_opinion = all_failed || recent.completed >= MIN_RECENT_COMPLETED;
    RouteStats {
        observers: u32::from(has_opinion),
        down: u32::from(has_opinion && is_down),
        slow: u32::from(has_opinion && is_slow),
        ..stats
    }
}
