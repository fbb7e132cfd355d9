//! The verdict: only listed tests fail, and all of them do.

use std::collections::BTreeMap;

use snafu::Snafu;

use crate::known::Entry;
use crate::output::{Outcome, Output, Run, Summary};
use crate::programs::Program;

/// The exit status of `cargo test` when all passed.
const ALL_PASSED: i32 = 0;
/// Its exit status when tests failed.
const SOME_FAILED: i32 = 101;

/// One reason for which the check fails.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
pub enum Fault {
    #[snafu(display("no test program ran: the build failed, or cargo did"))]
    NothingRan,
    #[snafu(display("{program} ended without a summary of its tests"))]
    NoSummary { program: String },
    #[snafu(display("{program}: the summary does not agree with the lines of its tests"))]
    Unclear { program: String },
    #[snafu(display("{program} was built and did not run"))]
    NotRun { program: String },
    #[snafu(display("{program} ran and is not among the programs that were built"))]
    UnknownProgram { program: String },
    #[snafu(display("two test programs are called {program}"))]
    SameName { program: String },
    #[snafu(display("cargo test ended with {status}, which the tests do not account for"))]
    Status { status: i32 },
    #[snafu(display("{test} failed"))]
    Failed { test: String },
    #[snafu(display("{test} is listed as known to fail and passes: take its line out"))]
    ListedPasses { test: String },
    #[snafu(display("{test} is listed as known to fail and was ignored"))]
    ListedIgnored { test: String },
    #[snafu(display("{test} is listed as known to fail and there is no such test"))]
    ListedUnknown { test: String },
}

/// What the check found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Listed tests that failed, as they may.
    pub known: Vec<Entry>,
    /// Why the check fails; empty if it passes.
    pub faults: Vec<Fault>,
    /// The summary line of each test program that has tests.
    pub summaries: Vec<String>,
    /// The counts of all test programs together.
    pub total: Summary,
}

/// Judges a run of `cargo test` and its exit status.
pub fn judge(known: &[Entry], programs: &[Program], output: &Output, status: i32) -> Report {
    let mut report = Report::default();
    if output.runs.is_empty() {
        report.faults.push(Fault::NothingRan);
        return report;
    }
    let named = name_runs(programs, &output.runs, &mut report.faults);
    for (program, run) in &named {
        add_run(program, run, &mut report);
    }
    judge_tests(known, &outcomes(&named), &mut report);
    judge_status(output, status, &mut report.faults);
    report
}

/// The runs by `package::target`; a program that can't be named, or is missing, is a fault.
fn name_runs<'a>(
    programs: &[Program],
    runs: &'a [Run],
    faults: &mut Vec<Fault>,
) -> BTreeMap<String, &'a Run> {
    let mut named = BTreeMap::new();
    for run in runs {
        let program = programs
            .iter()
            .find(|p| !run.documentation && p.file == run.file);
        let name = match program {
            Some(program) => format!("{}::{}", program.package, program.target),
            None if run.documentation => format!("{}::doc", run.file.replace('_', "-")),
            None => {
                faults.push(Fault::UnknownProgram {
                    program: run.file.clone(),
                });
                continue;
            }
        };
        if named.insert(name.clone(), run).is_some() {
            faults.push(Fault::SameName { program: name });
        }
    }
    for program in programs {
        if !runs
            .iter()
            .any(|run| !run.documentation && run.file == program.file)
        {
            let program = format!("{}::{}", program.package, program.target);
            faults.push(Fault::NotRun { program });
        }
    }
    named
}

fn add_run(program: &str, run: &Run, report: &mut Report) {
    let Some(summary) = run.summary else {
        report.faults.push(Fault::NoSummary {
            program: program.to_owned(),
        });
        return;
    };
    let count = |outcome| run.tests.values().filter(|o| **o == outcome).count();
    let counted = Summary {
        passed: count(Outcome::Passed),
        failed: count(Outcome::Failed),
        ignored: count(Outcome::Ignored),
    };
    // A test's own words may fall between its name and its outcome: that harms only where a test failed.
    let same = if summary.failed > 0 {
        counted == summary
    } else {
        counted.failed == 0
    };
    if !same {
        report.faults.push(Fault::Unclear {
            program: program.to_owned(),
        });
    }
    report.total.passed += summary.passed;
    report.total.failed += summary.failed;
    report.total.ignored += summary.ignored;
    if summary != Summary::default() {
        report
            .summaries
            .push(format!("{} ({program})", run.summary_line));
    }
}

/// All tests by `package::target::test`.
fn outcomes(named: &BTreeMap<String, &Run>) -> BTreeMap<String, Outcome> {
    let mut outcomes = BTreeMap::new();
    for (program, run) in named {
        for (test, outcome) in &run.tests {
            outcomes.insert(format!("{program}::{test}"), *outcome);
        }
    }
    outcomes
}

fn judge_tests(known: &[Entry], outcomes: &BTreeMap<String, Outcome>, report: &mut Report) {
    for entry in known {
        let test = entry.test.clone();
        match outcomes.get(&test) {
            Some(Outcome::Failed) => report.known.push(entry.clone()),
            Some(Outcome::Passed) => report.faults.push(Fault::ListedPasses { test }),
            Some(Outcome::Ignored) => report.faults.push(Fault::ListedIgnored { test }),
            None => report.faults.push(Fault::ListedUnknown { test }),
        }
    }
    for (test, outcome) in outcomes {
        let listed = known.iter().any(|entry| entry.test == *test);
        if *outcome == Outcome::Failed && !listed {
            report.faults.push(Fault::Failed { test: test.clone() });
        }
    }
}

/// What cargo says of the whole must be what the tests account for.
fn judge_status(output: &Output, status: i32, faults: &mut Vec<Fault>) {
    let failed = output
        .runs
        .iter()
        .filter(|run| run.summary.is_some_and(|s| s.failed > 0))
        .count();
    let expected = if failed == 0 { ALL_PASSED } else { SOME_FAILED };
    if status != expected || output.failed_targets != failed {
        faults.push(Fault::Status { status });
    }
}
