//! The monotonic clock of the coordinator, in tenths of a millisecond.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use linenthread_core::interface::TenthMillis;
use tokio::time::Instant;

pub(crate) use linenthread_core::conversion::{
    duration_to_tenth_millis as to_tenths, tenth_millis_to_duration as to_duration,
};

/// The clock's reading when it starts: one hour, so that 0 is far in the past.
const EPOCH: TenthMillis = 36_000_000;

const TENTHS_PER_MILLI: f64 = 10.0;

/// Converts tenths of a millisecond to milliseconds, with the fraction.
pub(crate) fn to_millis(tenths: TenthMillis) -> f64 {
    tenths as f64 / TENTHS_PER_MILLI
}

/// Converts a duration to whole milliseconds, rounded up, for time-outs in messages.
pub(crate) fn to_millis_ceil(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}

/// A monotonic clock in tenths of a millisecond. It records the system time of its start, to convert system times to
/// its readings.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    start_unix_ms: f64,
}

impl Clock {
    pub(crate) fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            start_unix_ms: unix.as_secs_f64() * 1000.0,
        }
    }

    /// Returns the current reading.
    pub(crate) fn now(&self) -> TenthMillis {
        EPOCH + to_tenths(self.start.elapsed())
    }

    /// Converts a reading to an instant of the runtime.
    pub(crate) fn at(&self, reading: TenthMillis) -> Instant {
        self.start + to_duration(reading - EPOCH)
    }

    /// Converts a system time, in milliseconds since the Unix epoch, to a reading.
    pub(crate) fn at_unix(&self, unix_ms: f64) -> TenthMillis {
        EPOCH + round((unix_ms - self.start_unix_ms) * TENTHS_PER_MILLI)
    }
}

/// Rounds to the nearest tenth of a millisecond.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the value is rounded; the cast saturates, and realistic times are far below its limits"
)]
fn round(tenths: f64) -> TenthMillis {
    tenths.round() as TenthMillis
}
