//! The decisions that the decision module makes in one step.

use linenthread_core::DecisionSink;
use linenthread_core::interface::{
    Completeness, QueryIndex, ReplicaIndex, SubRequestIndex, TenthMillis,
};

/// An attempt of a sub-request. `number` counts the attempts of the sub-request from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Attempt {
    pub(super) query: QueryIndex,
    pub(super) sub_request: SubRequestIndex,
    pub(super) number: usize,
}

/// A decision of the coordinator on a query.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Decision {
    Send(Attempt),
    Respond {
        query: QueryIndex,
        completeness: Completeness,
    },
    Reject(QueryIndex),
    Fail(QueryIndex),
    Release(QueryIndex),
}

/// An attempt sent to a replica.
pub(super) struct SentAttempt {
    pub(super) attempt: Attempt,
    pub(super) replica: ReplicaIndex,
    pub(super) timeout: TenthMillis,
}

/// Records the decisions of one step. Sent attempts have the number 0 here, since the decision module doesn't number
/// them.
#[derive(Default)]
pub(super) struct DecisionLog {
    pub(super) decisions: Vec<Decision>,
    pub(super) sent: Vec<SentAttempt>,
    pub(super) cancelled: Vec<Attempt>,
    pub(super) health_checks: Vec<ReplicaIndex>,
    pub(super) wake_at: Option<TenthMillis>,
}

impl DecisionSink for DecisionLog {
    fn send(
        &mut self,
        query: QueryIndex,
        sub_request: SubRequestIndex,
        replica: ReplicaIndex,
        timeout: TenthMillis,
    ) {
        let attempt = Attempt {
            query,
            sub_request,
            number: 0,
        };
        self.sent.push(SentAttempt {
            attempt,
            replica,
            timeout,
        });
        self.decisions.push(Decision::Send(attempt));
    }

    fn cancel(&mut self, query: QueryIndex, sub_request: SubRequestIndex, number: usize) {
        self.cancelled.push(Attempt {
            query,
            sub_request,
            number,
        });
    }

    fn respond(&mut self, query: QueryIndex, completeness: Completeness) {
        self.decisions.push(Decision::Respond {
            query,
            completeness,
        });
    }

    fn reject(&mut self, query: QueryIndex, _: Option<TenthMillis>) {
        self.decisions.push(Decision::Reject(query));
    }

    fn fail(&mut self, query: QueryIndex) {
        self.decisions.push(Decision::Fail(query));
    }

    fn release(&mut self, query: QueryIndex) {
        self.decisions.push(Decision::Release(query));
    }

    fn close_idle(&mut self, _: ReplicaIndex) {}

    fn probe(&mut self, replica: ReplicaIndex) {
        self.health_checks.push(replica);
    }

    fn watch_membership(&mut self) {}

    fn wake_at(&mut self, at: TenthMillis) {
        self.wake_at = Some(at);
    }
}
