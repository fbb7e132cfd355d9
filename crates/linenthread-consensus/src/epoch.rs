//! Epochs of the leader lease.

use std::fmt;

/// Numbers the leases: the fencing token of what a leader does.
///
/// A candidate raises it when it requests a lease that it does not hold yet, above every epoch that it knows of; a
/// voter grants no epoch below the greatest one that it granted, which it holds on its disk. So at most one incarnation
/// of one node holds the lease under an epoch (*one-lease-holder-per-epoch*), and whoever is sent something by two leaders,
/// such as a quota grant, takes it from the greater epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(u64);

impl Epoch {
    /// Below every epoch that was ever requested; what messages, values and disks carry before the first one.
    pub const NONE: Epoch = Epoch(0);

    /// The epoch of the first lease of a cluster.
    pub const FIRST: Epoch = Epoch(1);

    /// The epoch that a message or record carries.
    pub const fn new(number: u64) -> Epoch {
        Epoch(number)
    }

    /// The number that messages, records and the control API carry.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The next greater epoch.
    #[must_use]
    pub const fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
