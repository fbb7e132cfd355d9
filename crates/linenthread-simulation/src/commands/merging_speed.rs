//! `merging-speed`: measures merging.

use std::process::ExitCode;

use bpaf::{Parser, construct};

use super::{arguments, outcome};
use crate::merging_speed;

#[derive(Clone)]
pub(crate) struct Options {
    rounds: usize,
}

pub(super) fn parser() -> impl Parser<Options> {
    let rounds = arguments::count("rounds", "Runs of each size", 5);
    construct!(Options { rounds })
        .to_options()
        .descr(
            "Rows merged a second and memory used, beside collecting, sorting and truncating all",
        )
        .footer("Example: linenthread-simulation merging-speed --rounds 9")
        .command("merging-speed")
        .help("Measure merging")
}

pub(super) fn run(options: &Options) -> ExitCode {
    outcome::report(merging_speed::run(options.rounds))
}
