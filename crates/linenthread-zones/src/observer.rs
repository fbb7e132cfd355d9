//! One coordinator's view of each zone.

use std::collections::BTreeMap;

use linenthread_core::interface::{AttemptOutcome, TenthMillis};

use crate::report::{Demand, Report, RouteStats};
use crate::zone_index::{ZoneIndex, ZonePair};

/// With fewer recent sub-requests than this an observer has no opinion of a zone.
const MIN_RECENT_COMPLETED: f64 = 5.0;
/// What is left of the recent counts after each report.
const RECENT_DECAY: f64 = 0.5;
/// Recent counts below this are forgotten.
const NEGLIGIBLE: f64 = 0.1;
/// A replica's last outcome counts for so many reports.
const OUTCOME_LIFETIME_REPORTS: u64 = 16;
/// A zone is seen down when this share of its recent sub-requests failed.
const DOWN_FAILURE_SHARE: f64 = 0.6;
/// A zone is seen slow when its latency is so many times the usual one of all zones.
const SLOW_LATENCY_RATIO: f64 = 3.0;
/// A sub-request that was cancelled after so many times the usual latency had met with silence.
const SILENT_LATENCY_RATIO: f64 = 20.0;
/// What is left of the usual latency's sums after each report.
const USUAL_DECAY: f64 = 0.98;
const TENTHS_PER_MS: TenthMillis = 10;

/// Recent counts of a zone, which decay with each report.
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

/// The usual latency over all zones: sums that decay with each report.
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

/// A replica by its index in the decision module, in the zone that it had when a sub-request was sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneReplica {
    zone: ZoneIndex,
    replica: usize,
}

/// How the last sub-request to a replica ended.
#[derive(Clone, Copy, Debug)]
struct LastOutcome {
    succeeded: bool,
    /// The number of the report that it belongs to.
    report: u64,
}

/// Counts the outcomes of one coordinator's sub-requests.
#[derive(Clone, Debug)]
pub struct ZoneObserver {
    local_zone: ZoneIndex,
    sub_requests: u32,
    /// By zone of replicas, since the last report.
    current: BTreeMap<ZoneIndex, RouteStats>,
    /// By zone of replicas.
    recent: BTreeMap<ZoneIndex, RecentCounts>,
    /// Beside the recent counts, since a zone that is down gets little more than health checks after the first
    /// failures.
    last_outcomes: BTreeMap<ZoneReplica, LastOutcome>,
    /// How many reports were made.
    reports: u64,
    usual_latency: UsualLatency,
}

impl ZoneObserver {
    /// For a coordinator in this zone.
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

    /// A query that needs so many sub-requests has arrived.
    pub fn on_query(&mut self, sub_requests: usize) {
        let sub_requests = u32::try_from(sub_requests).unwrap_or(u32::MAX);
        self.sub_requests = self.sub_requests.saturating_add(sub_requests);
    }

    /// A sub-request to a replica has ended. One that was cancelled here, or rejected by a full replica, says nothing
    /// on whether the zone can be reached.
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
            // Another attempt was quicker, which says nothing, unless this one had been silent for long: so a route on
            // which nothing comes through is noticed.
            AttemptOutcome::Cancelled => {
                let usual_ms = self.usual_latency.mean_ms();
                elapsed as f64 / TENTHS_PER_MS as f64 > SILENT_LATENCY_RATIO * usual_ms.max(1.0)
            }
            _ => true,
        }
    }

    /// A replica is removed, or another one has its index: its outcomes do not count any more.
    pub fn on_replica_removed(&mut self, replica: usize) {
        self.last_outcomes
            .retain(|known, _| known.replica != replica);
    }

    /// What was observed since the last report; `replicas` are those of each zone that accept sub-requests.
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
            let judged = judge(stats, recent, all_failed, usual_ms);
            let route = ZonePair {
                from: self.local_zone,
                to: *zone,
            };
            routes.insert(route, judged);
        }
        for recent in self.recent.values_mut() {
            *recent = recent.decayed();
        }
        self.recent
            .retain(|_, recent| recent.completed > NEGLIGIBLE);
        let demand = Demand {
            observers: 1,
            sub_requests: std::mem::take(&mut self.sub_requests),
        };
        Report {
            demand: BTreeMap::from([(self.local_zone, demand)]),
            routes,
        }
    }

    /// Forgets outcomes that are too old; zones with others are judged.
    fn expire_outcomes(&mut self) {
        let reports = self.reports;
        self.last_outcomes
            .retain(|_, last| last.report + OUTCOME_LIFETIME_REPORTS > reports);
        for replica in self.last_outcomes.keys() {
            self.recent.entry(replica.zone).or_default();
        }
    }

    /// Whether most of a zone's replicas were tried, and the last attempt at each of these has failed.
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

/// Adds an observer's opinion to what happened on a route.
fn judge(stats: RouteStats, recent: &RecentCounts, all_failed: bool, usual_ms: f64) -> RouteStats {
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
