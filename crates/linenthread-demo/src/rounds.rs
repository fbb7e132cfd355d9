//! The `rounds` command: runs all scenarios, or those of one point, for a number of rounds.

use std::path::Path;
use std::time::Instant;

use linenthread_console::print_line;
use linenthread_demo::scenarios::{Scale, Scenario};
use oorandom::Rand64;
use snafu::ensure;

use crate::command_error::{CommandError, ViolationsSnafu};
use crate::flags;

pub(crate) fn run(program: &Path, flags: &flags::Rounds) -> Result<(), CommandError> {
    let rounds = flags.rounds.unwrap_or(1);
    let first_seed = flags.seed.unwrap_or(1);
    let scale = if flags.brief {
        Scale::BRIEF
    } else {
        Scale::LONG
    };
    let is_wanted = |scenario: &Scenario| flags.point.is_none_or(|point| point == scenario.point());
    let mut violations = 0;
    for round in 0..rounds {
        for scenario in Scenario::ALL.into_iter().filter(is_wanted) {
            violations += run_scenario(program, scenario, &scale, first_seed + round)?;
        }
    }
    print_line(format_args!(
        "{rounds} rounds checked, {violations} violations"
    ))?;
    ensure!(violations == 0, ViolationsSnafu { count: violations });
    Ok(())
}

/// Runs one scenario, prints its findings and returns the number of violations.
fn run_scenario(
    program: &Path,
    scenario: Scenario,
    scale: &Scale,
    seed: u64,
) -> Result<usize, CommandError> {
    let started_at = Instant::now();
    let mut random = Rand64::new(u128::from(seed));
    let findings = scenario.run(program, scale, &mut random)?;
    print_line(format_args!(
        "seed {seed} point {} {scenario:?}: {} checks, {} violations in {:.1} s",
        scenario.point(),
        findings.checks,
        findings.violations.len(),
        started_at.elapsed().as_secs_f64()
    ))?;
    for note in &findings.notes {
        print_line(format_args!("    {note}"))?;
    }
    for violation in &findings.violations {
        print_line(format_args!("    violation: {violation}"))?;
    }
    Ok(findings.violations.len())
}
