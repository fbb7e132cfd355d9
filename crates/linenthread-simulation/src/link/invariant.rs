//! The invariants that hold in every schedule. `docs/gateway-design.md` explains how most of them are ensured.

use std::fmt;

/// An invariant. A violation is printed under its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Invariant {
    /// A call has exactly one outcome.
    OneOutcome,
    /// A call whose outcome says that it never ran did not run.
    UnsentIsProven,
    /// No call runs twice.
    AtMostOnce,
    /// A call that succeeded ran exactly once and returned the value of that run.
    SuccessRanOnce,
    /// The calls and bytes that both ends retain stay within their limits, and are released when calls complete.
    Bounded,
    /// Some time after the last fault, calls with enough time are not lost, unsent or timed out.
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

/// A violation of an [`Invariant`].
pub(super) type Violation = crate::violation::Violation<Invariant>;
