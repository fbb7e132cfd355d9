//! Simulation of a link between sites: both ends of `linenthread-link` in one deterministic run, through lost and
//! one-way connections, slow and duplicated frames, restarts and time-outs, checked against a record of what ran.

mod network;
mod simulation;
mod statistics;

use linenthread_core::interface::TenthMillis;

use simulation::Simulation;
use statistics::Statistics;

/// A millisecond in the simulation's unit of time.
const MILLISECOND: TenthMillis = 10;
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
    /// Runs all schedules; how many, and how many of them violate an invariant.
    pub(crate) fn run(&self) -> (usize, usize) {
        let mut statistics = Statistics::default();
        let mut violations = 0;
        for index in 0..self.schedules as u64 {
            let seed = self.seed.wrapping_add(index);
            let simulation = Simulation::new(seed, !self.no_resume);
            let Some(violation) = simulation.run(&mut statistics) else {
                continue;
            };
            violations += 1;
            if violations <= MAX_PRINTED {
                let no_resume = if self.no_resume { " --no-resume" } else { "" };
                println!("breach: {violation}");
                println!(
                    "  again: linenthread-simulation link --schedules 1 --seed {seed}{no_resume}"
                );
            }
        }
        statistics.print(self.schedules);
        (self.schedules, violations)
    }
}
