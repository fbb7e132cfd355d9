//! Durations of the settings in the unit of the decision module's time.

use std::time::Duration;

use linenthread_core::interface::TenthMillis;

/// The duration in tenths of a millisecond, rounded down to a whole millisecond.
pub(crate) fn tenth_millis(duration: Duration) -> TenthMillis {
    TenthMillis::try_from(duration.as_millis()).unwrap_or(TenthMillis::MAX / 10) * 10
}
