//! Fleets in simulated time: membership and the replicated state through loss, partitions, crashes with and without
//! disk, pauses, failing disks and clocks that run apart.
//!
//! Start reading at [`World::run`]; `invariants` has the invariants.

mod event;
mod faults;
mod invariants;
mod network;
mod process;
mod world;

use linenthread_core::interface::TenthMillis;

use crate::schedules;
use event::Event;
use world::World;

const SECOND: TenthMillis = 10_000;
const TENTHS_PER_SECOND: f64 = 10_000.0;
/// Faults are injected for so long, then all of them end.
const FAULTS_END: TenthMillis = 40 * SECOND;
/// Within so long after that the fleet must be complete again.
const RECOVERY_TIME: TenthMillis = 25 * SECOND;
/// And it must stay so for this long.
const STABLE_TIME: TenthMillis = SECOND;
/// The most breaches that are printed.
const MAX_PRINTED: usize = 20;

/// Which schedules are run.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// How many.
    pub(crate) schedules: usize,
    /// The seed of the first; the others count on from it.
    pub(crate) seed: u64,
}

/// What a schedule counted.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    /// Values that were reported as committed, counted at each process.
    committed: u64,
    /// How often a process began to lead.
    leaders: u64,
    /// Identities that were replaced since a disk was lost.
    replaced: u64,
    /// How long after the end of all faults the fleet was complete for [`STABLE_TIME`].
    recovered_after: TenthMillis,
}

/// What became of a schedule.
struct Outcome {
    breaches: Vec<String>,
    totals: Totals,
}

impl World {
    /// Runs a schedule.
    fn run(mut self) -> Outcome {
        for at in 0..self.processes.len() {
            let wait = self.random_time(0..20_000);
            self.after(wait, Event::Start(at));
        }
        self.after(SECOND, Event::Propose);
        // Faults may be injected while the fleet is founded.
        let first = self.random_time(0..100_000);
        self.after(first, Event::Fault);
        self.run_until(FAULTS_END, |_| false);
        self.end_faults();
        self.run_recovery();
        if self.proposals > 0 && self.committed.is_empty() {
            self.breach("nothing was ever agreed on".into());
        }
        Outcome {
            breaches: self.breaches,
            totals: self.totals,
        }
    }

    fn run_recovery(&mut self) {
        let started_at = self.now;
        let mut complete_since = None;
        let recovered = self.run_until(started_at + RECOVERY_TIME, |world| {
            complete_since = match world.why_incomplete() {
                None => complete_since.or(Some(world.now)),
                Some(_) => None,
            };
            complete_since.is_some_and(|since| world.now >= since + STABLE_TIME)
        });
        self.totals.recovered_after = self.now - started_at;
        if !recovered && self.breaches.is_empty() {
            let cause = self.why_incomplete();
            let cause = cause.unwrap_or_else(|| "it does not last".into());
            let seconds = RECOVERY_TIME / SECOND;
            self.breach(format!(
                "not whole {seconds} s after all was mended: {cause}"
            ));
        }
    }
}

impl Options {
    /// Runs all schedules and prints a summary; how many were checked, and how many breaches there are.
    pub(crate) fn run(&self) -> (usize, usize) {
        let seeds = self.seed..self.seed + self.schedules as u64;
        let outcomes = schedules::run_all(seeds, |seed| World::new(seed).run());
        let mut breaches: Vec<&String> = outcomes.iter().flat_map(|o| &o.breaches).collect();
        breaches.sort_unstable();
        for breach in breaches.iter().take(MAX_PRINTED) {
            println!("breach: {breach}");
        }
        print_summary(&outcomes);
        (self.schedules, breaches.len())
    }
}

fn print_summary(outcomes: &[Outcome]) {
    let sum = |of: fn(&Totals) -> u64| -> u64 { outcomes.iter().map(|o| of(&o.totals)).sum() };
    let recovery = outcomes
        .iter()
        .map(|o| o.totals.recovered_after - STABLE_TIME);
    let mut recovery: Vec<TenthMillis> = recovery.collect();
    recovery.sort_unstable();
    let percentile = |percent: usize| {
        let time = recovery.get(recovery.len() * percent / 100);
        time.map_or(0.0, |time| *time as f64 / TENTHS_PER_SECOND)
    };
    println!(
        "{} values told as agreed, {} times one began to lead, {} selves replaced; whole again after {:.1} s in the \
         median, {:.1} s at the 99th",
        sum(|totals| totals.committed),
        sum(|totals| totals.leaders),
        sum(|totals| totals.replaced),
        percentile(50),
        percentile(99),
    );
}
