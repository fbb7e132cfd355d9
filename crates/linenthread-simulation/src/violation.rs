//! The violation of an invariant.

use std::fmt;

/// An invariant of a simulation, and how it was violated.
pub(crate) struct Violation<I> {
    invariant: I,
    details: String,
}

impl<I> Violation<I> {
    pub(crate) fn new(invariant: I, details: impl Into<String>) -> Violation<I> {
        Violation {
            invariant,
            details: details.into(),
        }
    }
}

impl<I: fmt::Display> fmt::Display for Violation<I> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.invariant, self.details)
    }
}
