//! Zones in simulated time: coordinators observe what truly happens through noise, loss and lag, one controller
//! decides for all, and where its table sends requests is checked by what each zone can truly process.
//!
//! A schedule has one fault ([`fault::Fault`]): one or two zones are lost, two are partitioned from each other, one is
//! slow or drained, some coordinators are isolated, or reports say anything. In others nothing is wrong but noise.
//! Leaders change at any time.
//!
//! | invariant | what must hold |
//! | --- | --- |
//! | within-capacity | a table sends no zone more than it can process, or than it gets while all routes are open |
//! | local-while-healthy | no route is closed while nothing is wrong |
//! | only-faulty-closed | routes are closed as down or partitioned only where the fault is |
//! | no-flapping | routes are opened again only so often |
//! | handled-in-time | a fault that enough requests meet is handled within 8 s |
//! | recovers | after the fault all routes are open again |
//!
//! A violation is printed with its schedule, which is the seed, and its fault. To run that one again, with all tables:
//! `SHOW=1 linenthread-simulation zones --schedules 1 --seed N`.
//!
//! Start reading at [`simulation`]: a step is traffic, reports, a decision, and `tables` on their way.

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

/// A minute of simulated time.
const MINUTE: f64 = 600_000.0;
/// When a schedule starts.
const START: TenthMillis = 100 * SECOND;
/// How much time passes in a step.
const STEP: TenthMillis = 5_000;
/// The same in seconds.
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
