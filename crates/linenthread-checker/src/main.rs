//! Explores scenarios of the consensus and prints a report of each.
//!
//! Exit codes: 0 if no invariant is violated, 1 if one is, 2 if the command line is invalid or the report cannot be
//! written, 141 if the output pipe is closed.

use std::io::{self, Write};
use std::process::ExitCode;
use std::time::Instant;

use linenthread_checker::{
    EventBudget, LeaseScenario, Model, ParseCallError, Report, Scenario, explore,
};
use linenthread_console::{CLOSED_OUTPUT_EXIT_CODE, is_closed_output};

/// Limits memory use: a state that is not expanded yet takes about 2 KB.
const DEFAULT_MAX_STATES: usize = 1_500_000;

mod flags {
    xflags::xflags! {
        /// Explores every interleaving of bounded scenarios of the consensus
        cmd linenthread-checker {
            /// Calls as NODE:CALL,... where CALL is a, b, c, replace or read; default: the whole suite
            optional --calls calls: String
            /// Maximum number of ticks, over all nodes
            optional --ticks count: u8
            /// Maximum number of messages that are delivered twice
            optional --duplicates count: u8
            /// Maximum number of restarts from disk, over all nodes
            optional --crashes count: u8
            /// Maximum number of nodes that lose their disk, 0 or 1
            optional --lost-disks count: u8
            /// Sync records at any time after they were written, instead of immediately
            optional --slow-disks
            /// Number of visited states after which the search ends
            optional --max-states count: usize
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::LinenthreadChecker::from_env_or_exit();
    let scenarios = match scenarios(&flags) {
        Ok(scenarios) => scenarios,
        Err(error) => {
            eprintln!("--calls: {error}");
            return ExitCode::from(2);
        }
    };
    let lease_scenarios = match flags.calls {
        Some(_) => Vec::new(),
        None => LeaseScenario::suite(),
    };
    let mut checker = Checker {
        output: io::stdout(),
        max_states: flags.max_states.unwrap_or(DEFAULT_MAX_STATES),
        states: 0,
        violations: 0,
    };
    match checker.check_all(&scenarios, &lease_scenarios) {
        Ok(()) => ExitCode::from(u8::from(checker.violations > 0)),
        Err(error) if is_closed_output(&error) => ExitCode::from(CLOSED_OUTPUT_EXIT_CODE),
        Err(error) => {
            eprintln!("cannot write to standard output: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns the scenario given by the flags, or the suite if no calls are given.
fn scenarios(flags: &flags::LinenthreadChecker) -> Result<Vec<Scenario>, ParseCallError> {
    let Some(calls) = &flags.calls else {
        return Ok(Scenario::suite());
    };
    Ok(vec![Scenario {
        calls: Scenario::parse_calls(calls)?,
        budget: EventBudget {
            ticks: flags.ticks.unwrap_or(0),
            duplicates: flags.duplicates.unwrap_or(0),
            crashes: flags.crashes.unwrap_or(0),
            lost_disks: flags.lost_disks.unwrap_or(0).min(1),
        },
        slow_disks: flags.slow_disks,
    }])
}

/// Explores models one after another, prints a report of each, and counts states and violations over all of them.
struct Checker<W> {
    output: W,
    max_states: usize,
    states: usize,
    violations: usize,
}

impl<W: Write> Checker<W> {
    fn check_all(
        &mut self,
        scenarios: &[Scenario],
        lease_scenarios: &[LeaseScenario],
    ) -> io::Result<()> {
        for scenario in scenarios {
            self.check(scenario)?;
        }
        for scenario in lease_scenarios {
            self.check(scenario)?;
        }
        let (states, violations) = (self.states, self.violations);
        writeln!(self.output, "{states} states, {violations} violations")
    }

    fn check(&mut self, model: &impl Model) -> io::Result<()> {
        writeln!(self.output, "{model}")?;
        let started_at = Instant::now();
        let report = explore(model, self.max_states);
        let elapsed = started_at.elapsed().as_secs_f64();
        writeln!(self.output, "  {} states in {elapsed:.1} s", report.states)?;
        self.states += report.states;
        self.violations += report.violations.len();
        self.print(&report)
    }

    fn print(&mut self, report: &Report) -> io::Result<()> {
        let output = &mut self.output;
        writeln!(
            output,
            "  depth {}, transitions {}",
            report.depth, report.transitions
        )?;
        let situations: Vec<String> = report
            .situations
            .iter()
            .map(|(name, states)| format!("{name} in {states}"))
            .collect();
        writeln!(output, "  states reached: {}", situations.join(", "))?;
        for violation in &report.violations {
            writeln!(
                output,
                "  {} is violated after {} states:",
                violation.invariant, violation.states
            )?;
            for line in &violation.trace {
                writeln!(output, "    {line}")?;
            }
        }
        if !report.complete {
            writeln!(
                output,
                "  not complete: the search ended before all states were visited"
            )?;
        }
        Ok(())
    }
}
