//! Checks failover between zones in simulated time. Coordinators observe their requests with noise, reports are lost
//! and tables arrive late. One controller decides for all; its routing tables are checked against the true state of
//! zones.
//!
//! A schedule has one fault ([`fault::Fault`]): one or two zones are lost, two are partitioned from each other, one is
//! slow or drained, some coordinators are isolated, or reports have random content. Some schedules have only noise. The
//! leader can change at any time.
//!
//! | invariant | what must hold |
//! | --- | --- |
//! | within-capacity | a table sends no zone more than the larger of its capacity and its load with all routes open |
//! | local-while-healthy | no route is closed while nothing is wrong |
//! | only-faulty-closed | routes are closed as down or partitioned only where the fault is |
//! | no-flapping | the number of times that routes are reopened is bounded |
//! | handled-in-time | a fault that affects enough requests is handled within 8 s |
//! | recovers | after the fault all routes are open again |
//!
//! A violation is printed with its schedule, which is the seed, and its fault. To repeat a schedule and print all
//! tables: `SHOW=1 linenthread-simulation zones --schedules 1 --seed N`.
//!
//! Start reading at [`simulation`]: a step consists of traffic, reports, a decision, and the delivery of `tables`.

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

/// One minute of simulated time, in tenths of a millisecond.
const MINUTE: f64 = 600_000.0;
/// The simulated time at which a schedule starts.
const START: TenthMillis = 100 * SECOND;
/// The simulated time of a step.
const STEP: TenthMillis = 5_000;
/// [`STEP`] in seconds.
const STEP_SECONDS: f64 = 0.5;
/// The maximum number of violations printed.
const MAX_PRINTED: usize = 20;

/// Options of the command.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// The number of schedules.
    pub(crate) schedules: usize,
    /// The seed of the first schedule; each further schedule uses the next seed.
    pub(crate) seed: u64,
}

/// The outcome of a schedule.
struct Outcome {
    violations: Vec<String>,
    /// How long after its start the fault was handled; `None` if it wasn't or did not have to be.
    handled_after: Option<TenthMillis>,
}

impl Options {
    /// Runs all schedules and prints a summary of them.
    pub(crate) fn run(&self) -> RunSummary {
        let seeds = self.seed..self.seed + number::to_u64(self.schedules);
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
