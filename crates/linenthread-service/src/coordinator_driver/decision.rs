//! Dispatches the decisions of one step.

use linenthread_core::DecisionSink;
use linenthread_core::interface::{
    Completeness, QueryIndex, ReplicaIndex, SubRequestIndex, TenthMillis,
};
use tokio::sync::Notify;

use super::membership::Membership;
use super::query_decision::QueryDecision;
use super::query_table::QueryTable;
use crate::transports::Transports;

/// Dispatches the decisions of one step: those on a query to the query's task, the others to the transports and to
/// parts of the driver.
pub(super) struct StepDecisions<'a> {
    pub(super) transports: &'a Transports,
    pub(super) membership_requested: &'a Notify,
    pub(super) queries: &'a mut QueryTable,
    pub(super) membership: &'a mut Membership,
    pub(super) wake_at: &'a mut Option<TenthMillis>,
    /// Replicas to be probed after the step.
    pub(super) probes: Vec<ReplicaIndex>,
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
        self.queries.send_decision(query, decision);
    }

    fn cancel(&mut self, query: QueryIndex, sub_request: SubRequestIndex, attempt: usize) {
        let decision = QueryDecision::Cancel {
            sub_request,
            attempt,
        };
        self.queries.send_decision(query, decision);
    }

    fn respond(&mut self, query: QueryIndex, completeness: Completeness) {
        self.queries
            .send_decision(query, QueryDecision::Respond { completeness });
    }

    fn reject(&mut self, query: QueryIndex, retry_after: Option<TenthMillis>) {
        self.queries
            .send_decision(query, QueryDecision::Reject { retry_after });
    }

    fn fail(&mut self, query: QueryIndex) {
        self.queries.send_decision(query, QueryDecision::Fail);
    }

    fn release(&mut self, query: QueryIndex) {
        self.queries.release(query);
    }

    fn probe(&mut self, replica: ReplicaIndex) {
        self.membership.replicas.start_probe(replica);
        self.probes.push(replica);
    }

    fn close_idle(&mut self, replica: ReplicaIndex) {
        self.transports.close_idle(replica);
    }

    fn watch_membership(&mut self) {
        self.membership_requested.notify_one();
    }

    fn wake_at(&mut self, at: TenthMillis) {
        *self.wake_at = Some(at);
    }
}
