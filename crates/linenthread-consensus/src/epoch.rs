//! Epochs of the leader lease.

use std::fmt;

use crate::value_number::ValueNumber;

/// An epoch is the era in its upper bits, and a count within the era in these lower ones.
const COUNT_BITS: u32 = 32;

/// Numbers the leases: the fencing token of what a leader does.
///
/// A candidate raises it when it requests a lease that it does not hold yet, above every epoch that it knows of; a
/// voter grants no epoch below the greatest one that it granted, which it holds on its disk. So at most one incarnation
/// of one node holds the lease under an epoch (*one-lease-holder-per-epoch*), and whoever is sent something by two leaders,
/// such as a quota grant, takes it from the greater epoch.
///
/// Each set of voters begins an era, which is the number of the value that first named it, and an epoch that is requested
/// in an era is above all that were requested in earlier ones. So voters that know nothing of the epochs that an earlier
/// set granted grant none of them again, whoever proposed the set.
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

    /// Below every epoch that is requested in the era of the voters that the value of this number first named, and above
    /// all that were requested before.
    pub const fn before_era(voters_since: ValueNumber) -> Epoch {
        Epoch(voters_since.get() << COUNT_BITS)
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

/// `ERA.COUNT`; the count alone in the first era.
impl fmt::Display for Epoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let era = self.0 >> COUNT_BITS;
        let count = self.0 - (era << COUNT_BITS);
        if era == 0 {
            count.fmt(formatter)
        } else {
            write!(formatter, "{era}.{count}")
        }
    }
}
