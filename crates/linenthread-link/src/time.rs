//! Conversions between durations and their wire format.

use linenthread_core::interface::TenthMillis;

/// Tenths of a millisecond per millisecond; durations on the wire are in milliseconds.
const TENTHS_PER_MS: u32 = 10;

/// Converts a positive duration to the whole milliseconds used in frames, rounded up so that it does not become 0.
pub(crate) fn to_wire_millis(duration: TenthMillis) -> u32 {
    let millis = u64::try_from(duration)
        .unwrap_or(0)
        .div_ceil(u64::from(TENTHS_PER_MS));
    u32::try_from(millis).unwrap_or(u32::MAX)
}

/// Converts a duration in milliseconds, as used in frames, to tenths of a millisecond.
pub(crate) fn from_wire_millis(millis: u32) -> TenthMillis {
    TenthMillis::from(millis) * TenthMillis::from(TENTHS_PER_MS)
}
