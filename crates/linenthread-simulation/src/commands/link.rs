//! `link`: checks the link between sites.

use std::process::ExitCode;

use bpaf::{Parser, construct, long};

use super::{arguments, outcome};
pub(super) use crate::link::Options;

pub(super) fn parser() -> impl Parser<Options> {
    let schedules = arguments::schedules(2_000);
    let seed = arguments::first_seed();
    let no_resume = long("no-resume")
        .help("Sessions end with their connection")
        .switch();
    construct!(Options { schedules, seed, no_resume })
        .to_options()
        .descr(
            "Both ends of a link through random partitions, loss, slowness and restarts, checked by what truly ran",
        )
        .footer("Example: linenthread-simulation link --schedules 100000 --seed 7")
        .command("link")
        .help("Check the link between sites")
}

pub(super) fn run(options: &Options) -> ExitCode {
    outcome::report(options.run())
}
