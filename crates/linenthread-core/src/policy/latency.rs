//! Determines which response times are slow and which attempts have stalled.

use super::Coordinator;
use super::windows::{MIN_WEIGHT, SLOW_DEVIATIONS};
use crate::state::Attempt;

impl Coordinator {
    /// Returns the response time over all replicas that is this many standard deviations above the median, in tenths of
    /// a millisecond. Without observations, returns half of the shortest soft deadline.
    pub(super) fn latency_at(&self, deviations: f64) -> f64 {
        self.fleet
            .log_latencies
            .distribution(MIN_WEIGHT)
            .map_or(self.min_soft_deadline / 2.0, |logarithms| {
                (logarithms.mean + deviations * logarithms.deviation).exp()
            })
    }

    /// Returns the response time from which an attempt is slow, in tenths of a millisecond.
    pub(super) fn slow_latency(&self) -> f64 {
        self.latency_at(SLOW_DEVIATIONS)
    }

    /// Reports whether an attempt has stalled: it is slow, and its replica has not responded to anything for twice that
    /// time. Stalled attempts are treated as lost before they time out.
    pub(super) fn is_stalled(&self, attempt: &Attempt, slow: f64) -> bool {
        let time_without_response =
            (self.now - self.replicas[attempt.replica].last_response_at) as f64;
        attempt.is_in_flight()
            && (self.now - attempt.sent_at) as f64 > slow
            && time_without_response > 2.0 * slow
    }

    /// Updates the number of stalled attempts at each replica.
    pub(super) fn count_stalled(&mut self, slow: f64) {
        for replica in &mut self.replicas {
            replica.stalled = 0;
        }
        for &query_index in &self.open_queries {
            let Some(query) = &self.queries[query_index] else {
                continue;
            };
            for attempt in query.sub_requests.iter().flat_map(|s| &s.attempts) {
                let is_stalled = self.is_stalled(attempt, slow);
                self.replicas[attempt.replica].stalled += u32::from(is_stalled);
            }
        }
    }
}
