//! Wall-clock times. State machines receive them from their driver and never read a clock.

use std::fmt;
use std::time::Duration;

use crate::Instant;

/// A wall-clock time, in whole milliseconds since the start of 1970 (UTC, without leap seconds).
///
/// The clock that it was read from may be wrong and may jump; [`ClockOffset`] relates it to a monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates the time `millis` milliseconds after the start of 1970.
    pub const fn from_millis(millis: u64) -> WallTime {
        WallTime(millis)
    }

    /// Returns the milliseconds since the start of 1970.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

/// Formats the milliseconds with their unit.
impl fmt::Display for WallTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}

/// The difference between the wall-clock time and one process's monotonic clock, in milliseconds.
///
/// Offsets of two processes are not comparable, since their monotonic clocks start at different times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClockOffset(i64);

impl ClockOffset {
    /// Returns the offset of a clock pair that was read at the same time: `now` on the monotonic clock and `wall` on
    /// the wall clock.
    pub fn between(now: Instant, wall: WallTime) -> ClockOffset {
        ClockOffset(signed(wall.0).saturating_sub(signed(now.as_millis())))
    }

    /// Returns the wall-clock time at `now`, or the start of 1970 if it would be earlier.
    pub fn wall_time(self, now: Instant) -> WallTime {
        let millis = signed(now.as_millis()).saturating_add(self.0);
        WallTime(u64::try_from(millis).unwrap_or(0))
    }

    /// Returns the absolute difference of two offsets of one process.
    pub const fn difference(self, other: ClockOffset) -> Duration {
        Duration::from_millis(self.0.abs_diff(other.0))
    }
}

/// Converts to a signed number, saturating at [`i64::MAX`].
fn signed(millis: u64) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}
