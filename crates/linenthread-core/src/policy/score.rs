//! The score of each replica, updated on a timer. The lower the better: the median response time relative to
//! the largest one, plus penalties for failures, silence and a late probe.

use super::Coordinator;
use super::windows::{
    FRESH_REPORT, MIN_WEIGHT, PROBE_TIMEOUT, RECENT, REMEMBERED_RESPONSES, RESET_INTERVAL,
    SCORE_INTERVAL,
};
use crate::conversion::to_tenth_millis;
use crate::interface::TenthMillis;
use crate::state::{Observations, Replica};

/// How much the mean of its zone weighs in a replica's median.
///
/// Unit: responses. Reason: a replica that has not responded yet counts as its zone does.
const ZONE_PRIOR: f64 = 1.0;

/// How much the mean of the fleet weighs in a zone's median.
///
/// Unit: responses. Reason: a zone that has responded seldom counts as the fleet does.
const FLEET_PRIOR: f64 = 4.0;

/// What each attempt in flight from here, beyond the average, adds to a replica's median.
///
/// Unit: share of the median. Reason: response times show a burst only once it has been served.
const LOAD_PER_ATTEMPT: f64 = 1.0;

/// What each sub-request that a replica reports as queued adds to its median.
///
/// Unit: share of the median. Reason: reports are older than what is counted here, so they count half.
const LOAD_PER_QUEUED: f64 = 0.5;

/// What a replica that only fails has added to its score.
///
/// Unit: score (the slowest median counts 1). Reason: it has to score far worse than the slowest replica that responds.
const SEVERITY: f64 = 8.0;

/// What is added to the score of a replica that has not responded to a probe in time.
///
/// Unit: score. Reason: between the slowest median, which counts 1, and a replica that only fails.
const LATE_PROBE: f64 = 4.0;

/// How much slower observations decay at most where few responses come from each replica.
///
/// Unit: factor. Reason: observations older than half a minute say nothing of a replica's present.
const MAX_TIME_CONSTANT_FACTOR: f64 = 10.0;

/// The weight of one more update in a smoothed value.
///
/// Unit: share. Reason: the value then follows within about a reset interval.
pub(super) const SMOOTHING: f64 = SCORE_INTERVAL as f64 / RESET_INTERVAL as f64;

/// What all scores of one update are relative to. Times are in tenths of a millisecond.
struct Baseline {
    now: TenthMillis,
    /// A response time from which on attempts are slow.
    slow: f64,
    /// The lowest recent median: a queued sub-request takes no less.
    lowest_median: f64,
    /// The mean logarithm of all response times.
    fleet_mean: f64,
    /// The largest median of a replica that is ready.
    largest_median: f64,
}

impl Baseline {
    /// The median response time of a replica. One that has responded seldom is given mostly its zone's average, and a
    /// zone that has mostly the fleet's.
    fn median(&self, replica: &Observations, zone: &Observations) -> f64 {
        let zone_mean = zone
            .log_latencies
            .mean_with_prior(FLEET_PRIOR, self.fleet_mean);
        replica
            .log_latencies
            .mean_with_prior(ZONE_PRIOR, zone_mean)
            .exp()
    }

    /// Updates the score of a replica. `usual_in_flight` is what replicas have in flight on average.
    fn score(&self, replica: &mut Replica, zone: &Observations, usual_in_flight: f64) {
        let queued = replica.estimated_queue(self.now, FRESH_REPORT, self.lowest_median);
        let in_flight = f64::from(replica.in_flight);
        let load = (in_flight - usual_in_flight).max(0.0) + LOAD_PER_QUEUED * queued;
        replica.expected_latency = self.median(&replica.observations, zone);
        let median = replica.expected_latency * (1.0 + LOAD_PER_ATTEMPT * load);
        replica.score = median / self.largest_median
            + SEVERITY * severity(replica, zone)
            + self.silence_penalty(replica)
            + self.probe_penalty(replica);
    }

    /// How long the replica has been silent, beyond a slow response time, in units of the largest median.
    fn silence_penalty(&self, replica: &Replica) -> f64 {
        let silent = if replica.in_flight > 0 {
            self.now - replica.last_response_at
        } else {
            0
        };
        (silent as f64 - self.slow).max(0.0) / self.largest_median
    }

    /// What is added while a probe of the replica is late. A report that was made after the probe was sent ends that,
    /// too.
    fn probe_penalty(&self, replica: &Replica) -> f64 {
        replica
            .probe_sent_at
            .filter(|&at| self.now - at >= PROBE_TIMEOUT && replica.last_report_at < at)
            .map_or(0.0, |_| LATE_PROBE)
    }
}

/// The share of failures. Stalled attempts count as failures before their time-outs say so, which finds a replica
/// that hangs; one imagined response keeps a single failure from deciding.
fn severity(replica: &Replica, zone: &Observations) -> f64 {
    let stalled = f64::from(replica.stalled);
    let failures = &replica.observations.failures;
    (failures.sum + stalled + zone.failures.mean_with_prior(FLEET_PRIOR, 0.0))
        / (failures.weight + stalled + 1.0)
}

impl Coordinator {
    /// Updates the scores, once an interval.
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
        self.learn_capacity(ready_count);
    }

    fn ready_replicas(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.iter().filter(|replica| replica.is_ready())
    }

    /// Replicas are remembered for about [`REMEMBERED_RESPONSES`] responses each.
    fn update_time_constant(&mut self, ready_count: f64) {
        let fleet = &mut self.fleet;
        fleet.log_latencies.decay(self.now, RECENT);
        let response_weight = if fleet.response_weight > 0.0 {
            fleet.response_weight
        } else {
            REMEMBERED_RESPONSES * ready_count
        };
        let difference = fleet.log_latencies.weight - response_weight;
        fleet.response_weight =
            response_weight + difference * SCORE_INTERVAL as f64 / RESET_INTERVAL as f64;
        fleet.time_constant = (RECENT * REMEMBERED_RESPONSES * ready_count / fleet.response_weight)
            .clamp(RECENT, RECENT * MAX_TIME_CONSTANT_FACTOR);
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
        let usual_in_flight: Vec<f64> = (0..self.zones.len())
            .map(|zone| self.usual_in_flight(zone))
            .collect();
        for replica in self.replicas.iter_mut().filter(|r| r.is_ready()) {
            let zone = replica.entry.zone;
            baseline.score(replica, &self.zones[zone], usual_in_flight[zone]);
        }
    }

    /// Attempts in flight at the average replica that a zone's replicas are compared with. While a table routes
    /// by zone, one has more in flight than others only beside those of its own zone.
    fn usual_in_flight(&self, zone: usize) -> f64 {
        let compares_zones = self.zone_routes.is_empty();
        let in_flight = || {
            self.ready_replicas()
                .filter(|replica| compares_zones || replica.entry.zone == zone)
                .map(|replica| f64::from(replica.in_flight))
        };
        in_flight().sum::<f64>() / in_flight().count() as f64
    }

    /// Forgets the observations of replicas, not those of zones.
    fn reset_observations(&mut self) {
        let interval = RESET_INTERVAL as f64 * self.fleet.time_constant / RECENT;
        self.timers.next_reset = self.now + to_tenth_millis(interval);
        for replica in &mut self.replicas {
            replica.observations = Observations::default();
        }
    }
}
