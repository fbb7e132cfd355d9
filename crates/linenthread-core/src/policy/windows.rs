//! Constants that several decisions share. Times are in tenths of a millisecond.

use crate::interface::TenthMillis;

/// Scores are updated this often.
pub(super) const SCORE_INTERVAL: TenthMillis = 50;

/// Observations of replicas are forgotten this often, so that each replica gets a fair chance again.
pub(super) const RESET_INTERVAL: TenthMillis = 100_000;

/// The time constant of recent observations: within it, one loses most of its weight.
pub(super) const RECENT: f64 = 30_000.0;

/// The time constant of what is compared over a longer time, such as the queries of each customer.
pub(super) const LONG_TERM: f64 = 3.0 * RECENT;

/// The time constant with which crashes and failures of connections are remembered.
pub(super) const CRASH_MEMORY: f64 = 200_000.0;

/// With less weight than this left, nothing counts as observed.
pub(super) const MIN_WEIGHT: f64 = 0.1;

/// About so many responses of a replica are remembered.
pub(super) const REMEMBERED_RESPONSES: f64 = 6.0;

/// The age up to which a report of a replica is fresh, and the time constant with which it decays.
pub(super) const FRESH_REPORT: f64 = 10_000.0;

/// A probe is waited for this long.
pub(super) const PROBE_TIMEOUT: TenthMillis = 250;

/// The weights of sub-requests are rounded shares: sums of them are exact up to this.
pub(super) const WEIGHT_ROUNDING: f64 = 0.0001;

/// A response time this many standard deviations above the mean is slow: few take longer.
pub(super) const SLOW_DEVIATIONS: f64 = 2.0;
