//! Decides whether an attempt may be sent at all. Every attempt must pass [`Coordinator::may_send`]; the rules exist
//! only here.

use super::Coordinator;
use crate::interface::{Idempotency, ReplicaIndex, TenthMillis};
use crate::state::{Outage, Query, SubRequest};

/// The length of an outage after which attempts may be sent to a replica that no probe has reached.
///
/// Unit: 0.1 ms (3 s). Reason: the replica may fail only probes.
pub(super) const OUTAGE_TRIAL_DELAY: TenthMillis = 30_000;

impl Coordinator {
    /// Reports whether an attempt may be sent to a replica.
    pub(super) fn may_send(
        &self,
        query: &Query,
        sub_request: &SubRequest,
        replica: ReplicaIndex,
    ) -> bool {
        sub_request.in_flight() <= usize::from(self.config.permissions.hedging)
            && self.may_send_after_cancellation(query, sub_request, replica)
    }

    /// Reports whether an attempt may be sent to a replica once another attempt in flight has been cancelled.
    pub(super) fn may_send_after_cancellation(
        &self,
        query: &Query,
        sub_request: &SubRequest,
        replica: ReplicaIndex,
    ) -> bool {
        self.may_run_again(query, sub_request)
            && !query.is_finished()
            && sub_request.is_needed()
            && self.is_member(replica)
            && sub_request.attempts.len() < self.config.permissions.max_attempts
            && !sub_request.is_in_flight_at(replica)
            && self.has_slow_start_budget(replica)
            && (sub_request.attempts.is_empty() || self.has_retry_budget())
            && !self.is_unreachable_in_time(query, sub_request, replica)
    }

    fn is_member(&self, replica: ReplicaIndex) -> bool {
        let replica = &self.replicas[replica];
        replica.is_ready() || replica.is_last_resort(self.now)
    }

    /// Reports whether sending the sub-request to the replica would be useless: either the replica stays down until the
    /// query is abandoned, or the attempt is a retry whose response is expected after that time.
    pub(super) fn is_unreachable_in_time(
        &self,
        query: &Query,
        sub_request: &SubRequest,
        replica_index: ReplicaIndex,
    ) -> bool {
        let replica = &self.replicas[replica_index];
        let abandon_at = self.abandon_at(query);
        // With probes, a trial attempt may be sent to a replica whose outage has lasted long enough, even if no probe
        // has reached it, and that may happen before the query is abandoned. Without probes, only an attempt can detect
        // that a replica has recovered, so waiting reveals nothing and only the replica's current state counts.
        let checked_at = if self.config.permissions.health_probes {
            abandon_at
        } else {
            self.now
        };
        let stays_down = replica.outage.is_some() && !self.is_up(replica_index, checked_at);
        let is_retry = !sub_request.attempts.is_empty();
        stays_down || is_retry && replica.expected_latency > (abandon_at - self.now) as f64
    }

    /// Reports whether attempts may be sent to the replica at a given time: it is up, or its outage has lasted long
    /// enough for a trial attempt. Where probes are not permitted, trial attempts are sent one at a time, at increasing
    /// intervals.
    pub(super) fn is_up(&self, replica_index: ReplicaIndex, at: TenthMillis) -> bool {
        let replica = &self.replicas[replica_index];
        let allows_trial = |outage: Outage| {
            if self.config.permissions.health_probes {
                at > outage.started_at + OUTAGE_TRIAL_DELAY
            } else {
                at >= outage.retry_at && replica.in_flight == 0
            }
        };
        replica.outage.is_none_or(allows_trial)
    }

    /// Reports whether the idempotency of the search index permits another attempt, given the outcomes of earlier ones.
    pub(super) fn may_run_again(&self, query: &Query, sub_request: &SubRequest) -> bool {
        match self.index_config(query).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated(window) => sub_request
                .may_have_run_since()
                .is_none_or(|first| self.now <= first + window),
            Idempotency::AtMostOnce => sub_request.never_ran(),
        }
    }
}
