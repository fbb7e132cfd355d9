//! The decisions that a coordinator's decision module makes in one step.

use linenthread_core::DecisionSink;
use linenthread_core::interface::{
    Completeness, QueryIndex, ReplicaIndex, SubRequestIndex, TenthMillis,
};

/// The decisions of one step.
#[derive(Default)]
pub(super) struct Decisions {
    pub(super) attempts: Vec<SendAttempt>,
    pub(super) responded: Vec<QueryIndex>,
    pub(super) released: Vec<QueryIndex>,
    pub(super) cancelled: Vec<CancelAttempt>,
    pub(super) health_checks: Vec<usize>,
    pub(super) wake_at: Option<TenthMillis>,
}

/// A request to send an attempt.
pub(super) struct SendAttempt {
    pub(super) query: QueryIndex,
    pub(super) sub_request: SubRequestIndex,
    pub(super) replica: usize,
    pub(super) timeout: TenthMillis,
}

/// A request to cancel an attempt. `number` counts the attempts of its sub-request from 0.
pub(super) struct CancelAttempt {
    pub(super) query: QueryIndex,
    pub(super) sub_request: SubRequestIndex,
    pub(super) number: usize,
}

impl DecisionSink for Decisions {
    fn send(
        &mut self,
        query: QueryIndex,
        sub_request: SubRequestIndex,
        replica: ReplicaIndex,
        timeout: TenthMillis,
    ) {
        self.attempts.push(SendAttempt {
            query,
            sub_request,
            replica: replica.0,
            timeout,
        });
    }

    fn cancel(&mut self, query: QueryIndex, sub_request: SubRequestIndex, number: usize) {
        self.cancelled.push(CancelAttempt {
            query,
            sub_request,
            number,
        });
    }

    fn respond(&mut self, query: QueryIndex, _: Completeness) {
        self.responded.push(query);
    }

    fn reject(&mut self, _: QueryIndex, _: Option<TenthMillis>) {}

    fn fail(&mut self, _: QueryIndex) {}

    fn release(&mut self, query: QueryIndex) {
        self.released.push(query);
    }

    fn close_idle(&mut self, _: ReplicaIndex) {}

    fn probe(&mut self, replica: ReplicaIndex) {
        self.health_checks.push(replica.0);
    }

    fn watch_membership(&mut self) {}

    fn wake_at(&mut self, at: TenthMillis) {
        self.wake_at = Some(at);
    }
}
