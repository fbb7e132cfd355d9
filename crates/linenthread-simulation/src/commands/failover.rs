//! `failover`: measures failover between zones.

use std::process::ExitCode;

use bpaf::{Parser, construct};

use super::{arguments, outcome};
use crate::failover;

#[derive(Clone)]
pub(crate) struct Options {
    seeds: usize,
    seed: u64,
}

pub(super) fn parser() -> impl Parser<Options> {
    let seeds = arguments::count("seeds", "Runs of each", 3);
    let seed = arguments::first_seed();
    construct!(Options { seeds, seed })
        .to_options()
        .descr(
            "What agreement between zones is worth under six faults, beside the selection of replicas alone, a fixed preference \
             for the local zone, each deciding alone, and the true state; counts where it is worse than those by \
             over 0.01",
        )
        .footer("Example: linenthread-simulation failover --seeds 5 --seed 7")
        .command("failover")
        .help("Measure failover between zones")
}

pub(super) fn run(options: &Options) -> ExitCode {
    outcome::report(failover::run(options.seeds, options.seed))
}
