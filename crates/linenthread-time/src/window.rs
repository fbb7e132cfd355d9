//! Windows of wall-clock time: window `k` starts `k` window lengths after the start of 1970.

use std::fmt;
use std::time::Duration;

use crate::{WallTime, whole_millis};

/// The length of each window: whole milliseconds, at least 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WindowLength(Duration);

impl WindowLength {
    /// Rounds `length` down to whole milliseconds, but at least 1.
    pub fn new(length: Duration) -> WindowLength {
        WindowLength(Duration::from_millis(whole_millis(length).max(1)))
    }

    /// Returns the length in milliseconds, at least 1.
    pub fn as_millis(self) -> u64 {
        whole_millis(self.0)
    }
}

/// The number of a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WindowNumber(u64);

impl WindowNumber {
    /// Wraps a number that [`WindowNumber::get`] returned, for instance from a message.
    pub const fn new(number: u64) -> WindowNumber {
        WindowNumber(number)
    }

    /// Returns the number as it is sent in messages.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the window that contains `moment`.
    pub fn containing(moment: WallTime, length: WindowLength) -> WindowNumber {
        WindowNumber(moment.as_millis() / length.as_millis())
    }

    /// Returns the window after this one.
    #[must_use]
    pub const fn next(self) -> WindowNumber {
        WindowNumber(self.0.saturating_add(1))
    }

    /// Returns the end of the window, exclusive: the start of the next one.
    pub fn end(self, length: WindowLength) -> WallTime {
        WallTime::from_millis(self.next().0.saturating_mul(length.as_millis()))
    }
}

impl fmt::Display for WindowNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
