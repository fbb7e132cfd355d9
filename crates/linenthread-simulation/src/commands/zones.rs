//! `zones`: checks failover between zones.

use std::process::ExitCode;

use bpaf::{Parser, construct};

use super::{arguments, outcome};
pub(super) use crate::zones::Options;

pub(super) fn parser() -> impl Parser<Options> {
    let schedules = arguments::schedules(300);
    let seed = arguments::first_seed();
    construct!(Options { schedules, seed })
        .to_options()
        .descr(
            "What is agreed on zones: lost, slow, partitioned off, drained and back, checked by their true state",
        )
        .footer("Example: linenthread-simulation zones --schedules 10000 --seed 7")
        .command("zones")
        .help("Check failover between zones")
}

pub(super) fn run(options: &Options) -> ExitCode {
    outcome::report(options.run())
}
