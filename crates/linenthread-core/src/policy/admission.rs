//! Admission control: rejects queries on arrival if their slowest sub-request is expected too late, or if they would
//! add load to a saturated fleet.
//!
//! Each query is evaluated once; an admitted query is not rejected here later.

use super::Coordinator;
use super::windows::{LONG_TIME_CONSTANT, MIN_WEIGHT, REPORT_LIFETIME, SHORT_TIME_CONSTANT};
use crate::conversion::to_count;
use crate::interface::{
    AbandonCause, IndexConfig, QueryIndex, ReplicaIndex, SearchIndex, ValueGrowth,
};
use crate::state::{DecayingSums, Distribution, Query, Replica, SubRequest};

/// The number of observations that the prior counts for in the estimate of delays.
///
/// Unit: sub-requests. Reason: the first few delays after a start must not determine admission on their own.
const PRIOR_DELAY_WEIGHT: f64 = 6.0;

/// The prior delay of a sub-request.
///
/// Unit: share of the shortest soft deadline. Reason: a search index whose sub-requests take much longer could not
/// meet it.
const PRIOR_DELAY_SHARE: f64 = 0.2;

/// The standard deviation of the prior delay.
///
/// Unit: deviation of the natural logarithm. Reason: used until a spread has been observed.
const PRIOR_LOG_DEVIATION: f64 = 0.6;

/// The part of the remaining time within which a query's slowest sub-request must be expected to finish.
///
/// Unit: share of the remaining time. Reason: the expectation is a mean, so slower responses need a margin.
const MAX_DELAY_SHARE: f64 = 0.75;

/// The exponent applied to a shard's slowdown where replicas do not report their queues.
///
/// Unit: exponent. Reason: there, saturation is visible only through delays, and late.
const UNREPORTED_SLOWDOWN_POWER: i32 = 3;

/// The mean of the maximum of n normal values is the square root of this times ln(n), in standard deviations.
///
/// Unit: none. Reason: approximately right for 10 to 100 sub-requests; 2 is the limit for large n.
const SLOWEST_VARIANCE_FACTOR: f64 = 1.25;

/// The probability of admitting a query is the pressure to the power of this times the query's relative cost.
///
/// Unit: exponent. Reason: it has to fall steeply enough for admitted queries to be in time, but not all at once.
const ADMISSION_EXPONENT: f64 = -3.0;

/// A customer is over its quota above this multiple of its share of the queries.
///
/// Unit: factor. Reason: counts over a few seconds vary randomly.
const OVER_QUOTA_FACTOR: f64 = 1.25;

/// The number of observed queries up to which no customer counts as over its quota.
///
/// Unit: queries of all customers. Reason: shares of a few queries are random.
const MIN_QUERIES_FOR_QUOTAS: f64 = 8.0;

/// Factor on the limits on attempts in flight for queries that cost less than average.
///
/// Unit: factor. Reason: near the limits, costly queries are rejected first.
const CHEAP_LIMIT_FACTOR: f64 = 1.25;

/// The minimum factor on the limits on attempts in flight for customers over their quota.
///
/// Unit: factor. Reason: the value of such a customer may be near 0, but some of its queries must still be admitted.
const MIN_OVER_QUOTA_LIMIT_FACTOR: f64 = 0.6;

/// The minimum value of a query of a customer over its quota.
///
/// Unit: share of the query's value. Reason: the query's relative cost is divided by this.
const MIN_OVER_QUOTA_VALUE: f64 = 0.1;

/// The minimum for a value, cost or quota used as a divisor.
///
/// Unit: that of the divisor. Reason: configured values and sums may be 0.
const MIN_DIVISOR: f64 = 0.001;

/// The estimated distribution of sub-request delays, approximately log-normal.
struct DelayEstimate {
    /// The mean of the logarithm of the delay in tenths of a millisecond.
    log_mean: f64,
    /// The standard deviation of that logarithm.
    log_deviation: f64,
}

impl DelayEstimate {
    /// Returns the expected delay, in tenths of a millisecond, of the slowest of `count` sub-requests: approximately
    /// the mean of the maximum of that many normal values.
    fn slowest_of(&self, count: f64) -> f64 {
        let deviations = (SLOWEST_VARIANCE_FACTOR * count.max(1.0).ln()).sqrt();
        (self.log_mean + deviations * self.log_deviation).exp()
    }

    /// Returns the expected delay, in tenths of a millisecond, of a query with this many sub-requests, including its
    /// fetch phase.
    fn of_query(&self, sub_request_count: f64, index: &IndexConfig) -> f64 {
        let fetch_phase = if index.fetch_sub_requests > 0 {
            self.slowest_of(index.fetch_sub_requests as f64)
        } else {
            0.0
        };
        // A response does not wait for the slowest sub-requests if it may omit them. If it may omit none, all of them
        // count; otherwise the number that counts stays below 1 / (1 - min_share), however many there are.
        let needed = sub_request_count / (1.0 + (1.0 - index.min_share) * sub_request_count);
        self.slowest_of(needed) + fetch_phase
    }
}

/// The cost of a query compared with other queries.
struct QueryCost {
    /// The cost of the sub-requests per value of the query, relative to the average. Queries of customers over their
    /// quota have a lower value and therefore a higher cost.
    relative: f64,
    /// Whether the query's customer is over its quota.
    is_over_quota: bool,
}

impl Coordinator {
    /// Returns why a query is rejected, or `None` if it is admitted. Also records the query in the admission
    /// statistics.
    pub(super) fn admission_rejection(&mut self, query_index: QueryIndex) -> Option<AbandonCause> {
        self.decay_admission_statistics();
        let delays = self.delay_estimate();
        let slowdown = self.shard_slowdown(self.open_query(query_index), &delays);
        self.record_size(query_index);
        let pressure = self.pressure(self.open_query(query_index), &delays, slowdown);
        let cost = self.query_cost(query_index);
        if self.rejects_as_late(pressure, &cost) {
            return Some(AbandonCause::ExpectedLate);
        }
        let limit_factor = self.limit_factor(&cost);
        self.is_saturated(self.open_query(query_index), limit_factor)
            .then_some(AbandonCause::Saturated)
    }

    /// Decides at random whether a query is rejected because it is expected late. The probability increases with the
    /// pressure and with the query's relative cost. No query is rejected where replicas keep their queues short,
    /// because no backlog delays its sub-requests there.
    fn rejects_as_late(&mut self, pressure: f64, cost: &QueryCost) -> bool {
        !self.config.bounded_queues
            && self.rng.rand_float() > pressure.powf(ADMISSION_EXPONENT * cost.relative)
    }

    /// Returns the factor on the limits on attempts in flight for a query.
    fn limit_factor(&self, cost: &QueryCost) -> f64 {
        if cost.is_over_quota {
            self.config
                .over_quota_value
                .max(MIN_OVER_QUOTA_LIMIT_FACTOR)
        } else if cost.relative < 1.0 {
            CHEAP_LIMIT_FACTOR
        } else {
            1.0
        }
    }

    fn decay_admission_statistics(&mut self) {
        let now = self.now;
        self.fleet.log_delays.decay(now, SHORT_TIME_CONSTANT);
        self.fleet.costs.decay(now, LONG_TIME_CONSTANT);
        for queries in &mut self.fleet.customer_queries {
            queries.decay(now, LONG_TIME_CONSTANT);
        }
    }

    fn record_size(&mut self, query_index: QueryIndex) {
        let query = self.open_query(query_index);
        let (SearchIndex(index), count) = (query.search_index, query.sub_requests.len() as f64);
        self.fleet.query_sizes[index].record(self.now, LONG_TIME_CONSTANT, count);
    }

    fn delay_estimate(&self) -> DelayEstimate {
        let log_delays = &self.fleet.log_delays;
        let Distribution { mean, deviation } =
            log_delays.distribution(MIN_WEIGHT).unwrap_or_default();
        // The weight of the observed delays against the prior.
        let observed = log_delays.weight / (log_delays.weight + PRIOR_DELAY_WEIGHT);
        let prior = (PRIOR_DELAY_SHARE * self.min_soft_deadline).ln();
        DelayEstimate {
            log_mean: observed * mean + (1.0 - observed) * prior,
            log_deviation: observed * deviation + (1.0 - observed) * PRIOR_LOG_DEVIATION,
        }
    }

    /// Returns how many times slower than the mean the query's slowest shard is. A shard is as slow as its fastest
    /// replica, because that replica's queue serves all queries that need the shard. Shards that a response may omit do
    /// not count.
    fn shard_slowdown(&self, query: &Query, delays: &DelayEstimate) -> f64 {
        let latency = |replica: ReplicaIndex| self.replicas[replica].expected_latency;
        let fastest_latency = |sub_request: &SubRequest| {
            let latencies = self.shard_replicas(query, sub_request).map(latency);
            latencies.min_by(f64::total_cmp)
        };
        let mut expected: Vec<f64> = query
            .sub_requests
            .iter()
            .filter_map(fastest_latency)
            .collect();
        expected.sort_by(f64::total_cmp);
        let min_share = self.index_config(query).min_share;
        let needed = to_count((min_share * expected.len() as f64).ceil());
        let slowdown = expected
            .get(needed.saturating_sub(1))
            .map_or(1.0, |latency| (latency / delays.log_mean.exp()).max(1.0));
        slowdown.powi(if self.config.reports_queue_depth {
            1
        } else {
            UNREPORTED_SLOWDOWN_POWER
        })
    }

    /// Returns the expected delay of the query as a share of the time available, or that of the worst search index if
    /// it is greater. Above 1 the query is expected late.
    fn pressure(&self, query: &Query, delays: &DelayEstimate, slowdown: f64) -> f64 {
        let count = query.sub_requests.len() as f64;
        // The client may stop waiting before the soft deadline; a response after that is useless.
        let end = query.soft_deadline.min(query.hard_deadline);
        let time_left = (end - self.now).max(1) as f64;
        let query_delay_share =
            delays.of_query(count, self.index_config(query)) * slowdown / time_left;
        let index_delay_share = |(size, index): (&DecayingSums, &IndexConfig)| {
            Some(delays.of_query(size.mean(MIN_WEIGHT)?, index) / index.soft_deadline as f64)
        };
        let indexes = self.fleet.query_sizes.iter().zip(&self.config.indexes);
        indexes
            .filter_map(index_delay_share)
            .fold(query_delay_share, f64::max)
            / MAX_DELAY_SHARE
    }

    /// Reports whether a customer recently sent clearly more than its share of the queries received here. The share is
    /// derived from the quotas and is not an absolute number of queries, so a customer does not exceed it when traffic
    /// moves here from another co-ordinator.
    fn is_over_quota(&self, customer: usize) -> bool {
        let (quotas, queries) = (&self.config.customer_quotas, &self.fleet.customer_queries);
        let total: f64 = queries.iter().map(|sums| sums.weight).sum();
        let queries_per_quota = total / quotas.iter().sum::<f64>().max(MIN_DIVISOR);
        quotas
            .get(customer)
            .zip(queries.get(customer))
            .is_some_and(|(quota, sums)| {
                total > MIN_QUERIES_FOR_QUOTAS
                    && sums.weight > OVER_QUOTA_FACTOR * queries_per_quota * quota
            })
    }

    fn query_cost(&mut self, query_index: QueryIndex) -> QueryCost {
        let is_over_quota = self.is_over_quota(self.open_query(query_index).customer);
        let mut relative = self.relative_cost(query_index);
        if is_over_quota {
            relative /= self.config.over_quota_value.max(MIN_OVER_QUOTA_VALUE);
        }
        QueryCost {
            relative,
            is_over_quota,
        }
    }

    /// Returns the cost of the query's sub-requests per value, relative to the average, and includes the query in that
    /// average.
    fn relative_cost(&mut self, query_index: QueryIndex) -> f64 {
        let query = self.open_query(query_index);
        let count = query.sub_requests.len() as f64;
        // If the value grows with the work, all queries have the same cost per value.
        let work = match self.config.value_growth {
            ValueGrowth::WithWork => 1.0,
            ValueGrowth::Constant => count,
        };
        let cost = work / self.index_config(query).value.max(MIN_DIVISOR);
        // A query has the weight of its number of sub-requests. Only the mean is used, so squares are not summed.
        let costs = &mut self.fleet.costs;
        costs.weight += count;
        costs.sum += count * cost;
        cost * costs.weight / costs.sum.max(MIN_DIVISOR)
    }

    /// Reports whether too many attempts are in flight from here, in total or at the replicas of a shard.
    fn is_saturated(&self, query: &Query, limit_factor: f64) -> bool {
        let pending: f64 = self.replicas.iter().map(Replica::pending).sum();
        pending >= limit_factor * self.fleet.max_in_flight
            || query
                .sub_requests
                .iter()
                .any(|sub_request| self.is_shard_saturated(query, sub_request, limit_factor))
    }

    /// Reports whether the pending attempts at a shard's replicas together exceed their limits, or each of these
    /// replicas reports a longer queue than it can serve sequentially within the shortest soft deadline.
    fn is_shard_saturated(
        &self,
        query: &Query,
        sub_request: &SubRequest,
        limit_factor: f64,
    ) -> bool {
        let lowest_median = self.fleet.lowest_median;
        let mut excess = 0.0;
        let mut shortest_queue = f64::INFINITY;
        for replica in self.shard_replicas(query, sub_request) {
            let replica = &self.replicas[replica];
            excess += replica.pending() - limit_factor * self.fleet.max_in_flight_per_replica;
            shortest_queue = replica
                .estimated_queue(self.now, REPORT_LIFETIME, lowest_median)
                .min(shortest_queue);
        }
        let max_queue = limit_factor * self.min_soft_deadline / lowest_median;
        excess > 0.0 || shortest_queue.is_finite() && shortest_queue > max_queue
    }
}
