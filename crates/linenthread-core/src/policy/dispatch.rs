//! Which sub-requests of a query are sent now: first attempts, retries, and hedged requests.

use super::Coordinator;
use super::query_of_death::CrashEvidence;
use super::windows::{CRASH_MEMORY, RECENT, WEIGHT_ROUNDING};
use crate::conversion::to_u64;
use crate::interface::{DecisionSink, QueryIndex, SubRequestIndex};
use crate::state::{Attempt, Query, SubRequest};

/// How many of the attempts may be hedged requests.
///
/// Unit: share of attempts (1 in 200). Reason: the attempt that loses is work in vain, and on most deployments
/// cancelling stops none of it.
const HEDGE_SHARE: f64 = 0.005;

/// The same for the last sub-request that a query lacks.
///
/// Unit: share of attempts (1 in 50). Reason: there one more response completes the query.
const LAST_HEDGE_SHARE: f64 = 0.02;

/// Requests are hedged once no more time than this is left before the soft deadline.
///
/// Unit: slow response times. Reason: a response that comes sooner than the deadline asks for earns nothing.
const HEDGE_WITHIN: f64 = 2.5;

/// Where a share of the sub-requests makes a complete response: how many of the others are sent at first.
///
/// Unit: share of the others' weight. Reason: some of those that are sent will be slow or fail.
const EXTRA_SHARE: f64 = 0.25;

/// The scale in which scores are compared when sub-requests are ordered.
///
/// Unit: 1 / score. Reason: integers can be sorted by, and scores closer than this are alike.
const SCORE_SCALE: f64 = 1_000.0;

/// What is to be sent of a query, and how hedging is limited. Times are in tenths of a millisecond.
struct DispatchPlan {
    /// The sub-requests in the order they are sent.
    order: Vec<SubRequestIndex>,
    /// The weight of first attempts that is still wanted; infinite where all are.
    unsent_weight: f64,
    /// A response time from which on attempts are slow.
    slow: f64,
    /// Little time is left before the soft deadline.
    is_urgent: bool,
    /// Share of attempts that may be hedged requests.
    max_hedge_share: f64,
    /// One sub-request is sent first, and the others when it lasts.
    one_first: bool,
}

impl DispatchPlan {
    /// Whether a response to a sub-request is wanted now. First attempts are wanted until their weight is reached.
    fn wants(&self, sub_request: &SubRequest) -> bool {
        let has_begun = !sub_request.attempts.is_empty();
        sub_request.is_needed() && (has_begun || self.unsent_weight > WEIGHT_ROUNDING / 2.0)
    }

    /// Counts the weight of a first attempt, also where no replica can take it now.
    fn count_first_attempt(&mut self, sub_request: &SubRequest) {
        if sub_request.attempts.is_empty() {
            self.unsent_weight -= sub_request.weight;
        }
    }
}

impl Coordinator {
    /// Sends what a query needs now: first attempts, retries of what failed, and hedged requests for what is slow.
    pub(super) fn send_missing(&mut self, query_index: QueryIndex, sink: &mut impl DecisionSink) {
        let now = self.now;
        self.fleet.hedge_share.decay(now, RECENT);
        self.fleet.crashes.decay(now, CRASH_MEMORY);
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
            if !plan.wants(sub_request) {
                continue;
            }
            plan.count_first_attempt(sub_request);
            let in_flight = sub_request.in_flight();
            let is_hedge_due = self.is_hedge_due(sub_request, &plan);
            if is_hedge_due && self.should_reissue(query_index, sub_request_index, slow) {
                self.cancel_to_reissue(query_index, sub_request_index, sink);
            } else if in_flight == 0 || in_flight == 1 && is_hedge_due {
                self.send_attempt(query_index, sub_request_index, sink);
                if plan.one_first {
                    return;
                }
            }
        }
    }

    /// Whether nothing of the query is sent now: it may make replicas crash, or its first sub-request has neither
    /// succeeded nor outlasted a slow response time yet.
    fn is_deferred(&self, query: &Query, slow: f64) -> bool {
        let mut attempts = query.sub_requests.iter().flat_map(|s| &s.attempts);
        self.may_be_query_of_death(query, CrashEvidence::Outage)
            || self.sends_one_first(query)
                && attempts.any(|attempt| attempt.is_in_flight_within(self.now, slow))
    }

    fn dispatch_plan(&self, query: &Query, slow: f64) -> DispatchPlan {
        let missing = query.present_phase().iter().filter(|s| !s.succeeded);
        let lacks_only_one = missing.count() <= 1;
        let mut plan = DispatchPlan {
            order: (query.phase_start..query.sub_requests.len())
                .map(SubRequestIndex)
                .collect(),
            unsent_weight: f64::INFINITY,
            slow,
            is_urgent: (query.soft_deadline - self.now) as f64 <= HEDGE_WITHIN * slow,
            max_hedge_share: if lacks_only_one {
                LAST_HEDGE_SHARE
            } else {
                HEDGE_SHARE
            },
            one_first: self.sends_one_first(query) && !query.is_in_flight(),
        };
        let complete_share = self.complete_share(query);
        if complete_share < 1.0 {
            // Those with the best replicas are sent first. What is slow no longer counts as coming, so others follow.
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

    /// The best score of the replicas of a sub-request's shard, in thousandths.
    fn best_score(&self, query: &Query, sub_request: &SubRequest) -> Option<u64> {
        self.shard_replicas(query, sub_request)
            .map(|replica| to_u64(SCORE_SCALE * self.replicas[replica].score))
            .min()
    }

    /// Whether the time for a hedged request has come: the last attempt is slow, little time is left, and the share of
    /// hedged requests has room for one more. Whether one is permitted at all is asked by `may_send`.
    fn is_hedge_due(&self, sub_request: &SubRequest, plan: &DispatchPlan) -> bool {
        let is_slow = |last: &Attempt| (self.now - last.sent_at) as f64 > plan.slow;
        sub_request.attempts.last().is_some_and(is_slow)
            && plan.is_urgent
            && self.has_room_for_hedge(plan.max_hedge_share)
    }

    /// Whether the share of hedged requests among all attempts stays below a limit with one more. A single one is
    /// always within it.
    fn has_room_for_hedge(&self, max_share: f64) -> bool {
        let share = &self.fleet.hedge_share;
        share.hedges() < max_share * share.attempts() + 1.0
    }

    /// Whether an attempt in flight is to be cancelled so that the sub-request can go to another replica: one has
    /// stalled, no further one may be in flight beside it, and none has been cancelled for this already.
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
                    && self.may_replace(query, sub_request, replica)
            })
    }

    /// Cancels the oldest attempt in flight; its sub-request is sent to another replica once that attempt has ended.
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
        self.fleet.hedge_share.add_reissue();
    }
}
