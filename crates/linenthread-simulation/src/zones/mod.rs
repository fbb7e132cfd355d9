//! Zones in simulated time: coordinators observe what truly happens through noise, loss and lag, one controller
//! decides for all, and where its table sends requests is checked by what each zone can truly process.
//!
//! Start reading at [`World::run`]; `invariants` has the invariants.

mod fault;
mod invariant;
mod invariants;
mod reports;
mod simulation;
mod statistics;
mod tables;
mod traffic;
mod world;

use linenthread_core::interface::TenthMillis;

use crate::number::{self, SECOND};
use crate::run_summary::RunSummary;
use crate::schedules;
use statistics::print_summary;
use world::World;

const MINUTE: f64 = 600_000.0;
/// When a schedule starts.
const START: TenthMillis = 100 * SECOND;
const STEP: TenthMillis = 5_000;
const STEP_SECONDS: f64 = 0.5;
/// The most violations that are printed.
const MAX_PRINTED: usize = 20;

/// Which schedules are run.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// How many.
    pub(crate) schedules: usize,
    /// The seed of the first; the others count on from it.
    pub(crate) seed: u64,
}

/// What became of a schedule.
struct Outcome {
    violations: Vec<String>,
    /// How long after its start a fault was handled that had to be.
    handled_after: Option<TenthMillis>,
}

impl Options {
    /// Runs all schedules and prints a summary of them.
    pub(crate) fn run(&self) -> RunSummary {
        let seeds = self.seed..self.seed + number::count(self.schedules);
        let outcomes = schedules::run_all(seeds, |seed| World::new(seed).run());
        let violations: Vec<&String> = outcomes.iter().flat_map(|o| &o.violations).collect();
        for violation in violations.iter().take(MAX_PRINTED) {
            println!("violation: {violation}");
        }
        print_summary(&outcomes);
        RunSummary {
            checked: self.schedules,
            violations: violations.len(),
        }
    }
}
