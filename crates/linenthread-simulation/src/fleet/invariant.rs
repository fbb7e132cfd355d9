//! The invariants that hold in every schedule. `docs/failover-design.md` explains how most of them are ensured.

use std::fmt;

/// An invariant. A violation is printed under its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Invariant {
    /// No two different values are committed under the same topic and number.
    OneValuePerNumber,
    /// At no time do two running processes hold the lease.
    OneLeader,
    /// A voter that lost its disk never votes under its former identity.
    NewDiskNewIdentity,
    /// A process can start from any state that its disk was left in.
    Restarts,
    /// If values are proposed, at least one is committed.
    Commits,
    /// After the faults the fleet is complete again in time: it has one leader, all voters vote, and all processes know
    /// all members and the newest values.
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
