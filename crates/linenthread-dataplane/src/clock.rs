//! The monotonic clock of a thread, which starts when it is first read.
//!
//! It is based on tokio's clock, so it stops and advances with a paused runtime.

use std::cell::Cell;
use std::time::Duration;

use linenthread_core::conversion::{duration_to_tenth_millis, to_tenth_millis};
use linenthread_core::interface::TenthMillis;
use linenthread_time::{Instant, whole_millis};

pub(crate) use linenthread_core::conversion::tenth_millis_to_duration;

/// The reading of the clock at its start, in milliseconds. Not 0, so that durations can be subtracted from early
/// readings.
const START_MS: u64 = 1_000_000;
/// Time units of the decision module per millisecond.
const TENTHS_PER_MS: f64 = 10.0;
/// [`START_MS`] in the time unit of the decision module.
const START_TENTHS: TenthMillis = 10_000_000;

thread_local! {
    static START: Cell<Option<tokio::time::Instant>> = const { Cell::new(None) };
}

fn start() -> tokio::time::Instant {
    START.get().unwrap_or_else(|| {
        let now = tokio::time::Instant::now();
        START.set(Some(now));
        now
    })
}

/// Restarts the clock; for simulations, each of which has its own clock.
pub fn restart() {
    START.set(Some(tokio::time::Instant::now()));
}

/// Returns how long this thread's clock has been running: approximately the age of the process.
pub fn uptime() -> Duration {
    start().elapsed()
}

/// Returns the current time.
pub fn now() -> Instant {
    Instant::from_millis(START_MS + whole_millis(uptime()))
}

/// Converts a time to [`std::time::Instant`]; times before the clock's start become its start.
pub fn to_std(at: Instant) -> std::time::Instant {
    start().into_std() + at.since(Instant::from_millis(START_MS))
}

/// Returns the current time in the unit of the decision module, tenths of a millisecond.
pub fn now_tenth_millis() -> TenthMillis {
    to_tenth_millis_at(tokio::time::Instant::now())
}

/// Converts a time of tokio's clock to the unit of the decision module.
pub(crate) fn to_tenth_millis_at(at: tokio::time::Instant) -> TenthMillis {
    START_TENTHS + duration_to_tenth_millis(at.saturating_duration_since(start()))
}

/// Converts a time of the decision module to the clock that [`now`] reads; times before the clock's start become its
/// start.
pub(crate) fn from_tenth_millis(at: TenthMillis) -> Instant {
    let since_start = tenth_millis_to_duration(at - START_TENTHS);
    Instant::from_millis(START_MS) + since_start
}

/// Converts a time of the decision module to [`std::time::Instant`]; times before the clock's start become its start.
pub(crate) fn tenth_millis_to_std(at: TenthMillis) -> std::time::Instant {
    start().into_std() + tenth_millis_to_duration(at - START_TENTHS)
}

/// Converts milliseconds of a configuration to the unit of the decision module. Drops the fraction and saturates, as
/// [`to_tenth_millis`] does.
pub(crate) fn ms_to_tenth_millis(ms: f64) -> TenthMillis {
    to_tenth_millis(ms * TENTHS_PER_MS)
}
