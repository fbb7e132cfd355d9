//! Constants that several decisions share. Times are in tenths of a millisecond.

use crate::interface::TenthMillis;

/// The time from one update of the scores to the next.
///
/// Unit: 0.1 ms (5 ms). Reason: far below a response time, so decisions rest on current scores.
pub(super) const SCORE_INTERVAL: TenthMillis = 50;

/// The time after which observations of replicas are forgotten.
///
/// Unit: 0.1 ms (10 s). Reason: a replica that is avoided is not observed, so without a reset it would stay avoided.
pub(super) const RESET_INTERVAL: TenthMillis = 100_000;

/// The time constant of recent observations: within it, one loses most of its weight.
///
/// Unit: 0.1 ms (3 s). Reason: long enough to estimate a spread, short enough to follow a fault.
pub(super) const RECENT: f64 = 30_000.0;

/// The time constant of what is compared over a longer time, such as the queries of each customer.
///
/// Unit: 0.1 ms (9 s). Reason: a single customer or index has too few queries within `RECENT`.
pub(super) const LONG_TERM: f64 = 3.0 * RECENT;

/// The time constant with which crashes and failures of connections are remembered.
///
/// Unit: 0.1 ms (20 s). Reason: these are rare, and acting on them again costs replicas.
pub(super) const CRASH_MEMORY: f64 = 200_000.0;

/// With less weight than this left, nothing counts as observed.
///
/// Unit: observations. Reason: a mean of a few old remainders says nothing of the present.
pub(super) const MIN_WEIGHT: f64 = 0.1;

/// How many responses of a replica are remembered, about.
///
/// Unit: responses. Reason: a memory by number holds as much where a replica is seen seldom.
pub(super) const REMEMBERED_RESPONSES: f64 = 6.0;

/// The age up to which a report of a replica is fresh, and the time constant with which it decays.
///
/// Unit: 0.1 ms (1 s). Reason: the queue that an older report told of has mostly been served.
pub(super) const FRESH_REPORT: f64 = 10_000.0;

/// The time for which a probe is waited for.
///
/// Unit: 0.1 ms (25 ms). Reason: a query's first attempts may wait for it, so it has to be a small part of a deadline.
pub(super) const PROBE_TIMEOUT: TenthMillis = 250;

/// How far a sum of sub-requests' weights may be from exact.
///
/// Unit: share of a query's weight. Reason: weights arrive as rounded shares, so all of them may sum to less than 1.
pub(super) const WEIGHT_ROUNDING: f64 = 0.0001;

/// A response time this many standard deviations above the mean is slow.
///
/// Unit: standard deviations of the logarithm. Reason: about one response in forty takes longer.
pub(super) const SLOW_DEVIATIONS: f64 = 2.0;
