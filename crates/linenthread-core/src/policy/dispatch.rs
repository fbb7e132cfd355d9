//! Selects the sub-requests of a query to send now: first attempts, retries and hedged requests.

use super::Coordinator;
use super::query_of_death::CrashEvidence;
use super::windows::{CRASH_TIME_CONSTANT, SHORT_TIME_CONSTANT, WEIGHT_ROUNDING};
use crate::conversion::to_u64;
use crate::interface::{DecisionSink, QueryIndex, SubRequestIndex};
use crate::state::{Attempt, Query, SubRequest};

/// The maximum share of hedged requests among all attempts.
///
/// Unit: share of attempts (1 in 200). Reason: the losing attempt is wasted work, and on most deployments cancellation
/// saves none of it.
const HEDGE_SHARE: f64 = 0.005;

/// The same limit for the last missing sub-request of a query.
///
/// Unit: share of attempts (1 in 50). Reason: one more response completes the query.
const LAST_HEDGE_SHARE: f64 = 0.02;

/// The time before the soft deadline from which requests are hedged.
///
/// Unit: slow response times. Reason: a response earlier than the deadline requires gains nothing.
const HEDGE_WINDOW: f64 = 2.5;

/// Where a share of the sub-requests makes a complete response: the part of the remaining ones that is also sent at
/// first.
///
/// Unit: share of the remaining weight. Reason: some of the attempts sent will be slow or fail.
const EXTRA_SHARE: f64 = 0.25;

/// The scale at which scores are compared to order sub-requests.
///
/// Unit: 1 / score. Reason: integers can be sorted, and scores that differ by less are equivalent.
const SCORE_SCALE: f64 = 1_000.0;

/// The sub-requests of a query to send, and the limits on hedging. Times are in tenths of a millisecond.
struct DispatchPlan {
    /// The sub-requests in sending order.
    order: Vec<SubRequestIndex>,
    /// The weight of first attempts still to be sent; infinite if all are to be sent.
    unsent_weight: f64,
    /// The response time from which attempts are slow.
    slow: f64,
    /// Whether little time is left before the soft deadline.
    is_urgent: bool,
    /// The maximum share of hedged requests among all attempts.
    max_hedge_share: f64,
    /// Whether a single sub-request is sent first, as a canary, and the others once it has succeeded or is slow.
    canary_first: bool,
}

impl DispatchPlan {
    /// Reports whether a response to a sub-request is needed now. Sub-requests without an attempt are needed until
    /// enough weight has been sent.
    fn needs_response_now(&self, sub_request: &SubRequest) -> bool {
        let was_attempted = !sub_request.attempts.is_empty();
        sub_request.is_needed() && (was_attempted || self.unsent_weight > WEIGHT_ROUNDING / 2.0)
    }

    /// Subtracts the weight of a first attempt, even if no replica can take the attempt now.
    fn count_first_attempt(&mut self, sub_request: &SubRequest) {
        if sub_request.attempts.is_empty() {
            self.unsent_weight -= sub_request.weight;
        }
    }
}

impl Coordinator {
    /// Sends the attempts that a query needs now: first attempts, retries of failed attempts, and hedged requests for
    /// slow ones.
    pub(super) fn send_missing(&mut self, query_index: QueryIndex, sink: &mut impl DecisionSink) {
        let now = self.now;
        self.fleet.hedge_share.decay(now, SHORT_TIME_CONSTANT);
        self.fleet.crashes.decay(now, CRASH_TIME_CONSTANT);
        let Some(Some(query)) = self.queries.get(query_index.0) else {
            return;
        };
        let slow = self.slow_latency();
        if self.is_deferred(query, slow) {
            return;
        }
        let mut plan = self.dispatch_plan(query, slow);
        for sub_request_index in std::mem::take(&mut plan.order) {
            let sub_request = &self.open_query(query_index).sub_requests[sub_request_index];
            if !plan.needs_response_now(sub_request) {
                continue;
            }
            plan.count_first_attempt(sub_request);
            let in_flight = sub_request.in_flight();
            let is_hedge_due = self.is_hedge_due(sub_request, &plan);
            if is_hedge_due && self.should_reissue(query_index, sub_request_index, slow) {
                self.cancel_to_reissue(query_index, sub_request_index, sink);
            } else if in_flight == 0 || in_flight == 1 && is_hedge_due {
                self.send_attempt(query_index, sub_request_index, sink);
                if plan.canary_first {
                    return;
                }
            }
        }
    }

    /// Reports whether sending is deferred, either because the query may be crashing replicas, or because its canary
    /// has neither succeeded nor exceeded a slow response time yet.
    fn is_deferred(&self, query: &Query, slow: f64) -> bool {
        let mut attempts = query.sub_requests.iter().flat_map(|s| &s.attempts);
        self.may_be_query_of_death(query, CrashEvidence::Outage)
            || self.sends_canary_first(query)
                && attempts.any(|attempt| attempt.is_in_flight_within(self.now, slow))
    }

    fn dispatch_plan(&self, query: &Query, slow: f64) -> DispatchPlan {
        let missing = query.current_phase().iter().filter(|s| !s.succeeded);
        let at_most_one_missing = missing.count() <= 1;
        let mut plan = DispatchPlan {
            order: (query.phase_start..query.sub_requests.len())
                .map(SubRequestIndex)
                .collect(),
            unsent_weight: f64::INFINITY,
            slow,
            is_urgent: (query.soft_deadline - self.now) as f64 <= HEDGE_WINDOW * slow,
            max_hedge_share: if at_most_one_missing {
                LAST_HEDGE_SHARE
            } else {
                HEDGE_SHARE
            },
            canary_first: self.sends_canary_first(query) && !query.is_in_flight(),
        };
        let complete_share = self.complete_share(query);
        if complete_share < 1.0 {
            // Sub-requests with the best replicas are sent first. Slow attempts no longer count as expected responses,
            // so more sub-requests are sent in their place.
            let is_expected_response = |sub_request: &SubRequest| {
                let is_not_slow = |attempt: &Attempt| attempt.is_in_flight_within(self.now, slow);
                sub_request.succeeded || sub_request.attempts.iter().any(is_not_slow)
            };
            plan.unsent_weight = (complete_share + EXTRA_SHARE * (1.0 - complete_share))
                * query.phase_weight(|_| true)
                - query.phase_weight(is_expected_response);
            plan.order.sort_by_cached_key(|&sub_request_index| {
                self.best_score(query, &query.sub_requests[sub_request_index])
            });
        }
        plan
    }

    /// Returns the best score among the replicas of a sub-request's shard, in thousandths.
    fn best_score(&self, query: &Query, sub_request: &SubRequest) -> Option<u64> {
        self.shard_replicas(query, sub_request)
            .map(|replica| to_u64(SCORE_SCALE * self.replicas[replica].score))
            .min()
    }

    /// Reports whether a hedged request is due: the last attempt is slow, little time is left, and the share of hedged
    /// requests permits one more. `may_send` checks whether hedging is permitted at all.
    fn is_hedge_due(&self, sub_request: &SubRequest, plan: &DispatchPlan) -> bool {
        let is_slow = |last: &Attempt| (self.now - last.sent_at) as f64 > plan.slow;
        sub_request.attempts.last().is_some_and(is_slow)
            && plan.is_urgent
            && self.permits_hedge(plan.max_hedge_share)
    }

    /// Reports whether the share of hedged requests among all attempts permits one more. A single hedged request is
    /// always permitted.
    fn permits_hedge(&self, max_share: f64) -> bool {
        let share = &self.fleet.hedge_share;
        share.hedges() < max_share * share.attempts() + 1.0
    }

    /// Reports whether to cancel an attempt in flight so that the sub-request can go to another replica: an attempt has
    /// stalled, no further attempt may be in flight at the same time, and no cancellation for this purpose is pending.
    fn should_reissue(
        &self,
        query_index: QueryIndex,
        sub_request_index: SubRequestIndex,
        slow: f64,
    ) -> bool {
        let query = self.open_query(query_index);
        let sub_request = &query.sub_requests[sub_request_index];
        self.config.permissions.cancellation
            && sub_request.in_flight() > usize::from(self.config.permissions.hedging)
            && sub_request
                .attempts
                .iter()
                .any(|a| self.is_stalled(a, slow))
            && sub_request
                .attempts
                .iter()
                .all(|attempt| !attempt.reissued || !attempt.is_in_flight())
            && self.shard_replicas(query, sub_request).any(|replica| {
                self.replicas[replica].outage.is_none()
                    && self.may_send_after_cancellation(query, sub_request, replica)
            })
    }

    /// Cancels the oldest attempt in flight; the sub-request is sent to another replica once that attempt has ended.
    /// This counts as a hedged request.
    fn cancel_to_reissue(
        &mut self,
        query_index: QueryIndex,
        sub_request_index: SubRequestIndex,
        sink: &mut impl DecisionSink,
    ) {
        let query = self.open_query_mut(query_index);
        let attempts = &mut query.sub_requests[sub_request_index].attempts;
        let oldest = attempts.iter().position(Attempt::is_in_flight);
        let oldest = oldest.expect("a sub-request is reissued only while an attempt is in flight");
        attempts[oldest].reissued = true;
        sink.cancel(query_index, sub_request_index, oldest);
        self.fleet.hedge_share.record_reissue();
    }
}
