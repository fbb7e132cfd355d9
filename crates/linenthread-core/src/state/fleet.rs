//! Statistics over all replicas and queries.

use super::{DecayingSums, HedgeShare, WindowCounter};

/// Observations of all replicas and queries together, and the limits derived from them.
#[derive(Default)]
pub(crate) struct FleetStatistics {
    /// Logarithms of response times, in tenths of a millisecond, over all replicas.
    pub log_latencies: DecayingSums,
    /// Logarithms of the time from a sub-request's first attempt to its end; a rejection counts as a full soft
    /// deadline.
    pub log_delays: DecayingSums,
    /// Number of sub-requests per query, by search index.
    pub query_sizes: Vec<DecayingSums>,
    /// Cost of sub-requests relative to the value of their query.
    pub costs: DecayingSums,
    /// Queries received, by customer.
    pub customer_queries: Vec<DecayingSums>,
    /// 1 for each replica that crashed according to a probe or left without draining, 0 for each suspected crash that a
    /// probe disproved.
    pub crashes: DecayingSums,
    /// Queries and sub-requests accepted.
    pub accepted: WindowCounter,
    /// Attempts beyond the first of their sub-request.
    pub retries: WindowCounter,
    /// The share of hedged requests among recent attempts.
    pub hedge_share: HedgeShare,
    /// 1 for each probe that ended after its timeout, 0 for each other probe.
    pub late_probes: DecayingSums,
    /// 1 for each attempt on an idle connection that failed because of the connection, or that was slow and ended
    /// without a response; 0 for each success.
    pub idle_connection_failures: DecayingSums,
    /// The same for connections that had not been idle.
    pub active_connection_failures: DecayingSums,
    /// The smoothed decayed number of recent responses.
    pub response_weight: f64,
    /// The decay time constant of observations of replicas, in tenths of a millisecond.
    pub time_constant: f64,
    /// The lowest recent median response time, in tenths of a millisecond.
    pub lowest_median: f64,
    /// Sub-requests that a warm replica can serve for this co-ordinator within the slow-start window.
    pub warm_capacity: f64,
    /// The average number of attempts sent to a replica within the slow-start window.
    pub sent_per_window: f64,
    /// Attempts in flight above which a replica counts as saturated.
    pub max_in_flight_per_replica: f64,
    /// The limit on attempts in flight at all replicas together.
    pub max_in_flight: f64,
}

impl FleetStatistics {
    /// Returns statistics without observations or limits.
    pub(crate) fn new(customer_count: usize, time_constant: f64) -> FleetStatistics {
        FleetStatistics {
            customer_queries: vec![DecayingSums::default(); customer_count],
            time_constant,
            lowest_median: f64::INFINITY,
            max_in_flight_per_replica: f64::INFINITY,
            max_in_flight: f64::INFINITY,
            ..FleetStatistics::default()
        }
    }
}
