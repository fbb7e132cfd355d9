//! Merged queries in simulated time: clients that read pages, totals and groups through the decision module and
//! `linenthread-merge` from replicas. Each response is checked against the full data.
//!
//! Faults ([`fault`], [`faults`]): attempts take longer than a query waits, fail in every way, respond with a value that
//! is not valid, or respond twice with different values; replicas die, drain and come back. How often is drawn from the
//! seed. Rows are added while clients read.
//!
//! | invariant | what must hold |
//! | --- | --- |
//! | queries-start | every query can be started, also with the cursor of an earlier response |
//! | valid-values-count | a valid value of a replica is accepted |
//! | duplicates-do-not-count | a second value of one sub-request changes nothing |
//! | bounded-attempts | a sub-request is sent only so often, and never after the response |
//! | one-response-in-time | a query gets exactly one outcome, before its hard deadline |
//! | matches-full-data | rows, totals, groups, shares and cursors of a response are right by the full data |
//! | partial-is-marked | what is partial for the decision module is not marked as complete |
//! | bounded-rows | no more rows are retained than a page has |
//!
//! There are no schedules: a violation is printed with the command that runs all queries again. The number of its query
//! is the index that the decision module knows it by; indices are used again.
//!
//! Start reading at [`simulation`]; `replicas` is the decision module with its replicas, `open_query` and `client` are
//! what the queries need.

mod client;
mod decision;
mod event;
mod fault;
mod faults;
mod invariant;
mod invariants;
mod open_query;
mod plans;
mod replicas;
mod settings;
mod simulation;
mod statistics;
mod traffic;
mod world;

use oorandom::Rand64;

use crate::run_summary::RunSummary;
use fault::ReplicaBehavior;
use world::World;

/// Options of the command.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// How many queries are made.
    pub queries: usize,
    /// What all random numbers derive from.
    pub seed: u64,
    /// The share of sub-requests that take longer than a query waits; random if not given.
    pub slow: Option<f64>,
    /// The least share of a response's weight that may be given.
    pub floor: f64,
    /// No faults and no changes of replicas.
    pub only_delays: bool,
}

impl Options {
    /// Makes all queries and prints what became of them.
    pub(crate) fn run(&self) -> RunSummary {
        let mut rng = Rand64::new(u128::from(self.seed));
        let behavior = ReplicaBehavior {
            slow: self.slow.unwrap_or_else(|| rng.rand_float() * 0.1),
            faults: if self.only_delays {
                0.0
            } else {
                0.02 + 0.2 * rng.rand_float()
            },
            changes: !self.only_delays,
        };
        let plans = plans::all();
        let statistics = World::new(self, &plans, behavior, &mut rng).run();
        statistics.print(self.floor, behavior);
        RunSummary {
            checked: statistics.queries,
            violations: statistics.violations,
        }
    }

    /// The arguments that repeat this run.
    fn arguments(&self) -> String {
        let Options {
            queries,
            seed,
            slow,
            floor,
            only_delays,
        } = self;
        let slow = slow.map_or_else(String::new, |slow| format!(" --slow {slow}"));
        let only_delays = if *only_delays { " --only-delays" } else { "" };
        format!("--queries {queries} --seed {seed} --floor {floor}{slow}{only_delays}")
    }
}
