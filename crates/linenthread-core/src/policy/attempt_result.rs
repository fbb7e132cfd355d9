//! What the end of an attempt says of its replica, its zone and the fleet.

use super::Coordinator;
use super::send_guard::OUTAGE_TRIAL;
use super::windows::{CRASH_MEMORY, MIN_WEIGHT, RECENT};
use crate::interface::{AttemptOutcome, AttemptResult, DecisionSink, TenthMillis};
use crate::state::{Attempt, Outage};

/// Where no probes are permitted, the first attempt tries a replica that is down after this time, in tenths of
/// a millisecond; the wait grows with the length of the outage.
const FIRST_TRIAL: TenthMillis = 2_500;

/// The longest such wait, in tenths of a millisecond.
const MAX_TRIAL_WAIT: TenthMillis = OUTAGE_TRIAL;

/// A hedged request that came first was needed: it makes room for so many more.
const HEDGES_PER_WIN: f64 = 2.0;

/// An attempt that has just ended, with what its evaluation needs.
struct FinishedAttempt {
    replica: usize,
    outcome: AttemptOutcome,
    /// From its sending to its end, in tenths of a millisecond.
    elapsed: f64,
    /// A response time from which on attempts are slow, in tenths of a millisecond.
    slow: f64,
    /// Whether its connection had been idle; `None` if that is not known.
    idle_connection: Option<bool>,
}

impl FinishedAttempt {
    /// It was given up, from here or by its time-out.
    fn was_cancelled_or_timed_out(&self) -> bool {
        matches!(
            self.outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled
        )
    }

    /// Whether its connection failed it: 1 if so, 0 if it succeeded, `None` if the outcome says nothing of
    /// that.
    fn connection_failure(&self) -> Option<f64> {
        match self.outcome {
            AttemptOutcome::Success => Some(0.0),
            AttemptOutcome::ConnectionLost if self.idle_connection == Some(true) => Some(1.0),
            AttemptOutcome::ConnectFailed if self.idle_connection == Some(false) => Some(1.0),
            _ if self.was_cancelled_or_timed_out() && self.elapsed >= self.slow => Some(1.0),
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
        let finished = FinishedAttempt {
            replica: attempt.replica,
            outcome: result.outcome,
            elapsed: result.elapsed.max(1) as f64,
            slow,
            idle_connection: attempt.idle_connection,
        };
        self.record_connection(&finished);
        let replica = &mut self.replicas[finished.replica];
        replica.in_flight -= 1;
        replica.last_used_at = self.now;
        self.record_delay(result, &finished);
        match finished.outcome {
            AttemptOutcome::Success => self.on_success(result, &finished, sink),
            AttemptOutcome::Cancelled => self.record_lower_bound(&finished),
            AttemptOutcome::TimedOut if finished.elapsed < slow => {
                self.record_lower_bound(&finished);
            }
            AttemptOutcome::NotSent => {}
            _ => self.record_failure(&finished),
        }
        self.record_outage(result.query, &finished);
    }

    fn attempt_mut(&mut self, result: &AttemptResult) -> Option<&mut Attempt> {
        let query = self.queries.get_mut(result.query)?.as_mut()?;
        let sub_request = query.sub_requests.get_mut(result.sub_request)?;
        sub_request.attempts.get_mut(result.attempt)
    }

    /// Counts how often idle connections fail, and how often others do.
    fn record_connection(&mut self, finished: &FinishedAttempt) {
        let (Some(failure), Some(idle)) = (finished.connection_failure(), finished.idle_connection)
        else {
            return;
        };
        let failures = if idle {
            &mut self.fleet.idle_connection_failures
        } else {
            &mut self.fleet.active_connection_failures
        };
        failures.record(self.now, CRASH_MEMORY, failure);
    }

    /// Records how long the sub-request took or was waited for, counted from its first attempt: a hedged
    /// request that is quicker makes up for a slow attempt. A rejection counts as a whole soft deadline, and
    /// ends the replica's time as a last resort.
    fn record_delay(&mut self, result: &AttemptResult, finished: &FinishedAttempt) {
        let now = self.now;
        let query = self.queries[result.query].as_ref();
        let query = query.expect("the query of an attempt that has just ended");
        let sub_request = &query.sub_requests[result.sub_request];
        let log_delays = &mut self.fleet.log_delays;
        let was_last = sub_request.in_flight() == 0 && finished.was_cancelled_or_timed_out();
        if finished.outcome == AttemptOutcome::Rejected {
            let log_deadline = self.min_soft_deadline.ln();
            let replica = &mut self.replicas[finished.replica];
            replica.last_resort_until = now;
            log_delays.record(now, RECENT, log_deadline);
            let log_latencies = &mut replica.observations.log_latencies;
            log_latencies.record(now, self.fleet.time_constant, log_deadline);
        } else if !sub_request.succeeded
            && (was_last || finished.outcome == AttemptOutcome::Success)
        {
            let age = (now - sub_request.attempts[0].sent_at).max(1) as f64;
            log_delays.record(now, RECENT, age.ln());
        }
    }

    fn on_success(
        &mut self,
        result: &AttemptResult,
        finished: &FinishedAttempt,
        sink: &mut impl DecisionSink,
    ) {
        let (now, time_constant) = (self.now, self.fleet.time_constant);
        let query = self.queries[result.query].as_mut();
        let query = query.expect("the query of an attempt that has just ended");
        let sub_request = &mut query.sub_requests[result.sub_request];
        let is_overtaken = |earlier: &Attempt| {
            earlier.is_in_flight() || earlier.moved && finished.elapsed < finished.slow
        };
        if !sub_request.succeeded
            && sub_request.attempts[..result.attempt]
                .iter()
                .any(is_overtaken)
        {
            self.fleet.hedges.subtract(now, RECENT, HEDGES_PER_WIN);
        }
        sub_request.succeeded |= !query.finished;
        sub_request.continued_from = sub_request
            .continued_from
            .filter(|first| result.attempt < *first);

        let replica = &mut self.replicas[finished.replica];
        replica.last_response_at = now;
        replica.on_response(now, result.queue_depth);
        let log_latency = finished.elapsed.ln();
        let zone = &mut self.zones[replica.entry.zone];
        for observations in [&mut replica.observations, zone] {
            observations.failures.record(now, time_constant, 0.0);
            let log_latencies = &mut observations.log_latencies;
            log_latencies.record(now, time_constant, log_latency);
        }
        self.fleet.log_latencies.record(now, RECENT, log_latency);
        if self.config.permissions.cancellation && !query.finished {
            sub_request.cancel(result.query, result.sub_request, sink);
        }
    }

    /// An attempt that was given up would have taken longer still. That says something of the replica only if
    /// it had already taken longer than usual.
    fn record_lower_bound(&mut self, finished: &FinishedAttempt) {
        let (now, time_constant) = (self.now, self.fleet.time_constant);
        let replica = &mut self.replicas[finished.replica];
        let usual = replica
            .observations
            .log_latencies
            .mean(MIN_WEIGHT)
            .or(self.fleet.log_latencies.mean(MIN_WEIGHT));
        let log_elapsed = finished.elapsed.ln();
        if usual.is_some_and(|log_median| log_elapsed > log_median) {
            let zone = &mut self.zones[replica.entry.zone];
            for observations in [&mut replica.observations, zone] {
                let log_latencies = &mut observations.log_latencies;
                log_latencies.record(now, time_constant, log_elapsed);
            }
        }
    }

    fn record_failure(&mut self, finished: &FinishedAttempt) {
        let replica = &mut self.replicas[finished.replica];
        let zone = &mut self.zones[replica.entry.zone];
        for observations in [&mut replica.observations, zone] {
            let failures = &mut observations.failures;
            failures.record(self.now, self.fleet.time_constant, 1.0);
        }
    }

    /// A lost connection or a failed connect makes the replica count as down.
    fn record_outage(&mut self, query_index: usize, finished: &FinishedAttempt) {
        let now = self.now;
        let health_probes = self.config.permissions.health_probes;
        let replica = &mut self.replicas[finished.replica];
        let connection_lost = finished.outcome == AttemptOutcome::ConnectionLost;
        if connection_lost {
            let query = self.queries[query_index].as_mut();
            let query = query.expect("the query of an attempt that has just ended");
            if !query.lost_connections.contains(&finished.replica) {
                query.lost_connections.push(finished.replica);
                replica.suspected_crash = health_probes;
            }
        }
        if connection_lost || finished.outcome == AttemptOutcome::ConnectFailed {
            let outage = replica.outage.unwrap_or(Outage {
                since: now,
                retry_at: now,
            });
            let trial_wait = (FIRST_TRIAL + (now - outage.since) / 4).min(MAX_TRIAL_WAIT);
            replica.outage = Some(Outage {
                since: outage.since,
                retry_at: if health_probes {
                    outage.retry_at
                } else {
                    now + trial_wait
                },
            });
        }
    }
}
