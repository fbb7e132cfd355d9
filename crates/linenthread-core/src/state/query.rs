//! Queries, their sub-requests and the attempts of these.

use crate::interface::{
    AttemptOutcome, Completeness, DecisionSink, QueryIndex, ReplicaIndex, SearchIndex,
    SubRequestIndex, TenthMillis,
};

/// The connection that an attempt was sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionUse {
    /// Nothing had used it for long.
    Idle,
    /// It is new, or had been used recently.
    Active,
    /// Other attempts were in flight at the replica, so which connection it got is not known.
    Unknown,
}

/// How far a query is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum QueryStage {
    /// Nothing of it has been sent.
    #[default]
    Arrived,
    /// It has passed admission control.
    Admitted,
    /// It has ended: it only waits for its attempts in flight.
    Finished,
}

/// One attempt of a sub-request.
pub(crate) struct Attempt {
    /// Where it was sent.
    pub replica: ReplicaIndex,
    pub sent_at: TenthMillis,
    pub connection: ConnectionUse,
    /// It was cancelled so that its sub-request can be sent to another replica.
    pub reissued: bool,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<AttemptOutcome>,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// It has ended and is known not to have run.
    pub(crate) fn never_ran(&self) -> bool {
        self.outcome.is_some_and(AttemptOutcome::never_ran)
    }

    /// It is in flight, for no longer than this.
    pub(crate) fn is_in_flight_within(&self, now: TenthMillis, limit: f64) -> bool {
        self.is_in_flight() && (now - self.sent_at) as f64 <= limit
    }
}

/// One sub-request of a query.
#[derive(Default)]
pub(crate) struct SubRequest {
    pub shard: usize,
    /// Its share of the query.
    pub weight: f64,
    /// Its attempts, in the order they were sent.
    pub attempts: Vec<Attempt>,
    pub succeeded: bool,
    /// It has succeeded and is wanted once more, from its attempt of this number on.
    pub continued_from: Option<usize>,
}

impl SubRequest {
    /// A response to it is still wanted.
    pub(crate) fn is_needed(&self) -> bool {
        !self.succeeded || self.continued_from.is_some()
    }

    /// Number of its attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.is_in_flight()).count()
    }

    /// Whether an attempt of it is in flight at this replica.
    pub(crate) fn is_in_flight_at(&self, replica: ReplicaIndex) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.is_in_flight() && attempt.replica == replica)
    }

    /// Cancels its attempts in flight.
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

    /// All its attempts are known not to have run.
    pub(crate) fn never_ran(&self) -> bool {
        self.attempts.iter().all(Attempt::never_ran)
    }

    /// When the first attempt that may have run was sent.
    pub(crate) fn may_have_run_since(&self) -> Option<TenthMillis> {
        self.attempts
            .iter()
            .find(|attempt| !attempt.never_ran())
            .map(|attempt| attempt.sent_at)
    }
}

/// One query that is not released yet.
#[derive(Default)]
pub(crate) struct Query {
    /// The search index it is for.
    pub search_index: SearchIndex,
    pub customer: usize,
    /// Its routing key, or what replaces it.
    pub key: u64,
    pub soft_deadline: TenthMillis,
    pub hard_deadline: TenthMillis,
    /// When its replicas were probed before its first attempts.
    pub probed_at: Option<TenthMillis>,
    pub sub_requests: Vec<SubRequest>,
    /// The first sub-request of the present phase.
    pub phase_start: usize,
    /// Set once the first phase has a response.
    pub first_response: Option<Completeness>,
    /// Replicas whose connection was lost under one of its attempts.
    pub lost_connections: Vec<ReplicaIndex>,
    pub stage: QueryStage,
}

impl Query {
    pub(crate) fn is_finished(&self) -> bool {
        self.stage == QueryStage::Finished
    }

    /// None of its sub-requests has succeeded.
    pub(crate) fn has_no_success(&self) -> bool {
        !self.sub_requests.iter().any(|s| s.succeeded)
    }

    /// An attempt of it is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.sub_requests.iter().any(|s| s.in_flight() > 0)
    }

    /// A sub-request that has succeeded is wanted once more.
    pub(crate) fn is_continued(&self) -> bool {
        self.sub_requests.iter().any(|s| s.continued_from.is_some())
    }

    /// The sub-requests of the present phase.
    pub(crate) fn present_phase(&self) -> &[SubRequest] {
        &self.sub_requests[self.phase_start..]
    }

    /// It is in its fetch phase.
    pub(crate) fn is_fetching(&self) -> bool {
        self.phase_start > 0
    }

    /// The weight of those sub-requests of the present phase that satisfy a condition.
    pub(crate) fn phase_weight(&self, condition: impl Fn(&SubRequest) -> bool) -> f64 {
        self.present_phase()
            .iter()
            .filter(|sub_request| condition(sub_request))
            .map(|sub_request| sub_request.weight)
            .sum()
    }
}
