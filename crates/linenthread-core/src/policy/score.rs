//! Updates the score of each replica on a timer. Lower is better: a score is the median response time relative to the
//! largest one, plus penalties for failures, missing responses and a late probe.

use super::Coordinator;
use super::windows::{
    MIN_WEIGHT, PROBE_TIMEOUT, REPORT_LIFETIME, RESET_INTERVAL, RETAINED_RESPONSES, SCORE_INTERVAL,
    SHORT_TIME_CONSTANT,
};
use crate::conversion::to_tenth_millis;
use crate::interface::TenthMillis;
use crate::state::{Observations, Replica};

/// The weight of the zone's mean in a replica's median.
///
/// Unit: responses. Reason: a replica that has not responded yet is rated like its zone.
const ZONE_PRIOR: f64 = 1.0;

/// The weight of the fleet's mean in a zone's median.
///
/// Unit: responses. Reason: a zone with few responses is rated like the fleet.
const FLEET_PRIOR: f64 = 4.0;

/// The increase of a replica's median for each attempt in flight from here above the average.
///
/// Unit: share of the median. Reason: response times reflect a burst only after it has been served.
const LOAD_PER_ATTEMPT: f64 = 1.0;

/// The increase of a replica's median for each sub-request that it reports as queued.
///
/// Unit: share of the median. Reason: reports are older than the local count of attempts, so they count half.
const LOAD_PER_QUEUED: f64 = 0.5;

/// The penalty added to the score of a replica whose attempts all fail.
///
/// Unit: score (the slowest median counts 1). Reason: it has to score far worse than the slowest replica that responds.
const FAILURE_PENALTY: f64 = 8.0;

/// The penalty added to the score of a replica that has not responded to a probe in time.
///
/// Unit: score. Reason: between the slowest median, which counts 1, and a replica whose attempts all fail.
const LATE_PROBE_PENALTY: f64 = 4.0;

/// The maximum factor by which the decay of observations slows down where there are few responses per replica.
///
/// Unit: factor. Reason: observations older than half a minute say nothing about a replica's current state.
const MAX_TIME_CONSTANT_FACTOR: f64 = 10.0;

/// The weight of each update in an exponentially smoothed value.
///
/// Unit: share. Reason: the value then follows changes within about a reset interval.
pub(super) const SMOOTHING: f64 = SCORE_INTERVAL as f64 / RESET_INTERVAL as f64;

/// Values that all scores of one update are relative to. Times are in tenths of a millisecond.
struct Baseline {
    now: TenthMillis,
    /// The response time from which attempts are slow.
    slow: f64,
    /// The lowest recent median, used as the minimum service time of a queued sub-request.
    lowest_median: f64,
    /// The mean logarithm of all response times.
    fleet_mean: f64,
    /// The largest median among the ready replicas.
    largest_median: f64,
}

impl Baseline {
    /// Returns the median response time of a replica. With few responses it is mainly the average of its zone, and that
    /// of a zone with few responses mainly the average of the fleet.
    fn median(&self, replica: &Observations, zone: &Observations) -> f64 {
        let zone_mean = zone
            .log_latencies
            .mean_with_prior(FLEET_PRIOR, self.fleet_mean);
        replica
            .log_latencies
            .mean_with_prior(ZONE_PRIOR, zone_mean)
            .exp()
    }

    /// Updates the score of a replica. `average_in_flight` is the average number of attempts in flight per replica.
    fn score(&self, replica: &mut Replica, zone: &Observations, average_in_flight: f64) {
        let queued = replica.estimated_queue(self.now, REPORT_LIFETIME, self.lowest_median);
        let in_flight = f64::from(replica.in_flight);
        let load = (in_flight - average_in_flight).max(0.0) + LOAD_PER_QUEUED * queued;
        replica.expected_latency = self.median(&replica.observations, zone);
        let median = replica.expected_latency * (1.0 + LOAD_PER_ATTEMPT * load);
        replica.score = median / self.largest_median
            + FAILURE_PENALTY * failure_share(replica, zone)
            + self.unresponsive_penalty(replica)
            + self.probe_penalty(replica);
    }

    /// Returns the penalty for missing responses: the time since the last response beyond a slow response time, in
    /// units of the largest median.
    fn unresponsive_penalty(&self, replica: &Replica) -> f64 {
        let time_without_response = if replica.in_flight > 0 {
            self.now - replica.last_response_at
        } else {
            0
        };
        (time_without_response as f64 - self.slow).max(0.0) / self.largest_median
    }

    /// Returns the penalty for a late probe. It ends with the probe, or with a report made after the probe was sent.
    fn probe_penalty(&self, replica: &Replica) -> f64 {
        replica
            .probe_sent_at
            .filter(|&at| self.now - at >= PROBE_TIMEOUT && replica.last_report_at < at)
            .map_or(0.0, |_| LATE_PROBE_PENALTY)
    }
}

/// Returns the share of failures. Stalled attempts count as failures before they time out, which detects hanging
/// replicas. One added response prevents a single failure from dominating.
fn failure_share(replica: &Replica, zone: &Observations) -> f64 {
    let stalled = f64::from(replica.stalled);
    let failures = &replica.observations.failures;
    (failures.sum + stalled + zone.failures.mean_with_prior(FLEET_PRIOR, 0.0))
        / (failures.weight + stalled + 1.0)
}

impl Coordinator {
    /// Updates the scores if they are due.
    pub(super) fn update_scores(&mut self) {
        if self.now < self.timers.next_score {
            return;
        }
        self.timers.next_score = self.now + SCORE_INTERVAL;
        let slow = self.slow_latency();
        let ready_count = self.ready_replicas().count().max(1) as f64;
        self.update_time_constant(ready_count);
        self.decay_observations();
        self.count_stalled(slow);
        self.score_replicas(slow);
        if self.now >= self.timers.next_reset {
            self.reset_observations();
        }
        self.update_capacity(ready_count);
    }

    fn ready_replicas(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.iter().filter(|replica| replica.is_ready())
    }

    /// Sets the time constant so that about [`RETAINED_RESPONSES`] responses of each replica are retained.
    fn update_time_constant(&mut self, ready_count: f64) {
        let fleet = &mut self.fleet;
        fleet.log_latencies.decay(self.now, SHORT_TIME_CONSTANT);
        let response_weight = if fleet.response_weight > 0.0 {
            fleet.response_weight
        } else {
            RETAINED_RESPONSES * ready_count
        };
        let difference = fleet.log_latencies.weight - response_weight;
        fleet.response_weight =
            response_weight + difference * SCORE_INTERVAL as f64 / RESET_INTERVAL as f64;
        fleet.time_constant =
            (SHORT_TIME_CONSTANT * RETAINED_RESPONSES * ready_count / fleet.response_weight).clamp(
                SHORT_TIME_CONSTANT,
                SHORT_TIME_CONSTANT * MAX_TIME_CONSTANT_FACTOR,
            );
    }

    fn decay_observations(&mut self) {
        let replicas = self.replicas.iter_mut().map(|r| &mut r.observations);
        for observations in replicas.chain(&mut self.zones) {
            let time_constant = self.fleet.time_constant;
            observations.log_latencies.decay(self.now, time_constant);
            observations.failures.decay(self.now, time_constant);
        }
    }

    fn score_replicas(&mut self, slow: f64) {
        let mut baseline = Baseline {
            now: self.now,
            slow,
            lowest_median: self.fleet.lowest_median,
            fleet_mean: self.fleet.log_latencies.mean(MIN_WEIGHT).unwrap_or(0.0),
            largest_median: 1.0,
        };
        let median = |r: &Replica| baseline.median(&r.observations, &self.zones[r.entry.zone]);
        baseline.largest_median = self.ready_replicas().map(median).fold(1.0, f64::max);
        let average_in_flight: Vec<f64> = (0..self.zones.len())
            .map(|zone| self.average_in_flight(zone))
            .collect();
        for replica in self.replicas.iter_mut().filter(|r| r.is_ready()) {
            let zone = replica.entry.zone;
            baseline.score(replica, &self.zones[zone], average_in_flight[zone]);
        }
    }

    /// Returns the average number of attempts in flight that a zone's replicas are compared with. While a routing table
    /// is in use, they are compared only with replicas of the same zone.
    fn average_in_flight(&self, zone: usize) -> f64 {
        let compares_zones = self.zone_routes.is_empty();
        let in_flight = || {
            self.ready_replicas()
                .filter(|replica| compares_zones || replica.entry.zone == zone)
                .map(|replica| f64::from(replica.in_flight))
        };
        in_flight().sum::<f64>() / in_flight().count() as f64
    }

    /// Clears the observations of replicas, but not those of zones.
    fn reset_observations(&mut self) {
        let interval = RESET_INTERVAL as f64 * self.fleet.time_constant / SHORT_TIME_CONSTANT;
        self.timers.next_reset = self.now + to_tenth_millis(interval);
        for replica in &mut self.replicas {
            replica.observations = Observations::default();
        }
    }
}
