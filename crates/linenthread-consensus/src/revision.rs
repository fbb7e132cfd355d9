//! Revisions of the configuration.

use std::fmt;

use linenthread_messages::Value;

/// Version of the configuration, chosen by operators. The revision of an order is greater than that of its base, but
/// need not be the next number.
///
/// Revisions prevent lost updates: an order can only be accepted while its base is the newest revision
/// (*one-order-per-base*).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(u64);

impl Revision {
    /// Below every revision; the base of the first order, before there is a configuration.
    pub const NONE: Revision = Revision(0);

    /// Creates a revision from the number in a message, record, order or configuration.
    pub const fn new(number: u64) -> Revision {
        Revision(number)
    }

    /// Returns the revision of the configuration in a value.
    pub fn of(value: &Value) -> Revision {
        Revision(value.revision)
    }

    /// Returns the number used in messages, records, configurations and the control API.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
