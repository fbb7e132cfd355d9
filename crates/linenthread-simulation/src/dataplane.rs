//! The data plane in simulated time: simulations of [`SESSIONS`] sessions each, one seed a simulation.
//!
//! Faults and invariants are those of `linenthread-dataplane-sim`, in its modules `fault_plan` and `checker`. A violation
//! is printed with the seed of its simulation. To run that one again, with a digest of all that happens:
//! `linenthread-simulation dataplane --sessions 20 --seed N --summary`.

use std::time::Instant;

use linenthread_dataplane_sim::checker::Counts;
use linenthread_dataplane_sim::simulation::{Outcome, SESSIONS, run as simulate};

use crate::run_summary::RunSummary;

/// How many violations are printed.
const MAX_PRINTED: usize = 20;
/// Simulations are independent of each other and so are run in parallel.
const THREADS: usize = 3;

/// What to run.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Sessions of clients, over all simulations.
    pub(crate) sessions: usize,
    /// The seed of the first simulation; the next ones follow.
    pub(crate) seed: u64,
    /// Print what became of the requests, and the digest of all that happened.
    pub(crate) summary: bool,
}

/// One simulation to run.
#[derive(Clone, Copy)]
struct Job {
    seed: u64,
    sessions: usize,
}

/// Runs all simulations and prints their violations, at most [`MAX_PRINTED`].
pub(crate) fn run(options: &Options) -> RunSummary {
    let started_at = Instant::now();
    let (mut counts, mut executions, mut digest) = (Counts::default(), 0, 0u64);
    let mut violations = 0;
    for (number, (job, outcome)) in run_all(&jobs(options)).into_iter().enumerate() {
        if violations == 0 && !outcome.violations.is_empty() {
            let sessions = (number + 1) * SESSIONS;
            println!("the first violation came within {sessions} sessions");
        }
        for violation in &outcome.violations {
            violations += 1;
            if violations <= MAX_PRINTED {
                println!("violation: seed {}: {violation}", job.seed);
            }
        }
        counts += outcome.counts;
        executions += outcome.executions;
        digest = digest.rotate_left(1) ^ outcome.digest;
    }
    if options.summary {
        println!("{counts:?}");
        let seconds = started_at.elapsed().as_secs_f64();
        println!("{executions} runs, digest {digest:016x}, {seconds:.1} s");
    }
    RunSummary {
        checked: options.sessions,
        violations,
    }
}

/// The simulations, of which the last may have fewer sessions.
fn jobs(options: &Options) -> Vec<Job> {
    let starts = (0..options.sessions).step_by(SESSIONS);
    (0..)
        .zip(starts)
        .map(|(number, start)| Job {
            seed: options.seed.wrapping_add(number),
            sessions: (options.sessions - start).min(SESSIONS),
        })
        .collect()
}

/// All outcomes, in the order of the jobs.
fn run_all(jobs: &[Job]) -> Vec<(Job, Outcome)> {
    let jobs_per_thread = jobs.len().div_ceil(THREADS).max(1);
    let run_some = |some: &[Job]| -> Vec<(Job, Outcome)> {
        some.iter()
            .map(|&job| (job, simulate(job.seed, job.sessions)))
            .collect()
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = jobs
            .chunks(jobs_per_thread)
            .map(|some| scope.spawn(move || run_some(some)))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a simulation panicked"))
            .collect()
    })
}
