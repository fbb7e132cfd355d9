//! Fleets in simulated time: membership and the replicated state through loss, partitions, crashes with and without
//! disk, pauses, failing disks and clocks that run apart.
//!
//! Start reading at [`World::run`]; `invariants` has the invariants.

mod connections;
mod event;
mod execution;
mod faults;
mod invariant;
mod invariants;
mod network;
mod process;
mod recovery;
mod simulation;
mod statistics;
mod traffic;
mod world;

use linenthread_core::interface::TenthMillis;

use crate::number::{self, SECOND};
use crate::run_summary::RunSummary;
use crate::schedules;
use statistics::{Totals, print_summary};
use world::World;

/// Faults are injected for so long, then all of them end.
const FAULTS_END: TenthMillis = 40 * SECOND;
/// Within so long after that the fleet must be complete again.
const RECOVERY_TIME: TenthMillis = 25 * SECOND;
/// And it must stay so for this long.
const STABLE_TIME: TenthMillis = SECOND;
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
    totals: Totals,
}

impl Options {
    /// Runs all schedules and prints a summary of them.
    pub(crate) fn run(&self) -> RunSummary {
        let seeds = self.seed..self.seed + number::count(self.schedules);
        let outcomes = schedules::run_all(seeds, |seed| World::new(seed).run());
        let mut violations: Vec<&String> = outcomes.iter().flat_map(|o| &o.violations).collect();
        violations.sort_unstable();
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
