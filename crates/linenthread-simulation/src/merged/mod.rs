//! Checks merged queries in simulated time. Clients read pages, totals and groups from replicas through the decision
//! module and `linenthread-merge`. Each response is checked against the full data.
//!
//! Faults ([`fault`], [`faults`]): attempts take longer than a query waits, fail, are rejected, lose their connection,
//! return an invalid value, or return two different values; replicas stop, drain and return. The probabilities are
//! drawn from the seed. Rows are added while clients read.
//!
//! | invariant | what must hold |
//! | --- | --- |
//! | queries-start | every query can be started, also with the cursor of an earlier response |
//! | valid-values-count | a valid value of a replica is accepted |
//! | duplicates-do-not-count | a second value of one sub-request changes nothing |
//! | bounded-attempts | a sub-request is sent at most 3 times, and never after the response |
//! | one-response-in-time | a query gets exactly one outcome, before its hard deadline |
//! | matches-full-data | rows, totals, groups, shares and cursors of a response agree with the full data |
//! | partial-is-marked | a response that is partial for the decision module is not marked as complete |
//! | bounded-rows | no more rows are retained than a page has |
//!
//! There are no schedules: a violation is printed with the command that repeats the whole run. The number of the query
//! is its index in the decision module; indices are reused.
//!
//! Start reading at [`simulation`]; `replicas` contains the decision module with its replicas, `open_query` and
//! `client` the state of queries.

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
    /// The number of queries to make.
    pub queries: usize,
    /// The seed that all random numbers derive from.
    pub seed: u64,
    /// The share of sub-requests that take longer than a query waits; drawn from the seed if not given.
    pub slow: Option<f64>,
    /// The minimum share of the weight that a response may cover.
    pub floor: f64,
    /// Whether to leave out faults and changes of replicas, so that sub-requests are only slow.
    pub only_delays: bool,
}

impl Options {
    /// Makes all queries and prints a summary of their outcomes.
    pub(crate) fn run(&self) -> RunSummary {
        let mut rng = Rand64::new(u128::from(self.seed));
        let behavior = ReplicaBehavior {
            slow_share: self.slow.unwrap_or_else(|| rng.rand_float() * 0.1),
            fault_share: if self.only_delays {
                0.0
            } else {
                0.02 + 0.2 * rng.rand_float()
            },
            replicas_change: !self.only_delays,
        };
        let plans = plans::all();
        let statistics = World::new(self, &plans, behavior, &mut rng).run();
        statistics.print(self.floor, behavior);
        RunSummary {
            checked: statistics.queries,
            violations: statistics.violations,
        }
    }

    /// Returns the command-line arguments that repeat this run.
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
