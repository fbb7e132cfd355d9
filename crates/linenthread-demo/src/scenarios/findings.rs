//! The results of a scenario's checks.

use std::fmt;

/// A failed check of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant, as a sentence that should hold.
    pub invariant: &'static str,
    /// The observation that contradicts it.
    pub observed: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.invariant, self.observed)
    }
}

/// The results of the checks of one scenario.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// The number of checks, of all invariants together.
    pub checks: usize,
    /// The checks that failed.
    pub violations: Vec<Violation>,
    /// Additional information for the reader, such as durations and log lines.
    pub notes: Vec<String>,
}

impl Findings {
    /// Records a check of an invariant; calls `observe` for the observation if it does not hold.
    pub(super) fn check(
        &mut self,
        holds: bool,
        invariant: &'static str,
        observe: impl FnOnce() -> String,
    ) {
        self.checks += 1;
        if !holds {
            self.violations.push(Violation {
                invariant,
                observed: observe(),
            });
        }
    }

    pub(super) fn add_note(&mut self, text: String) {
        self.notes.push(text);
    }
}
