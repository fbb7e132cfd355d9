//! Rounds of the worst days: each scenario starts a cluster of its own, brings one kind of trouble about,
//! with instants drawn at random, and judges what callers have seen.

mod catch_up;
mod frozen;
mod minority;
mod operators;
mod replacement;
mod restarts;
mod setup;
mod wrong_answers;

use std::fmt;
use std::path::Path;
use std::time::Duration;

use oorandom::Rand64;

/// An order, a read or news at a front comes within this time of any single loss.
pub const BOUND: Duration = Duration::from_secs(6);

/// One kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Point 1: a control node is stopped for longer than every lease, and wakes with calls waiting.
    FrozenNode,
    /// Point 1: two of three control nodes are stopped.
    Minority,
    /// Point 2: two operators send different orders under one number.
    TwoOperators,
    /// Point 2: an order is sent again after many later ones.
    LateRepeat,
    /// Point 3: a control node is replaced as planned, and another one's disk is lost right after its end.
    LossAfterReplacement,
    /// Point 3: the same, and the loss comes at any instant of the replacement.
    LossDuringReplacement,
    /// Point 3: all control nodes are restarted one after another while orders go on.
    RollingRestart,
    /// Point 4: a control node that was down for many changes comes back.
    CatchUp,
    /// Point 5: replicas answer twice, late, without id, as another, cut, or not at all.
    WrongAnswers,
}

impl Scenario {
    pub const ALL: [Scenario; 9] = [
        Scenario::FrozenNode,
        Scenario::Minority,
        Scenario::TwoOperators,
        Scenario::LateRepeat,
        Scenario::LossAfterReplacement,
        Scenario::LossDuringReplacement,
        Scenario::RollingRestart,
        Scenario::CatchUp,
        Scenario::WrongAnswers,
    ];

    /// Which of the five points it shows.
    pub fn point(self) -> u8 {
        match self {
            Scenario::FrozenNode | Scenario::Minority => 1,
            Scenario::TwoOperators | Scenario::LateRepeat => 2,
            Scenario::LossAfterReplacement
            | Scenario::LossDuringReplacement
            | Scenario::RollingRestart => 3,
            Scenario::CatchUp => 4,
            Scenario::WrongAnswers => 5,
        }
    }

    /// Plays it once on processes of this program.
    ///
    /// # Errors
    /// The cluster could not be started.
    pub fn play(
        self,
        program: &Path,
        scale: &Scale,
        random: &mut Rand64,
    ) -> std::io::Result<Findings> {
        match self {
            Scenario::FrozenNode => frozen::play(program, scale, random),
            Scenario::Minority => minority::play(program, scale, random),
            Scenario::TwoOperators => operators::play_rivals(program, scale, random),
            Scenario::LateRepeat => operators::play_late_repeat(program, scale, random),
            Scenario::LossAfterReplacement => {
                replacement::play(program, replacement::Loss::AfterEnd, random)
            }
            Scenario::LossDuringReplacement => {
                replacement::play(program, replacement::Loss::AnyTime, random)
            }
            Scenario::RollingRestart => restarts::play(program, random),
            Scenario::CatchUp => catch_up::play(program, scale, random),
            Scenario::WrongAnswers => wrong_answers::play(program, scale, random),
        }
    }
}

/// How long or how often things go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scale {
    /// A process stays stopped for so long.
    pub pause: Duration,
    /// Pairs of orders under one number.
    pub pairs: u64,
    /// Orders between an order and its repeat.
    pub later_orders: u64,
    /// Changes that a control node misses.
    pub changes: u64,
    /// Requests to replicas that misbehave.
    pub requests: usize,
}

impl Scale {
    /// For the tests: some seconds a scenario.
    pub const BRIEF: Scale = Scale {
        pause: Duration::from_secs(6),
        pairs: 5,
        later_orders: 100,
        changes: 300,
        requests: 600,
    };
    /// For long runs.
    pub const LONG: Scale = Scale {
        pause: Duration::from_secs(20),
        pairs: 30,
        later_orders: 500,
        changes: 1_000,
        requests: 4_000,
    };
}

/// A rule that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    pub rule: &'static str,
    /// What was seen instead.
    pub seen: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.seen)
    }
}

/// What one scenario found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// How often a rule was looked at.
    pub checks: usize,
    pub breaches: Vec<Breach>,
    /// Figures worth a look, such as how long something took.
    pub notes: Vec<String>,
}

impl Findings {
    /// Looks at a rule: what was seen is told if it does not hold.
    pub(crate) fn check(&mut self, holds: bool, rule: &'static str, seen: impl FnOnce() -> String) {
        self.checks += 1;
        if !holds {
            self.breaches.push(Breach { rule, seen: seen() });
        }
    }

    pub(crate) fn note(&mut self, text: String) {
        self.notes.push(text);
    }
}
