//! Whether an attempt may be sent at all. Every attempt passes [`Coordinator::may_send`], and nothing else
//! holds the rules.

use super::Coordinator;
use super::resolution::gives_up_at;
use crate::interface::{Idempotency, TenthMillis};
use crate::state::{Outage, Query, SubRequest};

/// After an outage of this length, in tenths of a millisecond, attempts may try a replica that no probe has
/// reached: it may fail probes only.
pub(super) const OUTAGE_TRIAL: TenthMillis = 30_000;

impl Coordinator {
    /// Whether an attempt may be sent to a replica.
    pub(super) fn may_send(&self, query: &Query, sub_request: &SubRequest, replica: usize) -> bool {
        sub_request.in_flight() <= usize::from(self.config.permissions.hedging)
            && self.may_replace(query, sub_request, replica)
    }

    /// Whether an attempt may be sent to a replica once another attempt in flight has been cancelled.
    pub(super) fn may_replace(
        &self,
        query: &Query,
        sub_request: &SubRequest,
        replica: usize,
    ) -> bool {
        self.may_run_again(query, sub_request)
            && !query.finished
            && sub_request.is_needed()
            && self.is_member(replica)
            && sub_request.attempts.len() < self.config.permissions.max_attempts
            && sub_request
                .attempts
                .iter()
                .all(|attempt| !attempt.is_in_flight() || attempt.replica != replica)
            && self.has_slow_start_budget(replica)
            && (sub_request.attempts.is_empty() || self.has_retry_budget())
            && !self.is_out_of_reach(query, sub_request, replica)
    }

    fn is_member(&self, replica: usize) -> bool {
        let replica = &self.replicas[replica];
        replica.is_ready() || replica.is_last_resort(self.now)
    }

    /// The replica is down up to the query's end; or the sub-request's next attempt is a further one that would
    /// come too late.
    pub(super) fn is_out_of_reach(
        &self,
        query: &Query,
        sub_request: &SubRequest,
        replica_index: usize,
    ) -> bool {
        let replica = &self.replicas[replica_index];
        let end = gives_up_at(query, self.index_of(query));
        let checked_at = if self.config.permissions.health_probes {
            end
        } else {
            self.now
        };
        replica.outage.is_some() && !self.is_up(replica_index, checked_at)
            || !sub_request.attempts.is_empty()
                && replica.expected_latency > (end - self.now) as f64
    }

    /// Attempts may be sent to the replica at some time: it is up, or has been down for so long that an attempt
    /// may try it. Where no probes are permitted attempts do, one at a time, soon and then less and less often.
    pub(super) fn is_up(&self, replica_index: usize, at: TenthMillis) -> bool {
        let replica = &self.replicas[replica_index];
        let may_be_tried = |outage: Outage| {
            if self.config.permissions.health_probes {
                at > outage.since + OUTAGE_TRIAL
            } else {
                at >= outage.retry_at && replica.in_flight == 0
            }
        };
        replica.outage.is_none_or(may_be_tried)
    }

    /// Whether the idempotency of its index lets a sub-request be sent, after what became of its attempts.
    pub(super) fn may_run_again(&self, query: &Query, sub_request: &SubRequest) -> bool {
        match self.index_of(query).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated(window) => sub_request
                .may_have_run_since()
                .is_none_or(|first| self.now <= first + window),
            Idempotency::AtMostOnce => sub_request.never_ran(),
        }
    }
}
