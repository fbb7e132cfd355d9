//! Compares policies for failover between zones ([`policy::Policy`]). Each policy is run on the same fleet in simulated
//! time, with the same faults and random seeds. Replicas have queues, cores and a slow start; the decision module and
//! the failover controller are those of the program.
//!
//! Each run has one fault ([`fault::Fault`]) that starts after 15 s: none, a zone lost for a long or a short time, a
//! slow zone, two zones partitioned from each other, or one zone lost and another slow.
//!
//! This is a comparison, so a run has no invariants. A line of the table counts as a violation if the shared controller
//! serves a share of queries that is more than 0.01 below that of the best policy without knowledge of the true state.
//! The runs use `--seeds` consecutive seeds, starting from `--seed`; the same command prints the same table.
//!
//! Start reading at [`simulation`]; `routing` implements the policies, `traffic` the coordinators and `processing` the
//! replicas.

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
/// The number of coordinators, and of replicas, in each zone.
const NODES_PER_ZONE: usize = 4;
const REPLICAS: usize = ZONES * NODES_PER_ZONE;
const SHARDS: usize = 24;
const SUB_REQUESTS_PER_QUERY: usize = 3;
/// The simulated time at which a run starts.
const START: TenthMillis = 100 * SECOND;
/// The time from the start of a run to the start of its fault.
const FAULT_START: TenthMillis = 15 * SECOND;
/// The time within which a query must be answered to count as served.
const SOFT_DEADLINE: TenthMillis = 5_000;
/// The number of sub-requests that a replica processes concurrently.
const CORES: usize = 2;
/// The mean service time of a sub-request on a warm replica, in tenths of a millisecond.
const SERVICE_TIME: f64 = 200.0;
/// The utilizations of replicas at which the policies are compared.
const UTILIZATIONS: [f64; 2] = [0.45, 0.6];
/// How far the served share of the shared controller may be below the best of the policies before it.
const TOLERANCE: f64 = 0.01;
/// The index of [`Policy::Shared`] in [`Policy::ALL`]. The policies before it don't know the true state either.
const SHARED_POLICY_INDEX: usize = 3;

/// Runs each policy under a fault with the same seeds.
fn run_policies(fault: Fault, utilization: f64, seeds: usize, seed: u64) -> Vec<Runs> {
    let run = |policy: Policy| {
        let seeds = seed..seed + number::to_u64(seeds);
        let runs = seeds.map(|seed| World::new(policy, fault, utilization, seed).run());
        Runs(runs.collect())
    };
    std::thread::scope(|scope| {
        let threads = Policy::ALL.map(|policy| scope.spawn(move || run(policy)));
        let threads = threads.into_iter();
        threads
            .map(|thread| thread.join().expect("a run panicked"))
            .collect()
    })
}

/// Runs all policies under all faults and prints a table for each utilization. Each line is checked: it is a violation
/// if the shared controller is worse, by more than [`TOLERANCE`], than the best policy without knowledge of the true
/// state.
pub(crate) fn run(seeds: usize, seed: u64) -> RunSummary {
    let mut violations = 0;
    for utilization in UTILIZATIONS {
        print_heading(utilization);
        for fault in Fault::ALL {
            let runs = run_policies(fault, utilization, seeds, seed);
            print_line(fault, &runs);
            let others = runs[..SHARED_POLICY_INDEX].iter().map(Runs::served_share);
            let best = others.fold(0.0, f64::max);
            violations += usize::from(runs[SHARED_POLICY_INDEX].served_share() < best - TOLERANCE);
        }
    }
    RunSummary {
        checked: UTILIZATIONS.len() * Fault::ALL.len(),
        violations,
    }
}
