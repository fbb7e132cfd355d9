//! Numeric conversions between counts, simulated times and floating-point numbers.

use linenthread_core::interface::TenthMillis;
use linenthread_zones::ZoneIndex;

/// One second of simulated time.
pub(crate) const SECOND: TenthMillis = 10_000;

/// Converts a count. Counts above 2^53 lose their last digits; no printed number is that precise.
pub(crate) fn to_f64(count: usize) -> f64 {
    count as f64
}

/// Converts a simulated time, in tenths of a millisecond. `TenthMillis::MAX`, which means never, stays the largest.
pub(crate) fn time_to_f64(time: TenthMillis) -> f64 {
    time as f64
}

/// Converts tenths of a millisecond to a simulated time. Truncates the fraction and saturates at the bounds of the
/// type.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the fraction is to be cut off; the conversion saturates"
)]
pub(crate) fn time_from_f64(tenth_millis: f64) -> TenthMillis {
    tenth_millis as TenthMillis
}

/// Converts a simulated time to seconds.
pub(crate) fn seconds(time: TenthMillis) -> f64 {
    time_to_f64(time) / time_to_f64(SECOND)
}

/// Truncates a number to an integer. Negative numbers give 0; numbers too large saturate.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the fraction is to be cut off; the conversion saturates"
)]
pub(crate) fn truncate_to_u32(figure: f64) -> u32 {
    figure as u32
}

/// Returns the index of a quantile in a sorted list of this length; a quantile of 1 gives the length itself.
pub(crate) fn quantile_index(length: usize, share: f64) -> usize {
    to_usize(u64::from(truncate_to_u32(to_f64(length) * share)))
}

/// Converts a length.
pub(crate) fn to_u64(length: usize) -> u64 {
    u64::try_from(length).expect("a length has at most 64 bits")
}

/// Converts a count to an index.
pub(crate) fn to_usize(count: u64) -> usize {
    usize::try_from(count).expect("the count fits into a usize")
}

/// Converts a length that is known to be small.
pub(crate) fn to_u32(length: usize) -> u32 {
    u32::try_from(length).expect("the length is below 2^32")
}

/// Converts the index of a zone to the type that reports use.
pub(crate) fn zone_index(zone: usize) -> ZoneIndex {
    ZoneIndex::new(zone).expect("the index is within the limit of zones")
}

/// Returns `part` as a percentage of `all`; 0 if both are 0.
pub(crate) fn percent(part: usize, all: usize) -> f64 {
    100.0 * to_f64(part) / to_f64(all.max(1))
}

/// Returns a percentile of sorted times, in seconds; 0 if there are none.
pub(crate) fn percentile_seconds(sorted: &[TenthMillis], percent: usize) -> f64 {
    let time = sorted.get(sorted.len() * percent / 100);
    time.map_or(0.0, |time| seconds(*time))
}
