//! What a scenario found.

use std::fmt;

/// An invariant that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: &'static str,
    /// What was observed instead.
    pub observed: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.invariant, self.observed)
    }
}

/// What one scenario found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// How often an invariant was checked.
    pub checks: usize,
    /// Invariants that did not hold.
    pub violations: Vec<Violation>,
    /// Figures of interest, such as how long something took.
    pub notes: Vec<String>,
}

impl Findings {
    /// Checks an invariant; `observe` says what was observed if it does not hold.
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

    /// Adds a figure of interest.
    pub(super) fn add_note(&mut self, text: String) {
        self.notes.push(text);
    }
}
