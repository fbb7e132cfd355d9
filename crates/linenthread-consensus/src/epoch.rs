//! Epochs of the leader lease.

use std::fmt;

use crate::value_number::ValueNumber;

/// Number of the lower bits of an epoch, which count within an era; the upper bits hold the era.
const COUNT_BITS: u32 = 32;

/// Number of a leader lease, and the fencing token of the leader's actions.
///
/// A candidate that requests a lease that it does not hold yet uses an epoch above every epoch that it knows of. A
/// voter grants no epoch below the greatest one that it has granted, which it keeps on its disk. Hence at most one
/// incarnation of one node holds the lease under an epoch (*one-lease-holder-per-epoch*), and a receiver of
/// conflicting data from two leaders, such as quota grants, accepts those of the greater epoch.
///
/// Each set of voters begins an era, identified by the number of the value that first named the set. An epoch
/// requested in an era is above all epochs requested in earlier eras. Hence a new set of voters never grants an epoch
/// that an earlier set granted, even if its members do not know those epochs, and whichever node proposed the set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(u64);

impl Epoch {
    /// Below every requested epoch; messages, values and records contain it before the first lease.
    pub const NONE: Epoch = Epoch(0);

    /// The epoch of the first lease of a cluster.
    pub const FIRST: Epoch = Epoch(1);

    /// Creates an epoch from the number in a message or record.
    pub const fn new(number: u64) -> Epoch {
        Epoch(number)
    }

    /// Returns the lower bound, exclusive, of the epochs requested in the era of the voters that value `voters_since`
    /// first named. All epochs of earlier eras are lower.
    pub const fn before_era(voters_since: ValueNumber) -> Epoch {
        Epoch(voters_since.get() << COUNT_BITS)
    }

    /// Returns the number used in messages, records and the control API.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the next greater epoch.
    #[must_use]
    pub const fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

/// Formats the epoch as `ERA.COUNT`, or as the count alone in the first era.
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
