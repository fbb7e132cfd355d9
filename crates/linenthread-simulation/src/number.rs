//! Conversions between counts, simulated times and figures, in one place.

use linenthread_core::interface::TenthMillis;
use linenthread_zones::ZoneIndex;

/// A second of simulated time.
pub(crate) const SECOND: TenthMillis = 10_000;

/// A count as a figure. Beyond 2^53 its last digits are lost, which no figure shows.
pub(crate) fn float(count: usize) -> f64 {
    count as f64
}

/// A simulated time as a figure, in tenths of a millisecond; one that is never stays larger than all others.
pub(crate) fn float_of_time(time: TenthMillis) -> f64 {
    time as f64
}

/// A figure as a simulated time: what follows the point is cut off, and so is what no time can be.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the fraction is to be cut off; the conversion saturates"
)]
pub(crate) fn time(tenth_millis: f64) -> TenthMillis {
    tenth_millis as TenthMillis
}

/// A simulated time in seconds.
pub(crate) fn seconds(time: TenthMillis) -> f64 {
    float_of_time(time) / float_of_time(SECOND)
}

/// A figure as a count: what follows the point is cut off, and what is below 0 is 0.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the fraction is to be cut off; the conversion saturates"
)]
pub(crate) fn truncated(figure: f64) -> u32 {
    figure as u32
}

/// The position at a share of a sorted list's length; the length itself at a share of 1.
pub(crate) fn position(length: usize, share: f64) -> usize {
    index(u64::from(truncated(float(length) * share)))
}

/// A length as a count.
pub(crate) fn count(length: usize) -> u64 {
    u64::try_from(length).expect("a length has at most 64 bits")
}

/// A count as an index.
pub(crate) fn index(count: u64) -> usize {
    usize::try_from(count).expect("an index fits the machine")
}

/// A length as a small count.
pub(crate) fn small(length: usize) -> u32 {
    u32::try_from(length).expect("fewer than 2^32")
}

/// The index of a zone as reports have it.
pub(crate) fn zone_index(zone: usize) -> ZoneIndex {
    ZoneIndex::new(zone).expect("few zones")
}

/// What part of all so many are, in percent; 0 of none.
pub(crate) fn percent(part: usize, all: usize) -> f64 {
    100.0 * float(part) / float(all.max(1))
}

/// A percentile of sorted times, in seconds; 0 if there are none.
pub(crate) fn percentile_seconds(sorted: &[TenthMillis], percent: usize) -> f64 {
    let time = sorted.get(sorted.len() * percent / 100);
    time.map_or(0.0, |time| seconds(*time))
}
