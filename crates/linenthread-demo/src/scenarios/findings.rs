//! What a scenario found.

use std::fmt;

/// A rule that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// What was seen instead.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.rule, self.seen)
    }
}

/// What one scenario found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// How often a rule was checked.
    pub checks: usize,
    /// Rules that did not hold.
    pub violations: Vec<Violation>,
    /// Figures of interest, such as how long something took.
    pub notes: Vec<String>,
}

impl Findings {
    /// Checks a rule; `seen` says what was seen if it does not hold.
    pub(super) fn check(&mut self, holds: bool, rule: &'static str, seen: impl FnOnce() -> String) {
        self.checks += 1;
        if !holds {
            let seen = seen();
            self.violations.push(Violation { rule, seen });
        }
    }

    pub(super) fn add_note(&mut self, text: String) {
        self.notes.push(text);
    }
}
