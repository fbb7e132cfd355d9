//! Queries, their sub-requests and the attempts of sub-requests.

use crate::interface::{
    AttemptOutcome, Completeness, DecisionSink, QueryIndex, ReplicaIndex, SearchIndex,
    SubRequestIndex, TenthMillis,
};

/// The prior use of the connection that an attempt was sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionUse {
    /// The connection had been idle.
    Idle,
    /// The connection is new or had been used recently.
    Active,
    /// Other attempts were in flight at the replica, so it is not known which connection was used.
    Unknown,
}

/// The stage of a query's life cycle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum QueryStage {
    /// No attempt has been sent.
    #[default]
    Arrived,
    /// The query has passed admission control.
    Admitted,
    /// The query has ended, but attempts may still be in flight.
    Finished,
}

pub(crate) struct Attempt {
    pub replica: ReplicaIndex,
    pub sent_at: TenthMillis,
    pub connection: ConnectionUse,
    /// The attempt was cancelled so that its sub-request can be sent to another replica.
    pub reissued: bool,
    /// `None` while the attempt is in flight.
    pub outcome: Option<AttemptOutcome>,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Reports whether the attempt has ended and is known not to have run.
    pub(crate) fn never_ran(&self) -> bool {
        self.outcome.is_some_and(AttemptOutcome::never_ran)
    }

    /// Reports whether the attempt is in flight and was sent no longer than `limit` ago.
    pub(crate) fn is_in_flight_within(&self, now: TenthMillis, limit: f64) -> bool {
        self.is_in_flight() && (now - self.sent_at) as f64 <= limit
    }
}

#[derive(Default)]
pub(crate) struct SubRequest {
    pub shard: usize,
    /// Its share of the query's weight.
    pub weight: f64,
    /// In the order in which they were sent.
    pub attempts: Vec<Attempt>,
    pub succeeded: bool,
    /// Set if the sub-request has succeeded and is repeated: the number of the first attempt of the repetition.
    pub continued_from: Option<usize>,
}

impl SubRequest {
    /// Reports whether a response is still needed.
    pub(crate) fn is_needed(&self) -> bool {
        !self.succeeded || self.continued_from.is_some()
    }

    /// Returns the number of attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.is_in_flight()).count()
    }

    pub(crate) fn is_in_flight_at(&self, replica: ReplicaIndex) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.is_in_flight() && attempt.replica == replica)
    }

    /// Cancels all attempts in flight.
    pub(crate) fn cancel(
        &self,
        query_index: QueryIndex,
        sub_request_index: SubRequestIndex,
        sink: &mut impl DecisionSink,
    ) {
        for (number, attempt) in self.attempts.iter().enumerate() {
            if attempt.is_in_flight() {
                sink.cancel(query_index, sub_request_index, number);
            }
        }
    }

    /// Reports whether all attempts are known not to have run.
    pub(crate) fn never_ran(&self) -> bool {
        self.attempts.iter().all(Attempt::never_ran)
    }

    /// Returns the time at which the first attempt that may have run was sent.
    pub(crate) fn may_have_run_since(&self) -> Option<TenthMillis> {
        self.attempts
            .iter()
            .find(|attempt| !attempt.never_ran())
            .map(|attempt| attempt.sent_at)
    }
}

/// A query that has not been released yet.
#[derive(Default)]
pub(crate) struct Query {
    pub search_index: SearchIndex,
    pub customer: usize,
    /// The routing key, or its replacement if the query has none.
    pub key: u64,
    pub soft_deadline: TenthMillis,
    pub hard_deadline: TenthMillis,
    /// When replicas were probed ahead of the query's first attempts.
    pub probed_at: Option<TenthMillis>,
    pub sub_requests: Vec<SubRequest>,
    /// The number of the first sub-request in the current phase.
    pub phase_start: usize,
    /// Set once the first phase has been responded to.
    pub first_response: Option<Completeness>,
    /// Replicas that lost a connection while an attempt of this query was in flight.
    pub lost_connections: Vec<ReplicaIndex>,
    pub stage: QueryStage,
}

impl Query {
    pub(crate) fn is_finished(&self) -> bool {
        self.stage == QueryStage::Finished
    }

    /// Reports whether no sub-request has succeeded.
    pub(crate) fn has_no_success(&self) -> bool {
        !self.sub_requests.iter().any(|s| s.succeeded)
    }

    /// Reports whether any attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.sub_requests.iter().any(|s| s.in_flight() > 0)
    }

    /// Reports whether a sub-request that has succeeded is being repeated.
    pub(crate) fn is_continued(&self) -> bool {
        self.sub_requests.iter().any(|s| s.continued_from.is_some())
    }

    /// Returns the sub-requests of the current phase.
    pub(crate) fn current_phase(&self) -> &[SubRequest] {
        &self.sub_requests[self.phase_start..]
    }

    /// Reports whether the query is in its fetch phase.
    pub(crate) fn is_fetching(&self) -> bool {
        self.phase_start > 0
    }

    /// Returns the total weight of those sub-requests of the current phase that satisfy a condition.
    pub(crate) fn phase_weight(&self, condition: impl Fn(&SubRequest) -> bool) -> f64 {
        self.current_phase()
            .iter()
            .filter(|sub_request| condition(sub_request))
            .map(|sub_request| sub_request.weight)
            .sum()
    }
}
