//! `link-speed`: measures the link.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Parser, construct};

use super::{arguments, outcome};
use crate::link_speed;

#[derive(Clone)]
pub(crate) struct Options {
    program: Option<PathBuf>,
}

pub(super) fn parser() -> impl Parser<Options> {
    let program = arguments::program();
    construct!(Options { program })
        .to_options()
        .descr(
            "What the hop adds to a query, sub-requests a second over one link, and what partitions cost; some minutes",
        )
        .footer("Example: linenthread-simulation link-speed")
        .command("link-speed")
        .help("Measure the link")
}

pub(super) fn run(options: &Options) -> ExitCode {
    let program = arguments::program_path(options.program.as_ref());
    outcome::report(link_speed::run(&program))
}
