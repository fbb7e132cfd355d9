//! The invariants that hold for every query.

use std::fmt;

/// An invariant. A violation is printed under its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Invariant {
    /// Every query of a client can be started, also with the cursor of an earlier response.
    QueriesStart,
    /// A valid value of a replica is accepted.
    ValidValuesCount,
    /// A second value of one sub-request changes nothing.
    DuplicatesDoNotCount,
    /// A sub-request is sent at most [`MAX_ATTEMPTS`](super::settings::MAX_ATTEMPTS) times, and never after the
    /// response.
    BoundedAttempts,
    /// A query gets exactly one outcome, before its hard deadline.
    OneResponseInTime,
    /// Rows, totals, groups, shares and cursors of a response agree with the full data.
    MatchesFullData,
    /// A response that is partial for the decision module is not marked as complete.
    PartialIsMarked,
    /// No more rows are retained than a page has.
    BoundedRows,
}

impl fmt::Display for Invariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Invariant::QueriesStart => "queries-start",
            Invariant::ValidValuesCount => "valid-values-count",
            Invariant::DuplicatesDoNotCount => "duplicates-do-not-count",
            Invariant::BoundedAttempts => "bounded-attempts",
            Invariant::OneResponseInTime => "one-response-in-time",
            Invariant::MatchesFullData => "matches-full-data",
            Invariant::PartialIsMarked => "partial-is-marked",
            Invariant::BoundedRows => "bounded-rows",
        })
    }
}

/// A violation of an [`Invariant`].
pub(super) type Violation = crate::violation::Violation<Invariant>;
