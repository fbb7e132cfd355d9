//! Numbers of the register's decided values.

use std::fmt;

use linenthread_messages::Value;

/// Position of a value in the sequence of decided values, and the number of the Paxos instance that decides it.
/// Starts at 0, without gaps.
///
/// A node replaces its newest value only with one of a greater number (*monotonic-state*). It votes only on the
/// number that follows its newest value, since the voters of value n decide value n + 1 (*decided-by-voters*).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ValueNumber(u64);

impl ValueNumber {
    /// Number of the genesis value, which is derived from the settings. Also used where a message, record or function
    /// has no other way to express that there is no value.
    pub const FIRST: ValueNumber = ValueNumber(0);

    /// Creates a value number from the number in a message or record.
    pub const fn new(number: u64) -> ValueNumber {
        ValueNumber(number)
    }

    /// Returns the number of a value.
    pub fn of(value: &Value) -> ValueNumber {
        ValueNumber(value.number)
    }

    /// Returns the number used in messages, records and the control API.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the number of the following value.
    #[must_use]
    pub const fn next(self) -> ValueNumber {
        ValueNumber(self.0 + 1)
    }
}

impl fmt::Display for ValueNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
