//! `system`: checks control nodes, ingress nodes and operators together.

use std::process::ExitCode;

use bpaf::{Parser, construct, long};

use super::{arguments, outcome};
use crate::system;
pub(super) use crate::system::Options;

pub(super) fn parser() -> impl Parser<Options> {
    let schedules = arguments::schedules(200);
    let seed = arguments::first_seed();
    let core = arguments::count("core", "Machines of control nodes", 3);
    let changes = long("changes")
        .help("Changes of each schedule, sent one after another; drawn if not given")
        .argument("N")
        .optional();
    let jobs = arguments::count("jobs", "Schedules run at once", 1);
    let summary = long("summary")
        .help("Also print how much was acknowledged and which faults came")
        .switch();
    let trace = long("trace")
        .help("Print each step, for one schedule")
        .switch();
    construct!(Options { schedules, seed, core, changes, jobs, summary, trace })
        .to_options()
        .descr(
            "The system's control nodes, ingress nodes and operators in simulated time, through crashes with and \
             without disk, replaced machines, shutdowns, partitions, pauses, slow and full disks, steps of \
             clocks and trouble of the platform, checked by what was acknowledged and reported",
        )
        .footer("Example: linenthread-simulation system --core 5 --schedules 10000 --seed 7")
        .command("system")
        .help("Check the system's control")
}

pub(super) fn run(options: &Options) -> ExitCode {
    outcome::report(system::run(options))
}
