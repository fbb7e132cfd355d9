//! Instants of a process's monotonic clock, and wall-clock times, which drivers pass to state machines.
//!
//! State machines read no clock: their driver passes the current time as an [`Instant`], and durations are
//! [`std::time::Duration`]. A simulation creates its own instants; only the daemons derive them from the operating
//! system's clock. The wall-clock time ([`WallTime`]) decides only to which window of usage reports
//! ([`WindowNumber`]) an instant belongs.

mod wall;
mod window;

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

pub use wall::{ClockOffset, WallTime};
pub use window::{WindowLength, WindowNumber};

/// A point in time on one process's monotonic clock, in whole milliseconds since a start that the process chose.
///
/// Instants of two processes are not comparable, and none is a wall-clock time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// The start of the clock: no instant is earlier.
    pub const START: Instant = Instant(0);
    /// Later than every instant that a clock reaches. Used as the deadline of something that has none.
    pub const NEVER: Instant = Instant(u64::MAX);

    /// Creates the instant `millis` milliseconds after the clock's start.
    pub const fn from_millis(millis: u64) -> Instant {
        Instant(millis)
    }

    /// Returns the milliseconds since the clock's start.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if this instant is not later.
    pub const fn since(self, earlier: Instant) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the instant that is earlier by `duration`, but not before the clock's start.
    pub fn saturating_sub(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_sub(whole_millis(duration)))
    }
}

/// Saturates at [`Instant::NEVER`].
impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_add(whole_millis(duration)))
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

/// Returns zero if the right-hand side is later, like [`Instant::since`].
impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Instant) -> Duration {
        self.since(earlier)
    }
}

/// Formats the milliseconds with their unit.
impl fmt::Display for Instant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}

/// Returns the whole milliseconds of a duration, saturating at [`u64::MAX`]. For messages and log lines that contain a
/// duration as a number.
pub fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
