//! Decides when a query is responded to, rejected or failed, and when it is released.

use super::Coordinator;
use super::query_of_death::CrashEvidence;
use super::windows::WEIGHT_ROUNDING;
use crate::conversion::to_tenth_millis;
use crate::interface::{
    AbandonCause, Completeness, DecisionSink, Idempotency, QueryIndex, SubRequestIndex, TenthMillis,
};
use crate::state::{Query, QueryStage, SubRequest};

/// The time reserved for the fetch phase when the first response is given.
///
/// Unit: slow response times. Reason: the fetch phase has to end by the soft deadline.
const FETCH_PHASE_TIME: f64 = 1.4;

/// Reports whether a share reaches a required share, within the rounding of weights.
fn reaches(share: f64, required: f64) -> bool {
    share >= required - WEIGHT_ROUNDING / 2.0
}

/// The progress of a query's current phase.
struct Progress {
    /// When the query is abandoned.
    abandon_at: TenthMillis,
    /// Minimum share of the weight for a complete response.
    complete_share: f64,
    /// Minimum share of the weight for any response.
    min_share: f64,
    /// The share of the weight that has succeeded.
    succeeded_share: f64,
    /// The share of the weight that further attempts cannot obtain: see [`Coordinator::is_unanswerable`].
    unanswerable_share: f64,
}

impl Progress {
    fn is_complete(&self) -> bool {
        reaches(self.succeeded_share, self.complete_share)
    }

    fn can_become_complete(&self) -> bool {
        reaches(1.0 - self.unanswerable_share, self.complete_share)
    }

    fn can_reach_min(&self) -> bool {
        reaches(1.0 - self.unanswerable_share, self.min_share)
    }
}

impl Coordinator {
    /// Advances one open query: responds to it, abandons it, or sends what it still needs.
    ///
    /// The order matters: a query with enough responses is responded to even after its deadline, and admission is
    /// checked only for queries that can be answered at all.
    pub(super) fn resolve(&mut self, query_index: QueryIndex, sink: &mut impl DecisionSink) {
        if self.probe_before_first_attempts(query_index, sink) {
            return;
        }
        let now = self.now;
        // A phase without sub-requests waits for them to arrive.
        let is_open = |query: &&Query| {
            !query.is_finished()
                && (!query.current_phase().is_empty() || now >= query.hard_deadline)
        };
        let Some(query) = self.queries[query_index].as_ref().filter(is_open) else {
            return;
        };
        let progress = self.progress(query);
        if self.should_respond(query, &progress) {
            return self.respond(query_index, &progress, sink);
        }
        if let Some(cause) = self.abandon_cause(query_index, &progress) {
            return self.abandon(query_index, cause, sink);
        }
        self.open_query_mut(query_index).stage = QueryStage::Admitted;
        self.send_missing(query_index, sink);
    }

    /// Returns the share of the current phase's weight that a complete response requires; the fetch phase requires all.
    pub(super) fn complete_share(&self, query: &Query) -> f64 {
        if query.is_fetching() {
            1.0
        } else {
            self.index_config(query).complete_share
        }
    }

    fn progress(&self, query: &Query) -> Progress {
        let index = self.index_config(query);
        let total = query.phase_weight(|_| true).max(WEIGHT_ROUNDING);
        // If the search index allows partial responses, the fetch phase may be incomplete, too.
        let allows_partial_fetch = index.min_share < index.complete_share;
        Progress {
            abandon_at: self.abandon_at(query),
            complete_share: self.complete_share(query),
            min_share: if query.is_fetching() && !allows_partial_fetch {
                1.0
            } else {
                index.min_share
            },
            succeeded_share: query.phase_weight(|s| s.succeeded) / total,
            unanswerable_share: query.phase_weight(|s| self.is_unanswerable(query, s)) / total,
        }
    }

    /// Reports whether further attempts cannot obtain a response to this sub-request: it may not run again, has no
    /// attempts left, or none of its shard's replicas can be reached in time.
    ///
    /// An exhausted retry budget is not a reason, because its window moves on: a sub-request that it blocks now may be
    /// sent later. The query waits for it and is abandoned with [`AbandonCause::DeadlineExceeded`] or
    /// [`AbandonCause::ShuttingDown`] if it is never sent.
    fn is_unanswerable(&self, query: &Query, sub_request: &SubRequest) -> bool {
        !sub_request.succeeded
            && sub_request.in_flight() == 0
            && (!self.may_run_again(query, sub_request)
                || sub_request.attempts.len() >= self.config.permissions.max_attempts
                || self
                    .shard_replicas(query, sub_request)
                    .all(|replica| self.is_unreachable_in_time(query, sub_request, replica)))
    }

    /// Reports whether to respond now. A complete response is given immediately; a partial one when it can no longer
    /// become complete, or when waiting longer lowers its value.
    fn should_respond(&self, query: &Query, progress: &Progress) -> bool {
        let index = self.index_config(query);
        let partial_value =
            index.partial_value * progress.succeeded_share / progress.complete_share;
        let prefers_partial = partial_value > index.late_value_share;
        // A response before the fetch phase is late if the fetch phase would end late.
        let fetch_phase_follows = index.fetch_sub_requests > 0 && !query.is_fetching();
        let fetch_time = if fetch_phase_follows {
            FETCH_PHASE_TIME
        } else {
            0.0
        };
        let ready_at = self.now + to_tenth_millis(fetch_time * self.slow_latency());
        let is_late =
            ready_at >= progress.abandon_at || ready_at >= query.soft_deadline && prefers_partial;
        progress.is_complete()
            || reaches(progress.succeeded_share, progress.min_share)
                && (is_late || !progress.can_become_complete())
    }

    /// Responds, unless a continuation is in flight, which is awaited until the soft deadline. A continuation that
    /// cannot be sent now, for lack of attempts, budget or replicas, is not awaited.
    fn respond(
        &mut self,
        query_index: QueryIndex,
        progress: &Progress,
        sink: &mut impl DecisionSink,
    ) {
        let query = self.open_query(query_index);
        let first_was_complete = query.first_response != Some(Completeness::Partial);
        let completeness = if progress.is_complete() && first_was_complete {
            Completeness::Complete
        } else {
            Completeness::Partial
        };
        let has_fetch_phase = self.index_config(query).fetch_sub_requests > 0;
        let is_final = query.first_response.is_some() || !has_fetch_phase;
        if query.is_continued() && self.now < progress.abandon_at.min(query.soft_deadline) {
            self.send_missing(query_index, sink);
            if self.awaits_continuation(query_index) {
                return;
            }
        }
        sink.respond(query_index, completeness);
        self.cancel_all(query_index, sink);
        let query = self.open_query_mut(query_index);
        if is_final {
            query.stage = QueryStage::Finished;
        }
        query.first_response = Some(completeness);
        query.phase_start = query.sub_requests.len();
    }

    fn awaits_continuation(&self, query_index: QueryIndex) -> bool {
        let is_awaited = |s: &SubRequest| s.continued_from.is_some() && s.in_flight() > 0;
        let query = self.open_query(query_index);
        query.sub_requests.iter().any(is_awaited)
    }

    /// Returns why a query without a response is abandoned, or `None` if it is not.
    fn abandon_cause(
        &mut self,
        query_index: QueryIndex,
        progress: &Progress,
    ) -> Option<AbandonCause> {
        let query = self.open_query(query_index);
        let is_query_of_death = || self.may_be_query_of_death(query, CrashEvidence::Proven);
        if self.now >= progress.abandon_at {
            Some(if self.ends_by_shutdown(query) {
                AbandonCause::ShuttingDown
            } else {
                AbandonCause::DeadlineExceeded
            })
        } else if is_query_of_death() && !query.is_in_flight() {
            Some(AbandonCause::QueryOfDeath)
        } else if !progress.can_reach_min() {
            Some(AbandonCause::Unanswerable)
        } else if query.stage == QueryStage::Admitted {
            None
        } else {
            self.admission_rejection(query_index)
        }
    }

    /// Ends a query without a response. The query is rejected if sending it again is harmless, because its search
    /// index is idempotent or no attempt ran. Otherwise it fails, which makes no such promise.
    fn abandon(
        &mut self,
        query_index: QueryIndex,
        cause: AbandonCause,
        sink: &mut impl DecisionSink,
    ) {
        sink.report_abandon_cause(query_index, cause);
        let query = self.open_query(query_index);
        let is_idempotent = self.index_config(query).idempotency == Idempotency::Idempotent;
        if is_idempotent || query.sub_requests.iter().all(SubRequest::never_ran) {
            let retry_after = self.random_retry_after();
            sink.reject(query_index, retry_after);
        } else {
            sink.fail(query_index);
        }
        self.cancel_all(query_index, sink);
        self.open_query_mut(query_index).stage = QueryStage::Finished;
    }

    /// Returns a random retry delay of about one slow response time; `None` if clients receive no such advice.
    fn random_retry_after(&mut self) -> Option<TenthMillis> {
        let slow = to_tenth_millis(self.slow_latency());
        let wait = slow / 2 + self.random_time(slow.max(1));
        let max_retry_after = self.config.permissions.max_retry_after;
        max_retry_after.map(|max| wait.min(max))
    }

    fn cancel_all(&self, query_index: QueryIndex, sink: &mut impl DecisionSink) {
        if !self.config.permissions.cancellation {
            return;
        }
        let sub_requests = &self.open_query(query_index).sub_requests;
        for (number, sub_request) in sub_requests.iter().enumerate() {
            sub_request.cancel(query_index, SubRequestIndex(number), sink);
        }
    }

    /// Releases queries that have ended and have no attempts in flight.
    pub(super) fn release_finished(&mut self, sink: &mut impl DecisionSink) {
        let queries = &mut self.queries;
        self.open_queries.retain(|&query_index| {
            let is_done = queries[query_index]
                .as_ref()
                .is_none_or(|query| query.is_finished() && !query.is_in_flight());
            if is_done {
                queries[query_index] = None;
                sink.release(query_index);
            }
            !is_done
        });
    }
}
