//! Constants shared by several decisions. Times are in tenths of a millisecond.

use crate::interface::TenthMillis;

/// The interval between updates of the scores.
///
/// Unit: 0.1 ms (5 ms). Reason: far below a response time, so decisions are based on current scores.
pub(super) const SCORE_INTERVAL: TenthMillis = 50;

/// The interval at which observations of replicas are cleared.
///
/// Unit: 0.1 ms (10 s). Reason: a replica that is avoided is not observed, so without a reset it would stay avoided.
pub(super) const RESET_INTERVAL: TenthMillis = 100_000;

/// The decay time constant of short-term observations; an observation loses most of its weight within this time.
///
/// Unit: 0.1 ms (3 s). Reason: long enough to estimate a spread, short enough to follow a fault.
pub(super) const SHORT_TIME_CONSTANT: f64 = 30_000.0;

/// The decay time constant of values compared over a longer time, such as the queries of each customer.
///
/// Unit: 0.1 ms (9 s). Reason: a single customer or search index has too few queries within `SHORT_TIME_CONSTANT`.
pub(super) const LONG_TIME_CONSTANT: f64 = 3.0 * SHORT_TIME_CONSTANT;

/// The decay time constant of crashes and connection failures.
///
/// Unit: 0.1 ms (20 s). Reason: these are rare, and detecting them again costs replicas.
pub(super) const CRASH_TIME_CONSTANT: f64 = 200_000.0;

/// The decayed weight up to which a value counts as not observed.
///
/// Unit: observations. Reason: a mean of a few decayed observations says nothing about the current state.
pub(super) const MIN_WEIGHT: f64 = 0.1;

/// The approximate number of responses of each replica that are retained.
///
/// Unit: responses. Reason: retention by number keeps as many responses for a replica with little traffic.
pub(super) const RETAINED_RESPONSES: f64 = 6.0;

/// The age up to which a replica's report is considered fresh, and the decay time constant of the report.
///
/// Unit: 0.1 ms (1 s). Reason: the queue in an older report has mostly been served.
pub(super) const REPORT_LIFETIME: f64 = 10_000.0;

/// The time after which a probe is late and no longer waited for.
///
/// Unit: 0.1 ms (25 ms). Reason: a query's first attempts may wait for probes, which may cost only a small part of a
/// deadline.
pub(super) const PROBE_TIMEOUT: TenthMillis = 250;

/// The maximum rounding error of a sum of sub-requests' weights.
///
/// Unit: share of a query's weight. Reason: weights arrive as rounded shares, so all of them may sum to less than 1.
pub(super) const WEIGHT_ROUNDING: f64 = 0.0001;

/// The number of standard deviations above the mean at which a response time is slow.
///
/// Unit: standard deviations of the logarithm. Reason: about one response in forty takes longer.
pub(super) const SLOW_DEVIATIONS: f64 = 2.0;
