//! The invariants that hold in every schedule. `docs/gateway-design.md` says what upholds most of them.

use std::fmt;

/// An invariant. A violation is printed under its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Invariant {
    /// A call has exactly one outcome.
    OneOutcome,
    /// A call that is reported as never run did not run.
    UnsentIsProven,
    /// No call runs twice.
    AtMostOnce,
    /// A call that succeeded ran once, and has the value of its own run.
    SuccessRanOnce,
    /// What both ends retain stays within their limits, and is given back.
    Bounded,
    /// Once the last fault is over for a while, calls that have enough time succeed.
    Recovers,
}

impl fmt::Display for Invariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Invariant::OneOutcome => "one-outcome",
            Invariant::UnsentIsProven => "unsent-is-proven",
            Invariant::AtMostOnce => "at-most-once",
            Invariant::SuccessRanOnce => "success-ran-once",
            Invariant::Bounded => "bounded",
            Invariant::Recovers => "recovers",
        })
    }
}

/// How an invariant was violated.
pub(super) type Violation = crate::violation::Violation<Invariant>;
