//! The invariants that hold in every schedule. `docs/failover-design.md` says what upholds most of them.

use std::fmt;

/// An invariant. A violation is printed under its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Invariant {
    /// No two values are committed under one topic and number.
    OneValuePerNumber,
    /// At no moment two running processes hold the lease.
    OneLeader,
    /// A voter that lost its disk never votes under its former identity.
    NewDiskNewIdentity,
    /// A process starts from whatever its disk holds.
    Restarts,
    /// Where values are proposed, some are committed.
    Commits,
    /// After the faults the fleet is soon complete again: one leader, all voters vote, all know all members and values.
    Recovers,
}

impl fmt::Display for Invariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Invariant::OneValuePerNumber => "one-value-per-number",
            Invariant::OneLeader => "one-leader",
            Invariant::NewDiskNewIdentity => "new-disk-new-identity",
            Invariant::Restarts => "restarts",
            Invariant::Commits => "commits",
            Invariant::Recovers => "recovers",
        })
    }
}
