//! How much may be in flight, and what a warm replica can serve. Replicas do not report their capacity: it is
//! derived from recent responses.

use super::Coordinator;
use super::score::SMOOTHING;
use super::windows::RECENT;
use crate::state::decay_factor;

/// How much may be in flight of what comes back within the shortest soft deadline.
///
/// Unit: share of responses. Reason: a backlog longer than that makes all of it late.
const IN_FLIGHT_SHARE: f64 = 0.45;

/// While the median response is quicker than this, more may be in flight.
///
/// Unit: share of the shortest soft deadline. Reason: a burst may fill what a backlog may not.
const QUICK_SHARE: f64 = 0.3;

/// How far the limits grow at most while responses are quick.
///
/// Unit: factor. Reason: quick responses to few attempts do not show what many would meet.
const MAX_QUICK_FACTOR: f64 = 2.0;

/// The limit on attempts in flight at one replica is never below this.
///
/// Unit: attempts from here. Reason: with little traffic the estimate is too coarse to reject by.
const MIN_IN_FLIGHT_PER_REPLICA: f64 = 5.0;

/// The limit on attempts in flight at all replicas together is never below this.
///
/// Unit: attempts for each replica, divided by the root of the number of co-ordinators. Reason: as for one replica.
const MIN_IN_FLIGHT: f64 = 3.0;

impl Coordinator {
    /// Derives from recent responses how much may be in flight, and what a warm replica can serve.
    pub(super) fn learn_capacity(&mut self, ready_count: f64) {
        let median = self.latency_at(0.0);
        self.learn_warm_capacity(median, ready_count);
        // In its first soft deadline's time a co-ordinator has observed too little to reject anything.
        let age = (self.now - self.timers.started_at) as f64;
        if age >= self.min_soft_deadline {
            self.learn_limits(median, ready_count);
        }
    }

    /// What a warm replica serves from here within the slow-start window. Only responses show what a replica
    /// can do; one core serves at least one sub-request in the lowest median.
    fn learn_warm_capacity(&mut self, median: f64, ready_count: f64) {
        let window = self.config.slow_start.window as f64;
        let responses = self.mean_responses_of_warm_replicas();
        let fleet = &mut self.fleet;
        fleet.lowest_median = median.min(fleet.lowest_median * (1.0 + SMOOTHING));
        let one_core = window / fleet.lowest_median / self.config.coordinator_count as f64;
        let observed = responses * window / fleet.time_constant;
        fleet.warm_capacity = (fleet.warm_capacity * (1.0 - SMOOTHING))
            .max(one_core)
            .max(observed);
        // What is sent, not what responds: a saturated replica responds little. The attempts that the share of hedged
        // requests is counted in decay within RECENT, so this is their rate.
        fleet.sent_per_window = fleet.hedge_share.attempts() * window / RECENT / ready_count;
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

    fn learn_limits(&mut self, median: f64, ready_count: f64) {
        // A co-ordinator that has just started has not yet observed a whole time constant of responses.
        let observed_time = RECENT * (1.0 - decay_factor(self.timers.started_at, self.now, RECENT));
        let soft_deadline = self.min_soft_deadline;
        let quick_factor = (QUICK_SHARE * soft_deadline / median).clamp(1.0, MAX_QUICK_FACTOR);
        let fleet = &mut self.fleet;
        let back_in_time =
            fleet.log_latencies.weight / observed_time * soft_deadline * quick_factor;
        fleet.max_in_flight_per_replica =
            (back_in_time * IN_FLIGHT_SHARE / ready_count).max(MIN_IN_FLIGHT_PER_REPLICA);
        fleet.max_in_flight = (back_in_time * IN_FLIGHT_SHARE)
            .max(ready_count * MIN_IN_FLIGHT / (self.config.coordinator_count as f64).sqrt());
    }
}
