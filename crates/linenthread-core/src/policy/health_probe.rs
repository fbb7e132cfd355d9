//! Decides when replicas are probed, and evaluates the results of probes.

use super::Coordinator;
use super::windows::{
    CRASH_TIME_CONSTANT, LONG_TIME_CONSTANT, MIN_WEIGHT, PROBE_TIMEOUT, REPORT_LIFETIME,
    SHORT_TIME_CONSTANT,
};
use crate::conversion::to_tenth_millis;
use crate::interface::{
    AttemptOutcome, DecisionSink, ProbeResult, QueryIndex, ReplicaIndex, TenthMillis,
};
use crate::state::{Outage, Query, QueryStage, SubRequest};

/// The minimum interval between probes of a replica that is down, before scaling and random spread.
///
/// Unit: 0.1 ms (150 ms). Reason: attempts at the replica would be lost, so its recovery must be detected soon.
const OUTAGE_PROBE_INTERVAL: TenthMillis = 1_500;

/// How long a query's first attempts wait while probes of all replicas of a shard are in flight.
///
/// Unit: share of the shortest soft deadline. Reason: choosing a worse replica now is better than choosing late.
const MAX_PROBE_WAIT_SHARE: f64 = 0.05;

/// Replicas are probed before a query's first attempts if the time constant of their observations exceeds this.
///
/// Unit: multiple of [`SHORT_TIME_CONSTANT`]. Reason: observations are then too old to detect an unhealthy replica.
const SPARSE_OBSERVATION_FACTOR: f64 = 1.5;

/// Where replicas do not report their queues: the minimum share of queries that probe first.
///
/// Unit: share of queries. Reason: without any probes, late ones could not be detected.
const MIN_PROBING_SHARE: f64 = 0.1;

/// Where replicas do not report their queues: the share of queries that probe first, per share of late probes.
///
/// Unit: share of queries / share of probes. Reason: there a probe reveals load only by its delay, so few are sent
/// while all are fast.
const PROBING_PER_LATE_PROBE: f64 = 12.0;

impl Coordinator {
    pub(super) fn on_probe_result(&mut self, result: &ProbeResult) {
        let now = self.now;
        self.timers.next_score = now;
        let Some(replica) = self.replicas.get_mut(result.replica.0) else {
            return;
        };
        let sent_at = replica.probe_sent_at.take().unwrap_or(now);
        let was_late = f64::from(now - sent_at >= PROBE_TIMEOUT);
        self.fleet
            .late_probes
            .record(now, LONG_TIME_CONSTANT, was_late);
        // A replica that lost a connection and whose process is gone may have crashed; a replica that responds has not.
        if replica.suspected_crash && result.outcome != AttemptOutcome::Rejected {
            replica.suspected_crash = false;
            replica.crashed = result.outcome != AttemptOutcome::Success;
            let crash = f64::from(replica.crashed);
            self.fleet.crashes.record(now, CRASH_TIME_CONSTANT, crash);
        }
        match result.outcome {
            AttemptOutcome::Success => replica.on_response(now, result.queue_depth),
            _ if replica.last_report_at >= sent_at => {}
            AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLost => {
                replica.outage.get_or_insert(Outage {
                    started_at: now,
                    retry_at: now + OUTAGE_PROBE_INTERVAL,
                });
            }
            // The replica is too busy for a probe. Its load is unknown; assume a queue that takes a full soft deadline
            // to serve.
            _ => replica.on_report(now, self.min_soft_deadline / self.fleet.lowest_median),
        }
    }

    /// Probes replicas that are down, at intervals that grow with the outage. Detecting a recovery by an attempt
    /// instead would waste attempts of queries.
    pub(super) fn probe_outages(&mut self, sink: &mut impl DecisionSink) {
        if !self.config.permissions.health_probes {
            return;
        }
        // All co-ordinators probe the same replica, so the interval grows with their number.
        let interval_factor = TenthMillis::try_from(self.config.coordinator_count / 4)
            .unwrap_or(TenthMillis::MAX)
            .max(1);
        for replica_index in self.replica_indices() {
            let replica = &self.replicas[replica_index];
            let Some(outage) = replica.outage.filter(|_| replica.is_ready()) else {
                continue;
            };
            if outage.retry_at > self.now {
                continue;
            }
            let interval =
                OUTAGE_PROBE_INTERVAL.max((self.now - outage.started_at) / 4) * interval_factor;
            let retry_at = self.now + interval + self.random_time(interval);
            let replica = &mut self.replicas[replica_index];
            replica.outage = Some(Outage { retry_at, ..outage });
            replica.probe_sent_at.get_or_insert(self.now);
            sink.probe(replica_index);
        }
    }

    /// Probes replicas without a recent report before a query's first attempts, if each replica is observed seldom.
    /// Returns whether the query must wait for the probes.
    pub(super) fn probe_before_first_attempts(
        &mut self,
        query_index: QueryIndex,
        sink: &mut impl DecisionSink,
    ) -> bool {
        let max_wait = to_tenth_millis(MAX_PROBE_WAIT_SHARE * self.min_soft_deadline);
        let Some(Some(query)) = self.queries.get(query_index.0) else {
            return false;
        };
        if !self.may_probe_first(query, max_wait) {
            return false;
        }
        if let Some(probed_at) = query.probed_at {
            return self.waits_for_probes(query, probed_at, max_wait);
        }
        if !self.config.reports_queue_depth && !self.sample_probe_first() {
            return false;
        }
        self.probe_shard_replicas(query_index, sink)
    }

    /// Reports whether a query may wait for probes: each replica is observed seldom, nothing of the query has been
    /// sent, and enough time is left.
    fn may_probe_first(&self, query: &Query, max_wait: TenthMillis) -> bool {
        let is_sparsely_observed =
            self.fleet.time_constant > SPARSE_OBSERVATION_FACTOR * SHORT_TIME_CONSTANT;
        let is_too_late = self.now + 2 * max_wait > query.hard_deadline;
        is_sparsely_observed
            && self.config.permissions.health_probes
            && query.stage == QueryStage::Arrived
            && !is_too_late
            && !query.sub_requests.is_empty()
    }

    /// Reports whether the query still waits for the probes sent for it: until [`PROBE_TIMEOUT`] for any of them, and
    /// for up to `max_wait` while the probes of all replicas of a shard are in flight.
    fn waits_for_probes(
        &self,
        query: &Query,
        probed_at: TenthMillis,
        max_wait: TenthMillis,
    ) -> bool {
        let waited = self.now - probed_at;
        let is_probed = |replica: ReplicaIndex| self.replicas[replica].probe_sent_at.is_some();
        let any_probed = |s: &SubRequest| self.shard_replicas(query, s).any(is_probed);
        let all_probed = |s: &SubRequest| self.shard_replicas(query, s).all(is_probed);
        waited < PROBE_TIMEOUT && query.sub_requests.iter().any(any_probed)
            || waited < max_wait && query.sub_requests.iter().any(all_probed)
    }

    /// Decides at random whether this query probes first.
    fn sample_probe_first(&mut self) -> bool {
        let late_share = self.fleet.late_probes.mean(MIN_WEIGHT).unwrap_or(1.0);
        let probing_share = (PROBING_PER_LATE_PROBE * late_share).max(MIN_PROBING_SHARE);
        self.rng.rand_float() < probing_share
    }

    /// Probes the replicas of the query's shards that are up and have not reported recently. Returns whether there were
    /// any.
    fn probe_shard_replicas(
        &mut self,
        query_index: QueryIndex,
        sink: &mut impl DecisionSink,
    ) -> bool {
        let now = self.now;
        let query = self.open_query(query_index);
        let mut replicas: Vec<ReplicaIndex> = query
            .sub_requests
            .iter()
            .flat_map(|sub_request| self.shard_replicas(query, sub_request))
            .collect();
        replicas.retain(|&replica_index| {
            let replica = &mut self.replicas[replica_index];
            let is_stale = (now - replica.last_report_at) as f64 > REPORT_LIFETIME;
            replica.outage.is_none() && is_stale && replica.probe_sent_at.replace(now).is_none()
        });
        for &replica_index in &replicas {
            sink.probe(replica_index);
        }
        self.open_query_mut(query_index).probed_at = Some(now);
        !replicas.is_empty()
    }
}
