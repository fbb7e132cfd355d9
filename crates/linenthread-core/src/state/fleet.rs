//! Statistics over all replicas and queries.

use super::{DecayingSums, HedgeShare, WindowCounter};

/// What was observed of all replicas and queries together.
#[derive(Default)]
pub(crate) struct FleetStatistics {
    /// Logarithms of response times, in tenths of a millisecond, over all replicas.
    pub log_latencies: DecayingSums,
    /// Logarithms of the time from a sub-request's first attempt to its end; a rejected one counts as a whole
    /// soft deadline.
    pub log_delays: DecayingSums,
    /// Number of sub-requests of a query, for each index.
    pub query_sizes: Vec<DecayingSums>,
    /// What sub-requests cost for the value of their query.
    pub costs: DecayingSums,
    /// Queries that arrived from each customer.
    pub customer_queries: Vec<DecayingSums>,
    /// Replicas that went down unannounced.
    pub crashes: DecayingSums,
    /// Queries and sub-requests accepted.
    pub accepted: WindowCounter,
    /// Attempts beyond the first of their sub-request.
    pub retries: WindowCounter,
    /// How many recent attempts were hedged requests.
    pub hedge_share: HedgeShare,
    /// 1 for each probe that ended after it was no longer waited for, 0 for the others.
    pub late_probes: DecayingSums,
    /// 1 for each attempt that came to nothing, 0 for each success, on connections that had been idle.
    pub idle_connection_failures: DecayingSums,
    /// The same on connections that had not been idle.
    pub active_connection_failures: DecayingSums,
    /// The smoothed weight of recent responses.
    pub response_weight: f64,
    /// The time constant, in tenths of a millisecond, with which observations of replicas decay.
    pub time_constant: f64,
    /// The lowest recent median response time, in tenths of a millisecond.
    pub lowest_median: f64,
    /// Sub-requests that a warm replica can serve from here within the slow-start window.
    pub warm_capacity: f64,
    /// Attempts that are sent to a replica within the slow-start window, on average.
    pub sent_per_window: f64,
    /// Attempts that may be in flight at one replica before it counts as saturated.
    pub max_in_flight_per_replica: f64,
    /// Attempts that may be in flight at all replicas together.
    pub max_in_flight: f64,
}

impl FleetStatistics {
    /// No observation yet, and no limit.
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
