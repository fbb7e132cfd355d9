//! `merged`: checks merged answers.

use std::process::ExitCode;

use bpaf::{Parser, construct, long};

use super::{arguments, outcome};
pub(super) use crate::merged::Options;

pub(super) fn parser() -> impl Parser<Options> {
    let lookups = arguments::count("lookups", "Lookups to ask", 10_000);
    let seed = arguments::seed();
    let slow = long("slow")
        .help("Share of parts that take longer than a lookup waits, 0 to 1; drawn if not given")
        .argument("SHARE")
        .optional();
    let floor = long("floor")
        .help("Least share of an answer's weight that may be given; 1 where all parts must be in")
        .argument("SHARE")
        .fallback(0.5);
    let only_delays = long("only-delays")
        .help("No faults and no changes of replicas, only slow parts")
        .switch();
    construct!(Options { lookups, seed, slow, floor, only_delays })
        .to_options()
        .descr(
            "Random lookups of merged indexes over a fleet in simulated time, checked by the complete data",
        )
        .footer("Example: linenthread-simulation merged --lookups 100000 --seed 7")
        .command("merged")
        .help("Check merged answers")
}

pub(super) fn run(options: &Options) -> ExitCode {
    let (checked, breaches) = options.run();
    outcome::close(checked, breaches)
}
