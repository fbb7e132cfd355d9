//! Conversion of floating-point numbers and durations to integers: the only place for lossy conversions.
//!
//! Each conversion drops the fraction and clamps values outside the range of the integer.

use std::time::Duration;

use crate::interface::TenthMillis;

const MICROS_PER_TENTH: u64 = 100;

/// Converts a time in tenths of a millisecond to an integer; the fraction is dropped.
///
/// The range is that of [`TenthMillis`], about 29 million years either way: values outside it are clamped, and NaN
/// becomes 0.
#[allow(
    clippy::cast_possible_truncation,
    reason = "the fraction is to go; `as` saturates"
)]
pub fn to_tenth_millis(time: f64) -> TenthMillis {
    time as TenthMillis
}

/// Converts a non-negative number to an integer; the fraction is dropped.
///
/// The range is that of `u64`: negative numbers and NaN become 0, larger numbers become `u64::MAX`.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the fraction is to go; `as` saturates"
)]
pub fn to_u64(number: f64) -> u64 {
    number as u64
}

/// Converts a count to an integer; the fraction is dropped.
///
/// The range is that of `usize`: negative numbers and NaN become 0, larger numbers become `usize::MAX`.
pub fn to_count(number: f64) -> usize {
    usize::try_from(to_u64(number)).unwrap_or(usize::MAX)
}

/// Converts a duration to tenths of a millisecond; the fraction is dropped.
///
/// Durations that exceed the range of [`TenthMillis`] become `TenthMillis::MAX`.
pub fn duration_to_tenth_millis(duration: Duration) -> TenthMillis {
    let tenths = duration.as_micros() / u128::from(MICROS_PER_TENTH);
    TenthMillis::try_from(tenths).unwrap_or(TenthMillis::MAX)
}

/// Converts a time in tenths of a millisecond to a [`Duration`]; negative times become zero.
pub fn tenth_millis_to_duration(tenths: TenthMillis) -> Duration {
    let tenths = u64::try_from(tenths).unwrap_or(0);
    Duration::from_micros(tenths.saturating_mul(MICROS_PER_TENTH))
}
