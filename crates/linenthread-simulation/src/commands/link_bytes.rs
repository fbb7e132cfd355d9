//! `link-bytes`: checks the link by cutting the connection after every byte.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use linenthread_fakes::sites::disconnect_everywhere;

use super::{arguments, outcome};
use crate::run_summary::RunSummary;

#[derive(Clone)]
pub(crate) struct Options {
    program: Option<PathBuf>,
    step: usize,
    session_timeout_ms: u64,
    at_once: usize,
}

pub(super) fn parser() -> impl Parser<Options> {
    let program = arguments::program();
    let step = arguments::count("step", "Cut after every Nth byte", 1);
    let session_timeout_ms = long("keep")
        .help("Milliseconds for which a session outlives its connection; 10 is without resume")
        .argument("MS")
        .fallback(3_000);
    let at_once = arguments::count("at-once", "Pairs of sites at once", 4);
    construct!(Options { program, step, session_timeout_ms, at_once })
        .to_options()
        .descr(
            "A query that may run only once between two sites on loopback, the link cut after each byte, in both \
             directions",
        )
        .footer("Example: linenthread-simulation link-bytes --keep 10")
        .command("link-bytes")
        .help("Check the link at every byte")
}

pub(super) fn run(options: &Options) -> ExitCode {
    let program = arguments::program_path(options.program.as_ref());
    let verdict = disconnect_everywhere(
        &program,
        Duration::from_millis(options.session_timeout_ms),
        options.step,
        options.at_once,
    );
    for violation in &verdict.violations {
        println!("violation: {violation}");
    }
    println!(
        "{} succeeded, {} rejected, {} failed",
        verdict.succeeded, verdict.rejected, verdict.failed
    );
    outcome::report(RunSummary {
        checked: verdict.checked,
        violations: verdict.violations.len(),
    })
}
