//! The coordinator's decisions on queries, and what passes on those of one step.

use linenthread_core::DecisionSink;
use linenthread_core::interface::{
    Completeness, QueryIndex, ReplicaIndex, SubRequestIndex, TenthMillis,
};

use super::CoordinatorDriver;
use super::membership::Membership;
use super::query_table::QueryTable;

/// A decision on one query.
#[derive(Clone, Copy, Debug)]
pub(crate) enum QueryDecision {
    /// Make the next attempt at a sub-request.
    Send {
        sub_request: SubRequestIndex,
        replica: ReplicaIndex,
        timeout: TenthMillis,
    },
    /// Cancel an attempt.
    Cancel {
        sub_request: SubRequestIndex,
        attempt: usize,
    },
    /// Answer with what has arrived.
    Respond { completeness: Completeness },
    /// Reject the query; it may be retried, after this time where it is given.
    Reject { retry_after: Option<TenthMillis> },
    /// Answer that the query has failed.
    Fail,
}

/// Passes on the decisions of one step: those on a query to its task, the others to the driver's own parts.
pub(super) struct StepDecisions<'a> {
    pub(super) driver: &'a CoordinatorDriver,
    pub(super) queries: &'a mut QueryTable,
    pub(super) membership: &'a mut Membership,
    pub(super) wake_at: &'a mut Option<TenthMillis>,
}

impl DecisionSink for StepDecisions<'_> {
    fn send(
        &mut self,
        query: QueryIndex,
        sub_request: SubRequestIndex,
        replica: ReplicaIndex,
        timeout: TenthMillis,
    ) {
        let decision = QueryDecision::Send {
            sub_request,
            replica,
            timeout,
        };
        self.queries.pass_on(query, decision);
    }

    fn cancel(&mut self, query: QueryIndex, sub_request: SubRequestIndex, attempt: usize) {
        let decision = QueryDecision::Cancel {
            sub_request,
            attempt,
        };
        self.queries.pass_on(query, decision);
    }

    fn respond(&mut self, query: QueryIndex, completeness: Completeness) {
        self.queries
            .pass_on(query, QueryDecision::Respond { completeness });
    }

    fn reject(&mut self, query: QueryIndex, retry_after: Option<TenthMillis>) {
        self.queries
            .pass_on(query, QueryDecision::Reject { retry_after });
    }

    fn fail(&mut self, query: QueryIndex) {
        self.queries.pass_on(query, QueryDecision::Fail);
    }

    fn release(&mut self, query: QueryIndex) {
        self.queries.release(query);
    }

    fn probe(&mut self, replica: ReplicaIndex) {
        self.membership.replicas.start_probe(replica);
        actix_rt::spawn(self.driver.clone().probe(replica));
    }

    fn close_idle(&mut self, replica: ReplicaIndex) {
        self.driver.0.transports.close_idle(replica);
    }

    fn watch_membership(&mut self) {
        self.driver.0.membership_requested.notify_one();
    }

    fn wake_at(&mut self, at: TenthMillis) {
        *self.wake_at = Some(at);
    }
}
