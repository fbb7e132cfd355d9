//! `merged`: checks merged responses.

use std::process::ExitCode;

use bpaf::{Parser, construct, long};

use super::{arguments, outcome};
pub(super) use crate::merged::Options;

pub(super) fn parser() -> impl Parser<Options> {
    let queries = arguments::count("queries", "Queries to make", 10_000);
    let seed = arguments::seed();
    let slow = long("slow")
        .help(
            "Share of sub-requests that take longer than a query waits, 0 to 1; drawn if not given",
        )
        .argument("SHARE")
        .optional();
    let floor = long("floor")
        .help("Least share of the weight that a response may have; 1 where all sub-requests must complete")
        .argument("SHARE")
        .fallback(0.5);
    let only_delays = long("only-delays")
        .help("No faults and no changes of replicas, only slow sub-requests")
        .switch();
    construct!(Options { queries, seed, slow, floor, only_delays })
        .to_options()
        .descr(
            "Random queries of merged indexes over a fleet in simulated time, checked by the complete data",
        )
        .footer("Example: linenthread-simulation merged --queries 100000 --seed 7")
        .command("merged")
        .help("Check merged responses")
}

pub(super) fn run(options: &Options) -> ExitCode {
    outcome::report(options.run())
}
