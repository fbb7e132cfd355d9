//! Selection among several links to the same replica.
//!
//! The criteria are properties of the link and the same for all replicas behind it: whether it is usable, its latency,
//! and how much of its credit is in use. A call is sent on the link with the lowest expected cost. The link selected
//! last is kept while its cost is at most 1.25 times the lowest, so that calls don't alternate between two equal links.
//! If several servers list the same replica, the most conservative of their values apply.

use linenthread_core::interface::{Phase, TenthMillis};

use crate::frame::Member;

/// A link's state, as input to [`select_link`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkStatus {
    /// Whether the link accepts calls: it is ready, or was ready within the grace period.
    pub is_usable: bool,
    /// The one-way latency in tenths of a millisecond; 0 while unknown.
    pub one_way_latency: TenthMillis,
    /// The number of pending calls.
    pub in_flight: u64,
    /// The maximum number of pending calls.
    pub capacity: u64,
}

/// The link selected last is kept while its cost is at most this multiple of the lowest.
const STICKINESS: f64 = 1.25;
/// Added to each link's latency, in tenths of a millisecond, so that much smaller differences have little effect.
const LATENCY_FLOOR: f64 = 5.0;
/// Utilization is capped at this value, so that the cost of a full link stays finite.
const MAX_UTILIZATION: f64 = 0.95;

/// Estimates the cost of a call on a link: the latency, multiplied by a factor that grows with the utilization.
fn cost(status: &LinkStatus) -> f64 {
    let utilization = status.in_flight as f64 / status.capacity.max(1) as f64;
    (status.one_way_latency as f64 + LATENCY_FLOOR) * (1.0 + utilization)
        / (1.0 - utilization.min(MAX_UTILIZATION))
}

/// Selects one of the links to a replica; `None` if no link is usable and has capacity.
///
/// `status` returns the state of a link by its number; `last` is the link selected last.
pub fn select_link(
    links: &[usize],
    status: impl Fn(usize) -> Option<LinkStatus>,
    last: Option<usize>,
) -> Option<usize> {
    let available: Vec<(usize, f64)> = links
        .iter()
        .filter_map(|&link| {
            let status = status(link).filter(|s| s.is_usable && s.in_flight < s.capacity)?;
            Some((link, cost(&status)))
        })
        .collect();
    let (best, lowest) = available
        .iter()
        .copied()
        .min_by(|a, b| a.1.total_cmp(&b.1))?;
    let sticky = available
        .iter()
        .find(|(link, cost)| Some(*link) == last && *cost <= lowest * STICKINESS);
    Some(sticky.map_or(best, |(link, _)| *link))
}

/// Merges the reports of several servers about the same replica: it is draining if one report says so, and the lowest
/// age and the lowest share of its slow-start budget apply. `None` if all report it as removed.
pub fn merge_reports<'m>(reports: impl Iterator<Item = &'m Member>) -> Option<Member> {
    reports
        .filter(|report| report.phase != Phase::Removed)
        .cloned()
        .reduce(|mut merged, report| {
            if report.phase == Phase::Draining {
                merged.phase = Phase::Draining;
            }
            merged.age_ms = match (merged.age_ms, report.age_ms) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            };
            merged.slow_start_share = merged.slow_start_share.min(report.slow_start_share);
            merged
        })
}
