//! Conversions of lengths of time.

use linenthread_core::interface::TenthMillis;

/// Tenths of a millisecond in a millisecond, the unit of deadlines on the wire.
const TENTHS_PER_MS: u32 = 10;

/// A positive length of time in whole milliseconds, as frames give it: rounded up, so that it does not become 0.
pub(crate) fn to_wire_millis(length: TenthMillis) -> u32 {
    let millis = u64::try_from(length)
        .unwrap_or(0)
        .div_ceil(u64::from(TENTHS_PER_MS));
    u32::try_from(millis).unwrap_or(u32::MAX)
}

/// A length of time that a frame gives in milliseconds.
pub(crate) fn from_wire_millis(millis: u32) -> TenthMillis {
    TenthMillis::from(millis) * TenthMillis::from(TENTHS_PER_MS)
}
