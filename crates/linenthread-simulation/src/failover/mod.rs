//! What it is worth to decide on failover in common: the same fleet in simulated time, with the same faults and the
//! same random numbers, under five policies ([`policy::Policy`]). Replicas have queues, cores and a slow start; the
//! decision module and the failover controller are the program's own.
//!
//! Each run has one fault ([`fault::Fault`]) from its 15th second on: none, a zone lost for long or for a short time, a
//! zone slow, two zones partitioned, or one lost and another slow.
//!
//! It is a comparison: there are no invariants in a run. A line of its table counts as a violation where deciding in
//! common serves fewer queries than the best policy that knows no more, by over 0.01. The seeds of the runs are those
//! from `--seed` on, `--seeds` of them; the same command prints the same table.
//!
//! Start reading at [`simulation`]; `routing` is what the policies decide, `traffic` what coordinators do, `processing`
//! what replicas do.

mod coordinator;
mod decisions;
mod event;
mod fault;
mod faults;
mod policy;
mod processing;
mod replica;
mod routing;
mod simulation;
mod statistics;
mod topology;
mod traffic;
mod world;

use linenthread_core::interface::TenthMillis;

use crate::number::{self, SECOND};
use crate::run_summary::RunSummary;
use fault::Fault;
use policy::Policy;
use statistics::{Runs, print_heading, print_line};
use world::World;

const ZONES: usize = 3;
/// Coordinators and replicas in each zone.
const PER_ZONE: usize = 4;
const REPLICAS: usize = ZONES * PER_ZONE;
const SHARDS: usize = 24;
const SUB_REQUESTS_PER_QUERY: usize = 3;
/// When a run starts.
const START: TenthMillis = 100 * SECOND;
/// The fault starts so long after the run.
const FAULT_START: TenthMillis = 15 * SECOND;
/// A query that is answered within this time counts as served.
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

/// Runs all policies under a fault with the same seeds.
fn run_policies(fault: Fault, utilization: f64, seeds: usize, seed: u64) -> Vec<Runs> {
    let run = |policy: Policy| {
        let seeds = seed..seed + number::count(seeds);
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

/// Runs all and prints a table. Each line of it is checked: a violation is one in which deciding in common is worse
/// than the best of those that know no more.
pub(crate) fn run(seeds: usize, seed: u64) -> RunSummary {
    let mut violations = 0;
    for utilization in UTILIZATIONS {
        print_heading(utilization);
        for fault in Fault::ALL {
            let runs = run_policies(fault, utilization, seeds, seed);
            print_line(fault, &runs);
            let others = runs[..COMMON].iter().map(Runs::served_share);
            let best = others.fold(0.0, f64::max);
            violations += usize::from(runs[COMMON].served_share() < best - TOLERANCE);
        }
    }
    RunSummary {
        checked: UTILIZATIONS.len() * Fault::ALL.len(),
        violations,
    }
}
