//! Floating-point numbers and durations as integers: the one place where a conversion may lose something.
//!
//! Each drops the fraction, and takes what lies beyond the integer's range as the nearest integer within it.

use std::time::Duration;

use crate::interface::TenthMillis;

/// Microseconds in a tenth of a millisecond.
const MICROS_PER_TENTH: u64 = 100;

/// A time in tenths of a millisecond, its fraction dropped.
///
/// The range is that of [`TenthMillis`], about 29 million years either way: longer times become the longest one, and
/// what is not a number becomes 0.
#[allow(
    clippy::cast_possible_truncation,
    reason = "the fraction is to go; `as` saturates"
)]
pub fn to_tenth_millis(time: f64) -> TenthMillis {
    time as TenthMillis
}

/// A number from 0 on, its fraction dropped.
///
/// The range is that of `u64`: negative numbers and what is not a number become 0, larger ones the largest.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the fraction is to go; `as` saturates"
)]
pub fn to_u64(number: f64) -> u64 {
    number as u64
}

/// A count, its fraction dropped.
///
/// The range is that of `usize`: negative numbers and what is not a number become 0, larger ones the largest.
pub fn to_count(number: f64) -> usize {
    usize::try_from(to_u64(number)).unwrap_or(usize::MAX)
}

/// A length of time in tenths of a millisecond, its fraction dropped.
///
/// The longest [`Duration`]s are longer than [`TenthMillis`] can say, and become the longest one.
pub fn duration_to_tenth_millis(duration: Duration) -> TenthMillis {
    let tenths = duration.as_micros() / u128::from(MICROS_PER_TENTH);
    TenthMillis::try_from(tenths).unwrap_or(TenthMillis::MAX)
}

/// A length of time in tenths of a millisecond as a [`Duration`]; zero if it is negative.
pub fn tenth_millis_to_duration(tenths: TenthMillis) -> Duration {
    let tenths = u64::try_from(tenths).unwrap_or(0);
    Duration::from_micros(tenths.saturating_mul(MICROS_PER_TENTH))
}
