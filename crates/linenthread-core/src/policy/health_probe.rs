//! When replicas are probed, and what the end of a probe says.

use super::Coordinator;
use super::windows::{CRASH_MEMORY, FRESH_REPORT, LONG_TERM, MIN_WEIGHT, PROBE_TIMEOUT, RECENT};
use crate::interface::{AttemptOutcome, DecisionSink, ProbeResult, TenthMillis};
use crate::state::{Outage, Query, SubRequest};

/// A replica that is down is probed after this time, in tenths of a millisecond, and as much again at random,
/// times a quarter of the number of co-ordinators.
const OUTAGE_PROBE_INTERVAL: TenthMillis = 1_500;

/// Probes are waited for up to this share of the shortest soft deadline while all holders of a shard owe the
/// end of one.
const MAX_PROBE_WAIT_SHARE: f64 = 0.05;

/// Replicas are probed before a query's first attempts where they are remembered for longer than this multiple
/// of [`RECENT`], since each is seen too seldom to be known.
const SELDOM_OBSERVED: f64 = 1.5;

/// Where replicas report no queue, at least this share of queries probes first.
const MIN_PROBING_SHARE: f64 = 0.1;

/// Where replicas report no queue, the share of queries that probe first is this multiple of the share of
/// probes that were late: there a probe tells by its delay alone, if at all, so few go while all are quick.
const PROBING_PER_LATE_PROBE: f64 = 12.0;

impl Coordinator {
    pub(super) fn on_probe_result(&mut self, result: &ProbeResult) {
        let now = self.now;
        self.timers.next_score = now;
        let Some(replica) = self.replicas.get_mut(result.replica) else {
            return;
        };
        let sent_at = replica.probe_sent_at.take().unwrap_or(now);
        let was_late = f64::from(now - sent_at >= PROBE_TIMEOUT);
        self.fleet.late_probes.record(now, LONG_TERM, was_late);
        // A replica whose connection was lost and whose process is gone may have crashed; one that responds
        // has not.
        if replica.suspected_crash && result.outcome != AttemptOutcome::Rejected {
            replica.suspected_crash = false;
            replica.crashed = result.outcome != AttemptOutcome::Success;
            let crash = f64::from(replica.crashed);
            self.fleet.crashes.record(now, CRASH_MEMORY, crash);
        }
        match result.outcome {
            AttemptOutcome::Success => replica.on_response(now, result.queue_depth),
            _ if replica.last_report_at >= sent_at => {}
            AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLost => {
                replica.outage.get_or_insert(Outage {
                    since: now,
                    retry_at: now + OUTAGE_PROBE_INTERVAL,
                });
            }
            // Too busy for a probe: nothing is known but that a soft deadline's worth is queued there.
            _ => replica.on_report(now, self.min_soft_deadline / self.fleet.lowest_median),
        }
    }

    /// Probes replicas that are down: an attempt sent there would be lost time and a spent attempt.
    pub(super) fn probe_outages(&mut self, sink: &mut impl DecisionSink) {
        if !self.config.permissions.health_probes {
            return;
        }
        let share = (self.config.coordinator_count as TenthMillis / 4).max(1);
        for replica_index in 0..self.replicas.len() {
            let replica = &self.replicas[replica_index];
            let Some(outage) = replica.outage.filter(|_| replica.is_ready()) else {
                continue;
            };
            if outage.retry_at > self.now {
                continue;
            }
            let interval = OUTAGE_PROBE_INTERVAL.max((self.now - outage.since) / 4) * share;
            let retry_at = self.now + interval + self.random_time(interval);
            let replica = &mut self.replicas[replica_index];
            replica.outage = Some(Outage { retry_at, ..outage });
            replica.probe_sent_at.get_or_insert(self.now);
            sink.probe(replica_index);
        }
    }

    /// Delays a query's first attempts while holders without a recent report are probed, where each replica is
    /// seen seldom. Returns whether the query has to wait.
    pub(super) fn probe_before_first_attempts(
        &mut self,
        query_index: usize,
        sink: &mut impl DecisionSink,
    ) -> bool {
        let max_wait = (MAX_PROBE_WAIT_SHARE * self.min_soft_deadline) as TenthMillis;
        let Some(Some(query)) = self.queries.get(query_index) else {
            return false;
        };
        let is_seldom_observed = self.fleet.time_constant > SELDOM_OBSERVED * RECENT;
        let is_too_late =
            query.admitted || query.finished || self.now + 2 * max_wait > query.hard_deadline;
        if !is_seldom_observed
            || !self.config.permissions.health_probes
            || is_too_late
            || query.sub_requests.is_empty()
        {
            return false;
        }
        if let Some(probed_at) = query.probed_at {
            return self.waits_for_probes(query, probed_at, max_wait);
        }
        if !self.config.reports_queue && !self.draws_probing() {
            return false;
        }
        self.probe_shard_replicas(query_index, sink)
    }

    fn waits_for_probes(
        &self,
        query: &Query,
        probed_at: TenthMillis,
        max_wait: TenthMillis,
    ) -> bool {
        let waited = self.now - probed_at;
        let is_probed = |replica: usize| self.replicas[replica].probe_sent_at.is_some();
        let any_probed = |s: &SubRequest| self.shard_replicas(query, s).any(is_probed);
        let all_probed = |s: &SubRequest| self.shard_replicas(query, s).all(is_probed);
        waited < PROBE_TIMEOUT && query.sub_requests.iter().any(any_probed)
            || waited < max_wait && query.sub_requests.iter().any(all_probed)
    }

    /// Decides at random whether this query probes first.
    fn draws_probing(&mut self) -> bool {
        let late_share = self.fleet.late_probes.mean(MIN_WEIGHT).unwrap_or(1.0);
        let probing_share = (PROBING_PER_LATE_PROBE * late_share).max(MIN_PROBING_SHARE);
        self.rng.rand_float() < probing_share
    }

    /// Probes those holders of the query's shards that are up and have not reported of late. Returns whether
    /// there was any.
    fn probe_shard_replicas(&mut self, query_index: usize, sink: &mut impl DecisionSink) -> bool {
        let now = self.now;
        let query = self.open_query(query_index);
        let mut replicas: Vec<usize> = query
            .sub_requests
            .iter()
            .flat_map(|sub_request| self.shard_replicas(query, sub_request))
            .collect();
        replicas.retain(|&replica_index| {
            let replica = &mut self.replicas[replica_index];
            let is_stale = (now - replica.last_report_at) as f64 > FRESH_REPORT;
            replica.outage.is_none() && is_stale && replica.probe_sent_at.replace(now).is_none()
        });
        for &replica_index in &replicas {
            sink.probe(replica_index);
        }
        self.open_query_mut(query_index).probed_at = Some(now);
        !replicas.is_empty()
    }
}
