//! Which sub-requests of a query are sent now: first attempts, retries, and hedged requests.

use super::Coordinator;
use super::query_of_death::CrashEvidence;
use super::windows::{CRASH_MEMORY, RECENT, WEIGHT_ROUNDING};
use crate::interface::DecisionSink;
use crate::state::{Attempt, Query, SubRequest};

/// Share of attempts that may be hedged requests, sent because the first attempt is slow.
const HEDGE_SHARE: f64 = 0.005;

/// The same for the last sub-request that a query lacks.
const LAST_HEDGE_SHARE: f64 = 0.02;

/// Requests are hedged when no more time than this multiple of a slow response time is left before the soft
/// deadline: a response sooner than that asks for earns nothing.
const HEDGE_WITHIN: f64 = 2.5;

/// Where a share of the sub-requests makes a complete response: share of the others that is sent at first.
const EXTRA_SHARE: f64 = 0.25;

/// Scores are compared in thousandths when sub-requests are ordered.
const SCORE_SCALE: f64 = 1_000.0;

/// What is to be sent of a query, and how hedging is limited. Times are in tenths of a millisecond.
struct DispatchPlan {
    /// The sub-requests in the order they are sent.
    order: Vec<usize>,
    /// The weight of first attempts that is still wanted; infinite where all are.
    unsent_weight: f64,
    /// A response time from which on attempts are slow.
    slow: f64,
    /// Little time is left before the soft deadline.
    is_urgent: bool,
    /// Share of attempts that may be hedged requests.
    hedge_share: f64,
    /// One sub-request is sent first, and the others when it lasts.
    one_first: bool,
}

impl Coordinator {
    /// Sends the sub-requests not yet sent, those that failed, and hedged requests for those that are slow.
    pub(super) fn send_missing(&mut self, query_index: usize, sink: &mut impl DecisionSink) {
        let now = self.now;
        self.fleet.hedges.decay(now, RECENT);
        self.fleet.crashes.decay(now, CRASH_MEMORY);
        let Some(Some(query)) = self.queries.get(query_index) else {
            return;
        };
        let slow = self.slow_latency();
        if self.is_deferred(query, slow) {
            return;
        }
        let mut plan = self.dispatch_plan(query, slow);
        for sub_request_index in std::mem::take(&mut plan.order) {
            let sub_request = &self.open_query(query_index).sub_requests[sub_request_index];
            let is_first = sub_request.attempts.is_empty();
            if !sub_request.is_needed() || is_first && plan.unsent_weight <= WEIGHT_ROUNDING / 2.0 {
                continue;
            }
            plan.unsent_weight -= if is_first { sub_request.weight } else { 0.0 };
            let in_flight = sub_request.in_flight();
            let hedges = self.may_hedge(sub_request, &plan);
            if hedges && self.should_move(query_index, sub_request_index, slow) {
                self.cancel_to_move(query_index, sub_request_index, sink);
            } else if in_flight == 0 || in_flight == 1 && hedges {
                self.send_attempt(query_index, sub_request_index, sink);
                if plan.one_first {
                    return;
                }
            }
        }
    }

    /// Nothing of the query is sent: it may make replicas crash, or its first sub-request has not yet lasted.
    fn is_deferred(&self, query: &Query, slow: f64) -> bool {
        let mut attempts = query.sub_requests.iter().flat_map(|s| &s.attempts);
        self.may_be_query_of_death(query, CrashEvidence::Outage)
            || self.sends_one_first(query)
                && attempts.any(|attempt| attempt.is_in_flight_within(self.now, slow))
    }

    fn dispatch_plan(&self, query: &Query, slow: f64) -> DispatchPlan {
        let missing = query.present_phase().iter().filter(|s| !s.succeeded);
        let is_last = missing.count() <= 1;
        let mut plan = DispatchPlan {
            order: (query.phase_start..query.sub_requests.len()).collect(),
            unsent_weight: f64::INFINITY,
            slow,
            is_urgent: (query.soft_deadline - self.now) as f64 <= HEDGE_WITHIN * slow,
            hedge_share: if is_last {
                LAST_HEDGE_SHARE
            } else {
                HEDGE_SHARE
            },
            one_first: self.sends_one_first(query) && !query.is_in_flight(),
        };
        let complete_share = self.complete_share(query);
        if complete_share < 1.0 {
            // Those with the best holders are sent, and more as some are slow.
            let is_coming = |sub_request: &SubRequest| {
                let is_quick = |attempt: &Attempt| attempt.is_in_flight_within(self.now, slow);
                sub_request.succeeded || sub_request.attempts.iter().any(is_quick)
            };
            plan.unsent_weight = (complete_share + EXTRA_SHARE * (1.0 - complete_share))
                * query.phase_weight(|_| true)
                - query.phase_weight(is_coming);
            plan.order.sort_by_cached_key(|&sub_request_index| {
                self.best_score(query, &query.sub_requests[sub_request_index])
            });
        }
        plan
    }

    /// The best score of the holders of a sub-request's shard, in thousandths.
    fn best_score(&self, query: &Query, sub_request: &SubRequest) -> Option<u64> {
        self.shard_replicas(query, sub_request)
            .map(|replica| (SCORE_SCALE * self.replicas[replica].score) as u64)
            .min()
    }

    /// The last attempt is slow, little time is left, and the share of hedged requests has room for one more.
    fn may_hedge(&self, sub_request: &SubRequest, plan: &DispatchPlan) -> bool {
        let is_slow = |last: &Attempt| (self.now - last.sent_at) as f64 > plan.slow;
        let hedges = &self.fleet.hedges;
        sub_request.attempts.last().is_some_and(is_slow)
            && plan.is_urgent
            && hedges.sum < plan.hedge_share * hedges.weight + 1.0
    }

    /// As many attempts are in flight as may be, and one is as good as lost: it is cancelled so that another
    /// holder can be sent the sub-request.
    fn should_move(&self, query_index: usize, sub_request_index: usize, slow: f64) -> bool {
        let query = self.open_query(query_index);
        let sub_request = &query.sub_requests[sub_request_index];
        self.config.permissions.cancellation
            && sub_request.in_flight() > usize::from(self.config.permissions.hedging)
            && sub_request.attempts.iter().any(|a| self.is_lost(a, slow))
            && sub_request
                .attempts
                .iter()
                .all(|attempt| !attempt.moved || !attempt.is_in_flight())
            && self.shard_replicas(query, sub_request).any(|replica| {
                self.replicas[replica].outage.is_none()
                    && self.may_replace(query, sub_request, replica)
            })
    }

    /// Cancels the oldest attempt in flight; its sub-request is sent elsewhere once it has finished. That counts
    /// as a hedged request.
    fn cancel_to_move(
        &mut self,
        query_index: usize,
        sub_request_index: usize,
        sink: &mut impl DecisionSink,
    ) {
        let query = self.open_query_mut(query_index);
        let attempts = &mut query.sub_requests[sub_request_index].attempts;
        let oldest = attempts.iter().position(Attempt::is_in_flight);
        let oldest = oldest.expect("a sub-request is moved only while an attempt is in flight");
        attempts[oldest].moved = true;
        sink.cancel(query_index, sub_request_index, oldest);
        self.fleet.hedges.sum += 1.0;
    }
}
