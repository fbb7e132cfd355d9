//! Checks the data plane in simulated time. Each simulation runs up to [`SESSIONS`] client sessions from its own seed.
//!
//! The faults and invariants are defined in the modules `fault_plan` and `checker` of `linenthread-dataplane-sim`. A
//! violation is printed with the seed of its simulation. To repeat that simulation and print a digest of its events:
//! `linenthread-simulation dataplane --sessions 20 --seed N --summary`.

use std::time::Instant;

use linenthread_dataplane_sim::checker::Counts;
use linenthread_dataplane_sim::simulation::{Outcome, SESSIONS, run as simulate};

use crate::run_summary::RunSummary;

/// The maximum number of violations printed.
const MAX_PRINTED: usize = 20;
/// The number of threads; simulations are independent of each other, so they run in parallel.
const THREADS: usize = 3;

/// Options of the command.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// The number of client sessions, over all simulations.
    pub(crate) sessions: usize,
    /// The seed of the first simulation; each further simulation uses the next seed.
    pub(crate) seed: u64,
    /// Whether to print the outcomes of requests and a digest of all events.
    pub(crate) summary: bool,
}

/// A simulation to run.
#[derive(Clone, Copy)]
struct Job {
    seed: u64,
    sessions: usize,
}

/// Runs all simulations and prints at most [`MAX_PRINTED`] violations.
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

/// Splits the sessions into simulations; the last one may have fewer than [`SESSIONS`].
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

/// Runs all jobs and returns their outcomes in the same order.
fn run_all(jobs: &[Job]) -> Vec<(Job, Outcome)> {
    let jobs_per_thread = jobs.len().div_ceil(THREADS).max(1);
    let run_chunk = |chunk: &[Job]| -> Vec<(Job, Outcome)> {
        chunk
            .iter()
            .map(|&job| (job, simulate(job.seed, job.sessions)))
            .collect()
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = jobs
            .chunks(jobs_per_thread)
            .map(|chunk| scope.spawn(move || run_chunk(chunk)))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a simulation panicked"))
            .collect()
    })
}
