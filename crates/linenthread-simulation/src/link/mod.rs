//! A link between sites in simulated time: both ends of `linenthread-link` in one deterministic run, checked against a
//! record of what truly ran.
//!
//! A client makes a call every few milliseconds, each with a deadline. Faults ([`fault`]): the connection is cut and
//! both ends are notified; frames are lost silently, in one direction or both; the server restarts and remembers
//! nothing. Besides, connections fail to open, and frames are late or arrive twice. The first 3 s of a schedule have
//! faults, the last 3 s must work as usual.
//!
//! | invariant | what must hold |
//! | --- | --- |
//! | one-outcome | a call has exactly one outcome |
//! | unsent-is-proven | a call that is reported as never run did not run |
//! | at-most-once | no call runs twice |
//! | success-ran-once | a call that succeeded ran once, and has the value of its own run |
//! | bounded | what both ends retain stays within their limits, and is given back |
//! | recovers | after the faults, calls with enough time are not lost, unsent or timed out |
//!
//! A schedule ends with its first violation. It is printed with the command that runs the schedule again:
//! `linenthread-simulation link --schedules 1 --seed N`.
//!
//! Start reading at [`simulation`]; `execution` performs what the two ends request, on the connections of
//! `transport`.

mod call_record;
mod ends;
mod event;
mod execution;
mod fault;
mod faults;
mod invariant;
mod invariants;
mod network;
mod simulation;
mod statistics;
mod traffic;
mod transport;
mod world;

use linenthread_core::interface::TenthMillis;

use crate::number;
use crate::run_summary::RunSummary;
use statistics::Statistics;
use world::World;

/// A millisecond in the simulation's unit of time.
const MILLISECOND: TenthMillis = 10;
/// When a schedule starts; not at 0, so that times before it can be computed.
const START: TenthMillis = 1_000 * MILLISECOND;
/// How long faults are injected.
const FAULTS: TenthMillis = 3_000 * MILLISECOND;
/// So long after the last fault the link must work as usual.
const RECOVERY: TenthMillis = 4_000 * MILLISECOND;
/// How long a schedule lasts.
const LENGTH: TenthMillis = FAULTS + RECOVERY + 3_000 * MILLISECOND;
/// No call is made in the schedule's last second, so that all can complete.
const LAST_CALL: TenthMillis = LENGTH - 1_000 * MILLISECOND;
/// The most violations that are printed.
const MAX_PRINTED: usize = 10;

/// Options of the command.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// How many schedules are run, each from a seed of its own.
    pub schedules: usize,
    /// The first schedule's seed.
    pub seed: u64,
    /// Sessions don't outlive their connection.
    pub no_resume: bool,
}

impl Options {
    /// Runs all schedules. A schedule ends with its first violation.
    pub(crate) fn run(&self) -> RunSummary {
        let mut statistics = Statistics::default();
        let mut violations = 0;
        for index in 0..number::count(self.schedules) {
            let seed = self.seed.wrapping_add(index);
            let world = World::new(seed, !self.no_resume);
            let Some(violation) = world.run(&mut statistics) else {
                continue;
            };
            violations += 1;
            if violations <= MAX_PRINTED {
                let no_resume = if self.no_resume { " --no-resume" } else { "" };
                println!("violation: {violation}");
                println!(
                    "  replay: linenthread-simulation link --schedules 1 --seed {seed}{no_resume}"
                );
            }
        }
        statistics.print(self.schedules);
        RunSummary {
            checked: self.schedules,
            violations,
        }
    }
}
