//! Revisions of the configuration.

use std::fmt;

use linenthread_messages::Value;

/// Names one version of the configuration. Operators choose it: each order brings a greater revision than the one that
/// it builds on, and need not bring the next one.
///
/// It protects an operator's change from being lost: an order can only be accepted while the revision that it builds on
/// is the newest one (*one-order-per-base*).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(u64);

impl Revision {
    /// Below every revision: what the first order builds on, while there is no configuration.
    pub const NONE: Revision = Revision(0);

    /// The revision that a message, a record, an order or a configuration carries.
    pub const fn new(number: u64) -> Revision {
        Revision(number)
    }

    /// The revision of the configuration in a value.
    pub fn of(value: &Value) -> Revision {
        Revision(value.revision)
    }

    /// The number that messages, records, configurations and the control API carry.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
