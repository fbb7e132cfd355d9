//! Evaluates an attempt's outcome for its replica, its zone and the fleet.

use super::Coordinator;
use super::send_guard::OUTAGE_TRIAL_DELAY;
use super::windows::{CRASH_TIME_CONSTANT, MIN_WEIGHT, SHORT_TIME_CONSTANT};
use crate::interface::{
    AttemptOutcome, AttemptResult, DecisionSink, QueryIndex, ReplicaIndex, TenthMillis,
};
use crate::state::{Attempt, ConnectionUse, Observations, Outage};

/// The initial delay before a trial attempt to a replica that is down, where probes are not permitted.
///
/// Unit: 0.1 ms (250 ms). Reason: without probes, only attempts can detect a recovery; the delay grows with the outage.
const INITIAL_TRIAL_DELAY: TenthMillis = 2_500;

/// The longest such delay.
///
/// Unit: 0.1 ms (3 s). Reason: the same as where probes are permitted but fail.
const MAX_TRIAL_DELAY: TenthMillis = OUTAGE_TRIAL_DELAY;

/// The number of additional hedged requests permitted after a hedged request responded first.
///
/// Unit: attempts. Reason: it was needed, so where replicas hang, more hedged requests may follow.
const HEDGES_PER_WIN: f64 = 2.0;

/// The result of an attempt, as an observation of its replica.
struct AttemptObservation {
    replica: ReplicaIndex,
    outcome: AttemptOutcome,
    /// The time from sending the attempt to its end, in tenths of a millisecond.
    elapsed: f64,
    /// The response time from which attempts are slow, in tenths of a millisecond.
    slow: f64,
    connection: ConnectionUse,
}

impl AttemptObservation {
    /// Reports whether the attempt was cancelled or timed out before the replica responded.
    fn was_interrupted(&self) -> bool {
        matches!(
            self.outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled
        )
    }

    /// Returns 1 if the connection failed, or if the attempt was slow and ended without a response; 0 if the attempt
    /// succeeded; and `None` if the outcome does not allow a conclusion about the connection.
    fn connection_failure(&self) -> Option<f64> {
        match (self.outcome, self.connection) {
            (AttemptOutcome::Success, _) => Some(0.0),
            // A dropped idle connection fails when it is used; a new connection fails when it is established.
            (AttemptOutcome::ConnectionLost, ConnectionUse::Idle)
            | (AttemptOutcome::ConnectFailed, ConnectionUse::Active) => Some(1.0),
            _ if self.was_interrupted() && self.elapsed >= self.slow => Some(1.0),
            _ => None,
        }
    }
}

impl Coordinator {
    pub(super) fn on_attempt_result(
        &mut self,
        result: &AttemptResult,
        sink: &mut impl DecisionSink,
    ) {
        let slow = self.slow_latency();
        let Some(attempt) = self.attempt_mut(result) else {
            return;
        };
        attempt.outcome = Some(result.outcome);
        let observed = AttemptObservation {
            replica: attempt.replica,
            outcome: result.outcome,
            elapsed: result.elapsed.max(1) as f64,
            slow,
            connection: attempt.connection,
        };
        self.record_connection(&observed);
        let replica = &mut self.replicas[observed.replica];
        replica.in_flight -= 1;
        replica.last_used_at = self.now;
        self.record_delay(result, &observed);
        match observed.outcome {
            AttemptOutcome::Success => self.on_success(result, &observed, sink),
            AttemptOutcome::Cancelled => self.record_lower_bound(&observed),
            // A timeout before a slow response time is due to the query's deadline, not to the replica.
            AttemptOutcome::TimedOut if observed.elapsed < slow => {
                self.record_lower_bound(&observed);
            }
            // No observation of the replica.
            AttemptOutcome::NotSent => {}
            AttemptOutcome::TimedOut
            | AttemptOutcome::Error
            | AttemptOutcome::Rejected
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionLost => self.record_outcome(observed.replica, 1.0),
        }
        self.record_outage(result.query, &observed);
    }

    fn attempt_mut(&mut self, result: &AttemptResult) -> Option<&mut Attempt> {
        let query = self.query_mut(result.query)?;
        let sub_request = query.sub_requests.get_mut(result.sub_request.0)?;
        sub_request.attempts.get_mut(result.attempt)
    }

    /// Records failures and successes of idle and of other connections.
    fn record_connection(&mut self, observed: &AttemptObservation) {
        let Some(failure) = observed.connection_failure() else {
            return;
        };
        let failures = match observed.connection {
            ConnectionUse::Idle => &mut self.fleet.idle_connection_failures,
            ConnectionUse::Active => &mut self.fleet.active_connection_failures,
            ConnectionUse::Unknown => return,
        };
        failures.record(self.now, CRASH_TIME_CONSTANT, failure);
    }

    /// Records the delay of the sub-request, or the time it was waited for. The delay counts from the first attempt,
    /// since a faster hedged request makes up for a slow attempt.
    fn record_delay(&mut self, result: &AttemptResult, observed: &AttemptObservation) {
        let now = self.now;
        if observed.outcome == AttemptOutcome::Rejected {
            return self.record_rejection(observed.replica);
        }
        let sub_request = &self.open_query(result.query).sub_requests[result.sub_request];
        let is_response = observed.outcome == AttemptOutcome::Success;
        let ended_without_response = sub_request.in_flight() == 0 && observed.was_interrupted();
        if !sub_request.succeeded && (is_response || ended_without_response) {
            let age = (now - sub_request.attempts[0].sent_at).max(1) as f64;
            self.fleet
                .log_delays
                .record(now, SHORT_TIME_CONSTANT, age.ln());
        }
    }

    /// Records a rejection as a response time and a delay of a full soft deadline, since a full replica would respond
    /// late. A draining replica that rejects an attempt accepts nothing more, so it is no longer a last resort.
    fn record_rejection(&mut self, replica: ReplicaIndex) {
        let (now, time_constant) = (self.now, self.fleet.time_constant);
        let log_deadline = self.min_soft_deadline.ln();
        self.fleet
            .log_delays
            .record(now, SHORT_TIME_CONSTANT, log_deadline);
        let replica = &mut self.replicas[replica];
        replica.last_resort_until = now;
        let log_latencies = &mut replica.observations.log_latencies;
        log_latencies.record(now, time_constant, log_deadline);
    }

    fn on_success(
        &mut self,
        result: &AttemptResult,
        observed: &AttemptObservation,
        sink: &mut impl DecisionSink,
    ) {
        self.credit_winning_hedge(result, observed);
        self.mark_succeeded(result);
        let replica = &mut self.replicas[observed.replica];
        replica.last_response_at = self.now;
        replica.on_response(self.now, result.queue_depth);
        let log_latency = observed.elapsed.ln();
        self.record_outcome(observed.replica, 0.0);
        self.record_latency(observed.replica, log_latency);
        self.fleet
            .log_latencies
            .record(self.now, SHORT_TIME_CONSTANT, log_latency);
        let query = self.open_query(result.query);
        if self.config.permissions.cancellation && !query.is_finished() {
            let sub_request = &query.sub_requests[result.sub_request];
            sub_request.cancel(result.query, result.sub_request, sink);
        }
    }

    /// Permits more hedged requests if this one responded before the attempt that it hedged.
    fn credit_winning_hedge(&mut self, result: &AttemptResult, observed: &AttemptObservation) {
        let query = self.open_query(result.query);
        let sub_request = &query.sub_requests[result.sub_request];
        let is_overtaken = |earlier: &Attempt| {
            earlier.is_in_flight() || earlier.reissued && observed.elapsed < observed.slow
        };
        let mut earlier = sub_request.attempts[..result.attempt].iter();
        if !sub_request.succeeded && earlier.any(is_overtaken) {
            self.fleet
                .hedge_share
                .credit(self.now, SHORT_TIME_CONSTANT, HEDGES_PER_WIN);
        }
    }

    fn mark_succeeded(&mut self, result: &AttemptResult) {
        let query = self.open_query_mut(result.query);
        let is_open = !query.is_finished();
        let sub_request = &mut query.sub_requests[result.sub_request];
        sub_request.succeeded |= is_open;
        // A response to an attempt from before the continuation does not satisfy the continuation.
        sub_request.continued_from = sub_request
            .continued_from
            .filter(|first| result.attempt < *first);
    }

    /// Records the elapsed time of an attempt that ended early as a lower bound of its response time. This is
    /// meaningful only if the attempt had already taken longer than usual.
    fn record_lower_bound(&mut self, observed: &AttemptObservation) {
        let log_median = self.replicas[observed.replica]
            .observations
            .log_latencies
            .mean(MIN_WEIGHT)
            .or(self.fleet.log_latencies.mean(MIN_WEIGHT));
        let log_elapsed = observed.elapsed.ln();
        if log_median.is_some_and(|log_median| log_elapsed > log_median) {
            self.record_latency(observed.replica, log_elapsed);
        }
    }

    /// Records the logarithm of a response time for a replica and its zone.
    fn record_latency(&mut self, replica: ReplicaIndex, log_latency: f64) {
        let (now, time_constant) = (self.now, self.fleet.time_constant);
        for observations in self.observations_of(replica) {
            let log_latencies = &mut observations.log_latencies;
            log_latencies.record(now, time_constant, log_latency);
        }
    }

    /// Records a failure (1) or a response (0) for a replica and its zone.
    fn record_outcome(&mut self, replica: ReplicaIndex, failure: f64) {
        let (now, time_constant) = (self.now, self.fleet.time_constant);
        for observations in self.observations_of(replica) {
            observations.failures.record(now, time_constant, failure);
        }
    }

    /// Returns the observations of a replica and of its zone. Each attempt counts in both, since the score of a replica
    /// with few observations is based mainly on its zone.
    fn observations_of(&mut self, replica: ReplicaIndex) -> [&mut Observations; 2] {
        let replica = &mut self.replicas[replica];
        let zone = &mut self.zones[replica.entry.zone];
        [&mut replica.observations, zone]
    }

    /// Marks the replica as down after a lost connection or a failed connect.
    fn record_outage(&mut self, query_index: QueryIndex, observed: &AttemptObservation) {
        match observed.outcome {
            AttemptOutcome::ConnectionLost => {
                self.suspect_crash(query_index, observed.replica);
                self.mark_down(observed.replica);
            }
            AttemptOutcome::ConnectFailed => self.mark_down(observed.replica),
            _ => {}
        }
    }

    /// Records that a connection was lost during a query, which may mean that the query crashed the replica; a probe
    /// will find out. Each replica counts once per query: further lost connections to it are no additional evidence.
    fn suspect_crash(&mut self, query_index: QueryIndex, replica: ReplicaIndex) {
        let health_probes = self.config.permissions.health_probes;
        let query = self.open_query_mut(query_index);
        if !query.lost_connections.contains(&replica) {
            query.lost_connections.push(replica);
            self.replicas[replica].suspected_crash = health_probes;
        }
    }

    fn mark_down(&mut self, replica: ReplicaIndex) {
        let now = self.now;
        let replica = &mut self.replicas[replica];
        let outage = replica.outage.unwrap_or(Outage {
            started_at: now,
            retry_at: now,
        });
        let retry_at = if self.config.permissions.health_probes {
            outage.retry_at
        } else {
            now + (INITIAL_TRIAL_DELAY + (now - outage.started_at) / 4).min(MAX_TRIAL_DELAY)
        };
        replica.outage = Some(Outage { retry_at, ..outage });
    }
}
