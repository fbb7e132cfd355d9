//! What the decision module decides in one step.

use linenthread_core::DecisionSink;
use linenthread_core::interface::{
    Completeness, QueryIndex, ReplicaIndex, SubRequestIndex, TenthMillis,
};

/// A decision of the coordinator on one query.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Decision {
    Send {
        query: usize,
        sub_request: usize,
        attempt: usize,
    },
    Respond {
        query: usize,
        complete: bool,
    },
    Reject {
        query: usize,
    },
    Fail {
        query: usize,
    },
    Release {
        query: usize,
    },
}

/// Records what the coordinator decides in one step.
#[derive(Default)]
pub(super) struct DecisionLog {
    pub(super) decisions: Vec<Decision>,
    pub(super) sent: Vec<(usize, usize, usize, TenthMillis)>,
    pub(super) cancelled: Vec<(usize, usize, usize)>,
    pub(super) probes: Vec<usize>,
    pub(super) wake: Option<TenthMillis>,
}

impl DecisionSink for DecisionLog {
    fn send(
        &mut self,
        QueryIndex(query): QueryIndex,
        SubRequestIndex(sub_request): SubRequestIndex,
        ReplicaIndex(replica): ReplicaIndex,
        timeout: TenthMillis,
    ) {
        self.sent.push((query, sub_request, replica, timeout));
        self.decisions.push(Decision::Send {
            query,
            sub_request,
            attempt: 0,
        });
    }
    fn cancel(&mut self, query: QueryIndex, sub_request: SubRequestIndex, attempt: usize) {
        self.cancelled.push((query.0, sub_request.0, attempt));
    }
    fn respond(&mut self, QueryIndex(query): QueryIndex, completeness: Completeness) {
        let complete = completeness == Completeness::Complete;
        self.decisions.push(Decision::Respond { query, complete });
    }
    fn reject(&mut self, QueryIndex(query): QueryIndex, _: Option<TenthMillis>) {
        self.decisions.push(Decision::Reject { query });
    }
    fn fail(&mut self, QueryIndex(query): QueryIndex) {
        self.decisions.push(Decision::Fail { query });
    }
    fn release(&mut self, QueryIndex(query): QueryIndex) {
        self.decisions.push(Decision::Release { query });
    }
    fn close_idle(&mut self, _: ReplicaIndex) {}
    fn probe(&mut self, replica: ReplicaIndex) {
        self.probes.push(replica.0);
    }
    fn watch_membership(&mut self) {}
    fn wake_at(&mut self, at: TenthMillis) {
        self.wake = Some(at);
    }
}
