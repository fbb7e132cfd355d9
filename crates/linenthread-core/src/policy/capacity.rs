//! Estimates how many attempts may be in flight and what a warm replica can serve. Replicas do not report their
//! capacity, so it is derived from recent responses.

use super::Coordinator;
use super::score::SMOOTHING;
use super::windows::SHORT_TIME_CONSTANT;
use crate::state::decay_factor;

/// The limit on attempts in flight, relative to the responses expected within the shortest soft deadline.
///
/// Unit: share of responses. Reason: a longer backlog makes all of its responses late.
const IN_FLIGHT_SHARE: f64 = 0.45;

/// The median response time below which more attempts may be in flight.
///
/// Unit: share of the shortest soft deadline. Reason: a short burst may exceed what a lasting backlog may not.
const FAST_MEDIAN_SHARE: f64 = 0.3;

/// The maximum factor by which the limits grow while responses are fast.
///
/// Unit: factor. Reason: fast responses to few attempts do not predict those to many attempts.
const MAX_BURST_FACTOR: f64 = 2.0;

/// The minimum of the limit on attempts in flight at one replica.
///
/// Unit: attempts from here. Reason: with little traffic the estimate is too coarse to reject queries by.
const MIN_IN_FLIGHT_PER_REPLICA: f64 = 5.0;

/// The minimum of the limit on attempts in flight at all replicas together.
///
/// Unit: attempts per replica, divided by the square root of the number of co-ordinators. Reason: as for one replica.
const MIN_IN_FLIGHT: f64 = 3.0;

impl Coordinator {
    /// Updates the limits on attempts in flight and the capacity of a warm replica from recent responses.
    pub(super) fn update_capacity(&mut self, ready_count: f64) {
        let median = self.latency_at(0.0);
        self.update_warm_capacity(median, ready_count);
        // Within its first soft deadline a co-ordinator has observed too little to reject anything.
        let age = (self.now - self.timers.started_at) as f64;
        if age >= self.min_soft_deadline {
            self.update_limits(median, ready_count);
        }
    }

    /// Updates what a warm replica serves for this co-ordinator within the slow-start window. Only responses reveal a
    /// replica's capacity; a single core serves at least one sub-request per lowest median.
    fn update_warm_capacity(&mut self, median: f64, ready_count: f64) {
        let window = self.config.slow_start.window as f64;
        let responses = self.mean_responses_of_warm_replicas();
        let fleet = &mut self.fleet;
        fleet.lowest_median = median.min(fleet.lowest_median * (1.0 + SMOOTHING));
        let one_core = window / fleet.lowest_median / self.config.coordinator_count as f64;
        let observed = responses * window / fleet.time_constant;
        fleet.warm_capacity = (fleet.warm_capacity * (1.0 - SMOOTHING))
            .max(one_core)
            .max(observed);
        // Based on attempts sent rather than on responses, since a saturated replica responds to few. The attempt count
        // of the hedge share decays with SHORT_TIME_CONSTANT, which makes it a rate.
        fleet.sent_per_window =
            fleet.hedge_share.attempts() * window / SHORT_TIME_CONSTANT / ready_count;
    }

    fn mean_responses_of_warm_replicas(&self) -> f64 {
        let responses: Vec<f64> = self
            .replica_indices()
            .filter(|&replica| {
                self.replicas[replica].is_ready() && self.slow_start_capacity(replica).is_none()
            })
            .map(|replica| self.replicas[replica].observations.log_latencies.weight)
            .collect();
        responses.iter().sum::<f64>() / responses.len().max(1) as f64
    }

    fn update_limits(&mut self, median: f64, ready_count: f64) {
        // A co-ordinator that has recently started has not yet observed a full time constant of responses.
        let observed_time = SHORT_TIME_CONSTANT
            * (1.0 - decay_factor(self.timers.started_at, self.now, SHORT_TIME_CONSTANT));
        let soft_deadline = self.min_soft_deadline;
        let burst_factor =
            (FAST_MEDIAN_SHARE * soft_deadline / median).clamp(1.0, MAX_BURST_FACTOR);
        let fleet = &mut self.fleet;
        let responses_in_time =
            fleet.log_latencies.weight / observed_time * soft_deadline * burst_factor;
        fleet.max_in_flight_per_replica =
            (responses_in_time * IN_FLIGHT_SHARE / ready_count).max(MIN_IN_FLIGHT_PER_REPLICA);
        fleet.max_in_flight = (responses_in_time * IN_FLIGHT_SHARE)
            .max(ready_count * MIN_IN_FLIGHT / (self.config.coordinator_count as f64).sqrt());
    }
}
