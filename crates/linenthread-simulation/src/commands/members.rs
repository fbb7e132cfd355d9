//! `members`: measures the cost of fleet membership.

use std::process::ExitCode;

use bpaf::{Parser, construct};

use super::{arguments, outcome};
use crate::members;

#[derive(Clone)]
pub(crate) struct Options {
    seed: u64,
}

pub(super) fn parser() -> impl Parser<Options> {
    let seed = arguments::seed();
    construct!(Options { seed })
        .to_options()
        .descr("What members cost: fleets of 10 and 100 in simulated time")
        .footer("Example: linenthread-simulation members --seed 7")
        .command("members")
        .help("Measure the fleet's members")
}

pub(super) fn run(options: &Options) -> ExitCode {
    outcome::report(members::run(options.seed))
}
