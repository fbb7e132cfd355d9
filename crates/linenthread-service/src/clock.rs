//! The steady clock of the coordinator: tenths of a millisecond, monotonic.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use linenthread_core::interface::TenthMillis;
use tokio::time::Instant;

/// The reading at the program's start: one hour, so that 0 lies far in the past.
const EPOCH: TenthMillis = 36_000_000;

/// Microseconds in one unit of the coordinator's time.
const MICROS_PER_TENTH: u64 = 100;

/// Units of the coordinator's time in one millisecond.
const TENTHS_PER_MILLI: f64 = 10.0;

/// A span of the coordinator's time; a negative one is zero.
pub(crate) fn to_duration(tenths: TenthMillis) -> Duration {
    let tenths = u64::try_from(tenths).unwrap_or(0);
    Duration::from_micros(tenths.saturating_mul(MICROS_PER_TENTH))
}

/// A duration in the coordinator's unit, rounded down.
pub(crate) fn to_tenths(duration: Duration) -> TenthMillis {
    let tenths = duration.as_micros() / u128::from(MICROS_PER_TENTH);
    TenthMillis::try_from(tenths).unwrap_or(TenthMillis::MAX)
}

/// A span of the coordinator's time in milliseconds, with its fraction.
pub(crate) fn to_millis(tenths: TenthMillis) -> f64 {
    tenths as f64 / TENTHS_PER_MILLI
}

/// A duration in whole milliseconds, rounded up: a time-out as the wire has it.
pub(crate) fn to_millis_ceil(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}

/// Monotonic time in the coordinator's unit, with the system's time at the start for conversions.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    unix_ms: f64,
}

impl Clock {
    /// Starts the clock.
    pub(crate) fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix_ms: unix.as_secs_f64() * 1000.0,
        }
    }

    /// The current reading.
    pub(crate) fn now(&self) -> TenthMillis {
        EPOCH + to_tenths(self.start.elapsed())
    }

    /// The runtime's instant of a reading.
    pub(crate) fn at(&self, reading: TenthMillis) -> Instant {
        self.start + to_duration(reading - EPOCH)
    }

    /// The reading at a system time, given in milliseconds since 1970.
    pub(crate) fn at_unix(&self, unix_ms: f64) -> TenthMillis {
        EPOCH + round((unix_ms - self.unix_ms) * TENTHS_PER_MILLI)
    }
}

/// The nearest whole number of the coordinator's unit.
#[expect(
    clippy::cast_possible_truncation,
    reason = "it is rounded; the cast saturates, and times that anybody means are far below its limits"
)]
fn round(tenths: f64) -> TenthMillis {
    tenths.round() as TenthMillis
}
