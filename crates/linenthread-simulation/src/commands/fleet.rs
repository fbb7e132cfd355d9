//! `fleet`: checks fleet membership and the replicated state of voters.

use std::process::ExitCode;

use bpaf::{Parser, construct};

use super::{arguments, outcome};
pub(super) use crate::fleet::Options;

pub(super) fn parser() -> impl Parser<Options> {
    let schedules = arguments::schedules(300);
    let seed = arguments::first_seed();
    construct!(Options { schedules, seed })
        .to_options()
        .descr(
            "Members and the agreed record of fleets in simulated time, through loss, partitions, crashes with and \
             without disk, pauses, failing disks and clocks that run apart",
        )
        .footer("Example: linenthread-simulation fleet --schedules 10000 --seed 7")
        .command("fleet")
        .help("Check the fleet's members and record")
}

pub(super) fn run(options: &Options) -> ExitCode {
    outcome::report(options.run())
}
