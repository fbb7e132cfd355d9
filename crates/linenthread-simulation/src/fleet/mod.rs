//! Fleets of co-ordinators in simulated time: membership by gossip and the state that voters replicate.
//!
//! Leaders propose values on two topics. Faults ([`faults`]): processes crash with and without their disk, restart at
//! once, and pause for longer than a lease; pairs and groups are partitioned, one way or both; disks fail to sync or
//! are full; datagrams are lost, and everything is late. All clocks run at slightly different rates. Faults end after
//! 40 s, and the fleet has 25 s to recover.
//!
//! | invariant | what must hold |
//! | --- | --- |
//! | one-value-per-number | no two values are committed under one topic and number |
//! | one-leader | at no moment two running processes hold the lease |
//! | new-disk-new-identity | a voter that lost its disk never votes under its former identity |
//! | restarts | a process starts from whatever its disk holds |
//! | commits | where values are proposed, some are committed |
//! | recovers | after the faults: one leader, all voters vote, all know all members and the newest values |
//!
//! A violation is printed with its schedule, which is the seed. To run that one again, with all events of the fleets:
//! `SHOW=1 linenthread-simulation fleet --schedules 1 --seed N`.
//!
//! Start reading at [`simulation`]; `execution` is a step of a process, `connections` what is sent between them.

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
