//! What deciding in common is worth: the same fleet in simulated time, with the same faults and the same random
//! numbers, under five policies. Replicas have queues, cores and cold starts; the decision module and the failover
//! controller are the program's own.
//!
//! Start reading at [`World::run`]; `scenario` has the policies and the faults.

mod coordinator;
mod event;
mod replica;
mod routing;
mod scenario;
mod world;

use linenthread_core::interface::TenthMillis;

use scenario::{Fault, Policy};
use world::World;

const ZONES: usize = 3;
/// Coordinators and replicas in each zone.
const PER_ZONE: usize = 4;
const REPLICAS: usize = ZONES * PER_ZONE;
const SHARDS: usize = 24;
const SUB_REQUESTS_PER_QUERY: usize = 3;
const SECOND: TenthMillis = 10_000;
/// When a run starts.
const START: TenthMillis = 100 * SECOND;
/// The fault starts so long after the run.
const FAULT_START: TenthMillis = 15 * SECOND;
const SOFT_DEADLINE: TenthMillis = 5_000;
/// Sub-requests that a replica processes at once.
const CORES: usize = 2;
/// The mean time that one takes on a warm replica, in tenths of a millisecond.
const SERVICE_TIME: f64 = 200.0;
/// The utilizations of replicas that are compared.
const UTILIZATIONS: [f64; 2] = [0.45, 0.6];
/// Deciding in common may serve this much less than the best of the others.
const TOLERANCE: f64 = 0.01;
/// The index of [`Policy::Common`] among all; those before it know no more than it.
const COMMON: usize = 3;

/// What a run counted, after the fault's start where it says so.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    /// Queries after the fault's start.
    queries: f64,
    /// Of them, those that were answered in time.
    served: f64,
    attempts: f64,
    /// Of them, those to another zone.
    crossing: f64,
    /// Cold replicas that were overloaded until they failed.
    failed_replicas: u32,
    /// From the fault's start to the first table that closes a route.
    reaction_time: Option<TenthMillis>,
}

/// The runs of one policy under one fault.
struct Runs(Vec<Totals>);

impl Runs {
    fn sum(&self, of: fn(&Totals) -> f64) -> f64 {
        self.0.iter().map(of).sum()
    }

    fn served_share(&self) -> f64 {
        self.sum(|t| t.served) / self.sum(|t| t.queries).max(1.0)
    }

    fn crossing_share(&self) -> f64 {
        self.sum(|t| t.crossing) / self.sum(|t| t.attempts).max(1.0)
    }

    /// A table's cell.
    fn summary(&self) -> String {
        format!(
            "{:.3} {:.2} {}",
            self.served_share(),
            self.crossing_share(),
            self.sum(|t| f64::from(t.failed_replicas))
        )
    }

    fn median_reaction(&self) -> Option<TenthMillis> {
        let times = self.0.iter().filter_map(|totals| totals.reaction_time);
        let mut times: Vec<TenthMillis> = times.collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied()
    }
}

/// Runs all policies under a fault with the same seeds.
fn run_policies(fault: Fault, utilization: f64, seeds: usize, seed: u64) -> Vec<Runs> {
    let run = |policy: Policy| {
        let seeds = seed..seed + seeds as u64;
        let runs = seeds.map(|seed| World::new(policy, fault, utilization, seed).run());
        Runs(runs.collect())
    };
    std::thread::scope(|scope| {
        let threads = Policy::ALL.map(|policy| scope.spawn(move || run(policy)));
        let threads = threads.into_iter();
        threads
            .map(|thread| thread.join().expect("a run ends"))
            .collect()
    })
}

/// Runs all and prints a table; how many comparisons, and in how many deciding in common is worse than the best of
/// those that know no more.
pub(crate) fn run(seeds: usize, seed: u64) -> (usize, usize) {
    let mut breaches = 0;
    for utilization in UTILIZATIONS {
        print_heading(utilization);
        for fault in Fault::ALL {
            let runs = run_policies(fault, utilization, seeds, seed);
            print_line(fault, &runs);
            let others = runs[..COMMON].iter().map(Runs::served_share);
            let best = others.fold(0.0, f64::max);
            breaches += usize::from(runs[COMMON].served_share() < best - TOLERANCE);
        }
    }
    (UTILIZATIONS.len() * Fault::ALL.len(), breaches)
}

fn print_heading(utilization: f64) {
    println!(
        "replicas busy to {utilization}: share of gain served, of parts that cross, cold replicas pushed over"
    );
    let headings = Policy::ALL.map(|policy| format!("{policy:>20}"));
    println!("{:10} {}  table after", "", headings.join(" "));
}

fn print_line(fault: Fault, runs: &[Runs]) {
    let cells: Vec<String> = runs
        .iter()
        .map(|runs| format!("{:>20}", runs.summary()))
        .collect();
    let reaction = runs[COMMON].median_reaction();
    let reaction = reaction.map_or("-".into(), |time| {
        format!("{:.1} s", time as f64 / SECOND as f64)
    });
    println!("{fault:10} {}  {reaction}", cells.join(" "));
}
