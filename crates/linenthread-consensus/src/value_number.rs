//! Numbers of the register's values.

use std::fmt;

use linenthread_messages::Value;

/// The place of a value in the chain of decided values, and the name of the Paxos instance that decides it. Counted
/// from 0 without gaps.
///
/// Whoever proposes the value after the newest one raises it by one. A node replaces its newest value only by one with
/// a greater number (*monotonic-state*), and votes only on the number after its newest value: the voters of value n
/// decide value n + 1 (*decided-by-voters*).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ValueNumber(u64);

impl ValueNumber {
    /// The number of the first value of all, which the settings give. Where a message or record can't say that it has
    /// no value, it stands for that, too.
    pub const FIRST: ValueNumber = ValueNumber(0);

    /// The number that a message or record carries.
    pub const fn new(number: u64) -> ValueNumber {
        ValueNumber(number)
    }

    /// The number of a value.
    pub fn of(value: &Value) -> ValueNumber {
        ValueNumber(value.number)
    }

    /// The number that messages, records and the control API carry.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The number of the value that follows.
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
