//! `dataplane`: checks the data plane.

use std::process::ExitCode;

use bpaf::{Parser, construct, long};

use super::{arguments, outcome};
use crate::dataplane;
pub(super) use crate::dataplane::Options;

pub(super) fn parser() -> impl Parser<Options> {
    let sessions = arguments::count("sessions", "Sessions of clients to run", 2_000);
    let seed = arguments::first_seed();
    let summary = long("summary")
        .help("Also print what became of the requests, and the digest of all that happened")
        .switch();
    construct!(Options { sessions, seed, summary })
        .to_options()
        .descr(
            "The traffic path in simulated time against replicas that respond twice, in part, late or not at all, \
             checked by each run at each replica and each response at each client",
        )
        .footer("Example: linenthread-simulation dataplane --sessions 100000 --seed 7")
        .command("dataplane")
        .help("Check the data plane")
}

pub(super) fn run(options: &Options) -> ExitCode {
    let summary = dataplane::run(options);
    println!(
        "{} sessions checked, {} violations",
        summary.checked, summary.violations
    );
    outcome::exit_code(summary.violations)
}
