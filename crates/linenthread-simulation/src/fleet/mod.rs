//! Checks fleets of co-ordinators in simulated time: membership by gossip, and the state that voters replicate.
//!
//! Leaders propose values on two topics. Faults ([`faults`]): processes crash, with or without the loss of their disk,
//! restart within 50 ms, and pause for longer than a lease; pairs and groups are partitioned, in one direction or both;
//! disks fail to sync or are full; datagrams are lost, and latencies are high. All clocks run at slightly different
//! rates. Faults end after 40 s, and the fleet has 25 s to recover.
//!
//! | invariant | what must hold |
//! | --- | --- |
//! | one-value-per-number | no two different values are committed under the same topic and number |
//! | one-leader | at no time do two running processes hold the lease |
//! | new-disk-new-identity | a voter that lost its disk never votes under its former identity |
//! | restarts | a process can start from any state that its disk was left in |
//! | commits | if values are proposed, at least one is committed |
//! | recovers | after the faults there is one leader, all voters vote, all know all members and the newest values |
//!
//! A violation is printed with its schedule, which is the seed. To repeat a schedule and print all events of the
//! fleets: `SHOW=1 linenthread-simulation fleet --schedules 1 --seed N`.
//!
//! Start reading at [`simulation`]; `execution` calls processes and performs their actions, `connections` carries what
//! they send.

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

/// The time at which all faults end.
const FAULTS_END: TenthMillis = 40 * SECOND;
/// The time after [`FAULTS_END`] within which the fleet must be complete again.
const RECOVERY_TIME: TenthMillis = 25 * SECOND;
/// How long the fleet must stay complete to count as recovered.
const STABLE_TIME: TenthMillis = SECOND;
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
    totals: Totals,
}

impl Options {
    /// Runs all schedules and prints a summary of them.
    pub(crate) fn run(&self) -> RunSummary {
        let seeds = self.seed..self.seed + number::to_u64(self.schedules);
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
