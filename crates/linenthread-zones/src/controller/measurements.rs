//! Demand of each zone's clients and latency of each zone's replicas, as measured from reports.

use crate::report::{Report, RouteStats};
use crate::zone_index::ZoneIndex;

/// The measured demand falls by this part of the difference with each evaluation.
const DEMAND_DECAY: f64 = 0.1;
/// With fewer successes in an interval a zone's latency is not measured.
const MIN_SUCCEEDED: f64 = 20.0;
/// A shorter mean latency is taken for this one, in milliseconds.
const MIN_LATENCY_MS: f64 = 0.1;
/// A latency above this many times the usual one does not change the usual one.
const MAX_USUAL_RATIO: f64 = 1.5;
/// The usual latency follows the present one by this part of the difference.
const USUAL_LATENCY_GAIN: f64 = 0.02;
/// The least part of its capacity that a slow zone is taken to have.
const MIN_SLOW_CAPACITY: f64 = 0.1;

/// What was measured, by zone.
#[derive(Clone, Debug)]
pub(super) struct Measurements {
    /// Sub-requests a second that the clients of each zone ask for.
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

    /// Sub-requests a second that the clients of each zone ask for.
    pub(super) fn demand(&self) -> &[f64] {
        &self.demand
    }

    pub(super) fn latency(&self, zone: ZoneIndex) -> Latency {
        self.latency[zone.position()]
    }

    /// Takes in what was reported within so many seconds.
    pub(super) fn measure(&mut self, report: &Report, seconds: f64) {
        for zone in ZoneIndex::all(self.demand.len()) {
            self.measure_demand(zone, report, seconds);
            self.measure_latency(zone, report);
        }
    }

    /// Up at once, down slowly: some reports are lost, and what comes in bursts comes again.
    fn measure_demand(&mut self, zone: ZoneIndex, report: &Report, seconds: f64) {
        let reported = report.demand.get(&zone);
        let reported = reported.map_or(0.0, |demand| f64::from(demand.sub_requests) / seconds);
        let demand = &mut self.demand[zone.position()];
        *demand = reported.max(*demand + DEMAND_DECAY * (reported - *demand));
    }

    fn measure_latency(&mut self, zone: ZoneIndex, report: &Report) {
        let to_zone = || stats_to(zone, report);
        let succeeded: f64 = to_zone().map(|stats| f64::from(stats.succeeded)).sum();
        let sum_ms: f64 = to_zone().map(|stats| stats.latency_sum_ms as f64).sum();
        if succeeded >= MIN_SUCCEEDED {
            let mean_ms = (sum_ms / succeeded).max(MIN_LATENCY_MS);
            self.latency[zone.position()].measure(mean_ms);
        }
    }
}

fn stats_to(zone: ZoneIndex, report: &Report) -> impl Iterator<Item = &RouteStats> {
    let routes = report.routes.iter();
    let to_zone = routes.filter(move |(route, _)| route.to == zone);
    to_zone.map(|(_, stats)| stats)
}

/// A zone's mean latency in milliseconds; 0 while it was never measured.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Latency {
    usual_ms: f64,
    current_ms: f64,
}

impl Latency {
    fn measure(&mut self, mean_ms: f64) {
        self.current_ms = mean_ms;
        if self.usual_ms == 0.0 {
            self.usual_ms = mean_ms;
        }
        if mean_ms <= MAX_USUAL_RATIO * self.usual_ms {
            self.usual_ms += USUAL_LATENCY_GAIN * (mean_ms - self.usual_ms);
        }
    }

    /// The part of its capacity that a zone of this latency has.
    pub(super) fn capacity_part(&self) -> f64 {
        let part = self.usual_ms / self.current_ms.max(MIN_LATENCY_MS);
        part.clamp(MIN_SLOW_CAPACITY, 1.0)
    }
}
