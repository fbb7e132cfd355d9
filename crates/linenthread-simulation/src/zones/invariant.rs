//! The invariants that hold in every schedule. `docs/failover-design.md` explains how most of them are ensured.

use std::fmt;

/// An invariant. A violation is printed under its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Invariant {
    /// A table sends no zone more than the larger of its capacity and its load with all routes open.
    WithinCapacity,
    /// No route is closed while nothing is wrong.
    LocalWhileHealthy,
    /// Routes are closed as down or partitioned only where the fault is.
    OnlyFaultyClosed,
    /// The number of times that routes are reopened is bounded.
    NoFlapping,
    /// A fault that affects enough requests is handled within 8 s.
    HandledInTime,
    /// After the fault all routes are open again.
    Recovers,
}

impl fmt::Display for Invariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Invariant::WithinCapacity => "within-capacity",
            Invariant::LocalWhileHealthy => "local-while-healthy",
            Invariant::OnlyFaultyClosed => "only-faulty-closed",
            Invariant::NoFlapping => "no-flapping",
            Invariant::HandledInTime => "handled-in-time",
            Invariant::Recovers => "recovers",
        })
    }
}
