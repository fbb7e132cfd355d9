//! Measures the demand of each zone's clients and the latency of each zone's replicas from reports.

use crate::report::{Report, RouteStats};
use crate::zone_index::ZoneIndex;

/// The part of the difference to a lower reported demand by which the measured demand falls per evaluation.
const DEMAND_DECAY: f64 = 0.1;
/// The number of successes in an interval below which a zone's latency is not measured.
const MIN_SUCCEEDED: f64 = 20.0;
/// The lower limit of a mean latency, in milliseconds.
const MIN_LATENCY_MS: f64 = 0.1;
/// A latency above this many times the usual one is not averaged into it.
const MAX_USUAL_RATIO: f64 = 1.5;
/// The weight of a new latency in the moving average that is the usual one.
const USUAL_LATENCY_WEIGHT: f64 = 0.02;
/// The lower limit of the part of its capacity that a slow zone is assumed to have.
const MIN_SLOW_CAPACITY: f64 = 0.1;

/// The measured demand and latency of each zone.
#[derive(Clone, Debug)]
pub(super) struct Measurements {
    /// By zone of clients, in sub-requests per second.
    demand: Vec<f64>,
    /// By zone of replicas.
    latency: Vec<Latency>,
}

impl Measurements {
    pub(super) fn new(zone_count: usize) -> Measurements {
        Measurements {
            demand: vec![0.0; zone_count],
            latency: vec![Latency::default(); zone_count],
        }
    }

    /// Returns the demand by zone of clients, in sub-requests per second.
    pub(super) fn demand(&self) -> &[f64] {
        &self.demand
    }

    pub(super) fn latency(&self, zone: ZoneIndex) -> Latency {
        self.latency[zone.position()]
    }

    /// Updates the measurements from the report of an interval of this many seconds.
    pub(super) fn update(&mut self, report: &Report, seconds: f64) {
        for zone in ZoneIndex::all(self.demand.len()) {
            self.update_demand(zone, report, seconds);
            self.update_latency(zone, report);
        }
    }

    /// Follows rising demand at once and falling demand slowly, since some reports are lost and bursts recur.
    fn update_demand(&mut self, zone: ZoneIndex, report: &Report, seconds: f64) {
        let reported = report.demand.get(&zone);
        let reported = reported.map_or(0.0, |demand| f64::from(demand.sub_requests) / seconds);
        let demand = &mut self.demand[zone.position()];
        *demand = reported.max(*demand + DEMAND_DECAY * (reported - *demand));
    }

    fn update_latency(&mut self, zone: ZoneIndex, report: &Report) {
        let to_zone = || stats_to(zone, report);
        let succeeded: f64 = to_zone().map(|stats| f64::from(stats.succeeded)).sum();
        let sum_ms: f64 = to_zone().map(|stats| stats.latency_sum_ms as f64).sum();
        if succeeded >= MIN_SUCCEEDED {
            let mean_ms = (sum_ms / succeeded).max(MIN_LATENCY_MS);
            self.latency[zone.position()].update(mean_ms);
        }
    }
}

fn stats_to(zone: ZoneIndex, report: &Report) -> impl Iterator<Item = &RouteStats> {
    let routes = report.routes.iter();
    let to_zone = routes.filter(move |(route, _)| route.to == zone);
    to_zone.map(|(_, stats)| stats)
}

/// A zone's mean latency in milliseconds; 0 until first measured.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Latency {
    usual_ms: f64,
    current_ms: f64,
}

impl Latency {
    fn update(&mut self, mean_ms: f64) {
        self.current_ms = mean_ms;
        if self.usual_ms == 0.0 {
            self.usual_ms = mean_ms;
        }
        if mean_ms <= MAX_USUAL_RATIO * self.usual_ms {
            self.usual_ms += USUAL_LATENCY_WEIGHT * (mean_ms - self.usual_ms);
        }
    }

    /// Returns the part of its capacity that a zone is assumed to have at its current latency.
    pub(super) fn capacity_part(&self) -> f64 {
        let part = self.usual_ms / self.current_ms.max(MIN_LATENCY_MS);
        part.clamp(MIN_SLOW_CAPACITY, 1.0)
    }
}
