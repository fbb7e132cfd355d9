//! `processes`: checks several real processes while faults are injected between them.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Parser, construct, positional};
use linenthread_fakes::scenarios::{self, Scenario};

use super::{arguments, outcome};
use crate::run_summary::RunSummary;

/// The scenario that injects random faults.
const ZONES: &str = "zones";
/// Selects all scenarios except [`ZONES`].
const ALL: &str = "all";
/// The maximum number of violations printed for [`ZONES`].
const MAX_PRINTED_VIOLATIONS: usize = 20;
/// The maximum number of violations printed for one run of another scenario.
const MAX_PRINTED_VIOLATIONS_OF_SCENARIO: usize = 5;
/// The exit code for an unknown scenario.
const USAGE_ERROR: u8 = 2;

#[derive(Clone)]
pub(crate) struct Options {
    program: Option<PathBuf>,
    rounds: usize,
    seed: u64,
    scenario: String,
}

pub(super) fn parser() -> impl Parser<Options> {
    let names: Vec<&str> = scenarios::ALL.iter().map(|s| s.name).collect();
    let help = format!(
        "{ZONES} (random faults, round after round), {ALL}, or one of: {}",
        names.join(", ")
    );
    let program = arguments::program();
    let rounds = arguments::count("rounds", "Rounds of zones, or runs of a scenario", 1);
    let seed = arguments::seed();
    let scenario = positional::<String>("SCENARIO").help(help.as_str());
    construct!(Options { program, rounds, seed, scenario })
        .to_options()
        .descr(
            "Several processes of the program in zones on loopback with faults between them, checked by one checker",
        )
        .footer("Example: linenthread-simulation processes zones --rounds 20 --seed 7")
        .command("processes")
        .help("Check several processes with faults between them")
}

pub(super) fn run(options: &Options) -> ExitCode {
    let program = arguments::program_path(options.program.as_ref());
    if options.scenario == ZONES {
        run_zones(options, &program)
    } else {
        run_scenarios(options, &program)
    }
}

fn run_zones(options: &Options, program: &str) -> ExitCode {
    let report = scenarios::rounds(program, options.rounds, options.seed);
    for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("violation: {violation}");
    }
    outcome::report(RunSummary {
        checked: report.queries,
        violations: report.violations.len(),
    })
}

fn run_scenarios(options: &Options, program: &str) -> ExitCode {
    let scenario = &options.scenario;
    let chosen = scenarios::ALL
        .iter()
        .filter(|candidate| scenario == ALL || scenario == candidate.name);
    let mut summary = RunSummary::default();
    for Scenario { name, run } in chosen {
        for seed in (options.seed..).take(options.rounds) {
            let mut rig = run(program, seed);
            let violations = rig.stop_and_check();
            for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS_OF_SCENARIO) {
                println!("violation: {name}, seed {seed}: {violation}");
            }
            summary += RunSummary {
                checked: rig.outcomes().len(),
                violations: violations.len(),
            };
            println!("{name}, seed {seed}: {} queries", rig.outcomes().len());
        }
    }
    if summary.checked == 0 {
        eprintln!("linenthread-simulation: there is no scenario {scenario}");
        return ExitCode::from(USAGE_ERROR);
    }
    outcome::report(summary)
}
