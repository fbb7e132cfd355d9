//! Queries of clients, and the attempts and health checks that coordinators make.

use linenthread_core::interface::{
    AttemptOutcome, AttemptResult, NewQuery, NewSubRequest, ProbeResult, QueryIndex, ReplicaIndex,
    SearchIndex, TenthMillis,
};

use super::coordinator::Query;
use super::decisions::{CancelAttempt, SendAttempt};
use super::event::{AttemptIndex, Event};
use super::world::{Attempt, World};
use super::{FAULT_START, SHARDS, SOFT_DEADLINE, START, SUB_REQUESTS_PER_QUERY, ZONES};
use crate::number;
use crate::random;

/// The hard deadline of a query, relative to its arrival.
const HARD_DEADLINE: TenthMillis = 15_000;
/// The time that a health check takes at the replica, in addition to the latency.
const HEALTH_CHECK_TIME: TenthMillis = 5;
/// The time after which a health check across a partition fails.
const HEALTH_CHECK_TIMEOUT: TenthMillis = 1_000;
/// The duration that the zone observer is given for each health check.
const OBSERVED_HEALTH_CHECK: TenthMillis = 30;
/// The number of distinct keys of queries.
const KEYS: u64 = 5_000;
/// The distance between the shards of a query.
const SHARD_STRIDE: usize = 7;

impl World {
    /// Schedules the next query at a coordinator, after an exponentially distributed wait.
    pub(super) fn schedule_query(&mut self, coordinator: usize) {
        let wait = -(1.0 - self.rng.rand_float()).ln() / self.query_rate;
        self.schedule(number::time_from_f64(wait), Event::Query { coordinator });
    }

    /// Submits a client's query to a coordinator and schedules the next one.
    pub(super) fn on_query(&mut self, coordinator: usize) {
        self.schedule_query(coordinator);
        // The clients of a lost zone are lost with it.
        if self.is_lost(self.coordinators[coordinator].zone) {
            return;
        }
        let first_shard = random::index(&mut self.rng, SHARDS);
        let key = self.rng.rand_range(0..KEYS);
        let now = self.now;
        let node = &mut self.coordinators[coordinator];
        let query = node.add_query(Query {
            soft_deadline: now + SOFT_DEADLINE,
            attempts: Vec::new(),
        });
        node.observer.on_query(SUB_REQUESTS_PER_QUERY);
        node.inputs.queries.push(NewQuery {
            query,
            search_index: SearchIndex(0),
            customer: 0,
            key: Some(key),
            sequence_number: self.events.last_number(),
            hard_deadline: now + HARD_DEADLINE,
        });
        let sub_request = |n: usize| NewSubRequest {
            query,
            shard: (first_shard + SHARD_STRIDE * n) % SHARDS,
            weight: 1.0 / number::to_f64(SUB_REQUESTS_PER_QUERY),
        };
        let sub_requests = (0..SUB_REQUESTS_PER_QUERY).map(sub_request);
        node.inputs.sub_requests.extend(sub_requests);
        if now >= START + FAULT_START {
            self.totals.queries += 1.0;
        }
    }

    /// Runs a coordinator's decision module and carries out its decisions.
    pub(super) fn run_coordinator(&mut self, coordinator: usize) {
        let decisions = self.coordinators[coordinator].step(self.now);
        for query in decisions.responded {
            self.count_response(coordinator, query);
        }
        for attempt in &decisions.attempts {
            self.send_attempt(coordinator, attempt);
        }
        for cancelled in &decisions.cancelled {
            self.cancel_attempt(coordinator, cancelled);
        }
        for replica in decisions.health_checks {
            self.check_health(coordinator, replica);
        }
        for query in decisions.released {
            self.coordinators[coordinator].release_query(query);
        }
    }

    /// Counts a query as served if it was answered in time and arrived after the fault's start.
    fn count_response(&mut self, coordinator: usize, query: QueryIndex) {
        let Some(query) = self.coordinators[coordinator].query(query) else {
            return;
        };
        let arrived_at = query.soft_deadline - SOFT_DEADLINE;
        if self.now <= query.soft_deadline && arrived_at >= START + FAULT_START {
            self.totals.served += 1.0;
        }
    }

    fn send_attempt(&mut self, coordinator: usize, sent: &SendAttempt) {
        let node = &mut self.coordinators[coordinator];
        let Some(Some(query)) = node.queries.get_mut(sent.query.0) else {
            return;
        };
        let attempts = query.attempts.iter();
        let number = attempts
            .filter(|&&other| self.attempts[other].sub_request == sent.sub_request)
            .count();
        let attempt = self.attempts.len();
        query.attempts.push(attempt);
        self.attempts.push(Attempt {
            coordinator,
            query: sent.query,
            sub_request: sent.sub_request,
            number,
            replica: sent.replica,
            sent_at: self.now,
            is_over: false,
            queue_depth: 0,
        });
        self.totals.attempts += 1.0;
        if node.zone != sent.replica % ZONES {
            self.totals.cross_zone_attempts += 1.0;
        }
        self.schedule(sent.timeout, Event::TimeOut { attempt });
        if !self.is_unreachable(coordinator, sent.replica) {
            let latency = self.latency(coordinator, sent.replica);
            self.schedule(latency, Event::Arrive { attempt });
        }
    }

    fn cancel_attempt(&mut self, coordinator: usize, cancelled: &CancelAttempt) {
        let Some(query) = self.coordinators[coordinator].query(cancelled.query) else {
            return;
        };
        let is_cancelled = |index: &&AttemptIndex| {
            let attempt = &self.attempts[**index];
            attempt.sub_request == cancelled.sub_request && attempt.number == cancelled.number
        };
        if let Some(&attempt) = query.attempts.iter().find(is_cancelled) {
            self.end_attempt(attempt, AttemptOutcome::Cancelled);
        }
    }

    /// Ends an attempt for its coordinator, which is given the outcome. Does nothing if the attempt is already over.
    pub(super) fn end_attempt(&mut self, attempt: AttemptIndex, outcome: AttemptOutcome) {
        let attempt = &mut self.attempts[attempt];
        if std::mem::replace(&mut attempt.is_over, true) {
            return;
        }
        let elapsed = self.now - attempt.sent_at;
        let queue_depth = f64::from(attempt.queue_depth);
        let zone = number::zone_index(attempt.replica % ZONES);
        let node = &mut self.coordinators[attempt.coordinator];
        node.observer
            .on_outcome(zone, attempt.replica, outcome, elapsed);
        node.inputs.results.push(AttemptResult {
            query: attempt.query,
            sub_request: attempt.sub_request,
            attempt: attempt.number,
            outcome,
            elapsed,
            queue_depth: (outcome == AttemptOutcome::Success).then_some(queue_depth),
        });
    }

    fn check_health(&mut self, coordinator: usize, replica: usize) {
        let round_trip = 2 * self.latency(coordinator, replica);
        let (wait, outcome) = if self.is_unreachable(coordinator, replica) {
            (HEALTH_CHECK_TIMEOUT, AttemptOutcome::TimedOut)
        } else if self.replicas[replica].is_up {
            (round_trip + HEALTH_CHECK_TIME, AttemptOutcome::Success)
        } else {
            (round_trip, AttemptOutcome::ConnectFailed)
        };
        let checked = Event::HealthChecked {
            coordinator,
            replica,
            outcome,
        };
        self.schedule(wait, checked);
    }

    pub(super) fn on_health_checked(
        &mut self,
        coordinator: usize,
        replica: usize,
        outcome: AttemptOutcome,
    ) {
        let queue_depth = number::to_f64(self.replicas[replica].queue.len());
        let node = &mut self.coordinators[coordinator];
        let zone = number::zone_index(replica % ZONES);
        node.observer
            .on_outcome(zone, replica, outcome, OBSERVED_HEALTH_CHECK);
        node.inputs.probes.push(ProbeResult {
            replica: ReplicaIndex(replica),
            outcome,
            queue_depth: (outcome == AttemptOutcome::Success).then_some(queue_depth),
        });
    }
}
