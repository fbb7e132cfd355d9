//! Checks a link between sites in simulated time: both ends of `linenthread-link` in one deterministic run, compared
//! with a record of the calls that really ran.
//!
//! A client makes a call every few milliseconds, each with a deadline. Faults ([`fault`]): the connection is cut and
//! both ends are notified; frames are lost silently, in one direction or both; the server restarts without its state.
//! In addition, connections fail to open, and frames are late or arrive twice. Faults are injected in the first 3 s of
//! a schedule; in its last 3 s the link must work normally.
//!
//! | invariant | what must hold |
//! | --- | --- |
//! | one-outcome | a call has exactly one outcome |
//! | unsent-is-proven | a call whose outcome says that it never ran did not run |
//! | at-most-once | no call runs twice |
//! | success-ran-once | a call that succeeded ran exactly once and returned the value of that run |
//! | bounded | the calls and bytes that both ends retain stay within their limits, and are released |
//! | recovers | some time after the last fault, calls with enough time are not lost, unsent or timed out |
//!
//! A schedule ends with its first violation, which is printed with the command that repeats the schedule:
//! `linenthread-simulation link --schedules 1 --seed N`.
//!
//! Start reading at [`simulation`]; `execution` performs the actions that the two ends request, and `transport` carries
//! their frames.

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

/// One millisecond of simulated time.
const MILLISECOND: TenthMillis = 10;
/// The simulated time at which a schedule starts; not 0, so that earlier times can be represented.
const START: TenthMillis = 1_000 * MILLISECOND;
/// How long faults are injected, from the start of a schedule.
const FAULT_DURATION: TenthMillis = 3_000 * MILLISECOND;
/// The time after the last fault within which the link must recover.
const RECOVERY_TIME: TenthMillis = 4_000 * MILLISECOND;
/// The duration of a schedule.
const SCHEDULE_DURATION: TenthMillis = FAULT_DURATION + RECOVERY_TIME + 3_000 * MILLISECOND;
/// How long calls are made. None is made in the last second of a schedule, so that all can complete.
const CALL_PERIOD: TenthMillis = SCHEDULE_DURATION - 1_000 * MILLISECOND;
/// The maximum number of violations printed.
const MAX_PRINTED: usize = 10;

/// Options of the command.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// The number of schedules, each with its own seed.
    pub schedules: usize,
    /// The seed of the first schedule; each further schedule uses the next seed.
    pub seed: u64,
    /// Whether sessions end with their connection instead of being resumed.
    pub no_resume: bool,
}

impl Options {
    /// Runs all schedules and prints their violations and a summary.
    pub(crate) fn run(&self) -> RunSummary {
        let mut statistics = Statistics::default();
        let mut violations = 0;
        for index in 0..number::to_u64(self.schedules) {
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
