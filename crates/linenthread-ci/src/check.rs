//! The check itself: only listed tests fail, and all of them do.

use std::collections::BTreeMap;

use snafu::Snafu;

use crate::known_failures::KnownFailure;
use crate::test_output::{ProgramRun, TestCounts, TestOutcome, TestOutput};
use crate::test_programs::TestProgram;

/// The exit status of `cargo test` when all tests passed.
const EXIT_ALL_PASSED: i32 = 0;
/// Its exit status when tests failed.
const EXIT_SOME_FAILED: i32 = 101;

/// One reason for which the check fails.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
pub enum Violation {
    /// Nothing was tested.
    #[snafu(display("no test program ran: the build failed, or cargo did"))]
    NothingRan,
    /// A test program was aborted.
    #[snafu(display("{program} ended without a summary of its tests"))]
    MissingSummary {
        /// `package::target`.
        program: String,
    },
    /// Lines of tests are missing or garbled.
    #[snafu(display("{program}: the summary does not agree with the lines of its tests"))]
    InconsistentSummary {
        /// `package::target`.
        program: String,
    },
    /// A test program is missing from the output.
    #[snafu(display("{program} was built and did not run"))]
    NotRun {
        /// `package::target`.
        program: String,
    },
    /// The output holds a test program that cargo didn't report.
    #[snafu(display("{program} ran and is not among the programs that were built"))]
    UnknownProgram {
        /// The file's name.
        program: String,
    },
    /// Tests can't be told apart by name.
    #[snafu(display("two test programs are called {program}"))]
    DuplicateProgram {
        /// `package::target`.
        program: String,
    },
    /// Cargo, or a test program, failed for another reason than a test.
    #[snafu(display("cargo test ended with {status}, which the tests do not account for"))]
    ExitStatus {
        /// The exit status of `cargo test`.
        status: i32,
    },
    /// A test failed that isn't listed.
    #[snafu(display("{test} failed"))]
    Failed {
        /// `package::target::test`.
        test: String,
    },
    /// A listed test passed: it is mended, or it is flaky.
    #[snafu(display("{test} is listed as known to fail and passes: take its line out"))]
    KnownFailurePassed {
        /// `package::target::test`.
        test: String,
    },
    /// A listed test was not run.
    #[snafu(display("{test} is listed as known to fail and was ignored"))]
    KnownFailureIgnored {
        /// `package::target::test`.
        test: String,
    },
    /// A listed test does not exist.
    #[snafu(display("{test} is listed as known to fail and there is no such test"))]
    KnownFailureMissing {
        /// `package::target::test`.
        test: String,
    },
}

/// What the check found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Listed tests that failed, as they may.
    pub known: Vec<KnownFailure>,
    /// Why the check fails; empty if it passes.
    pub violations: Vec<Violation>,
    /// The summary line of each test program that has tests.
    pub summaries: Vec<String>,
    /// The counts of all test programs together.
    pub total: TestCounts,
}

/// Checks a run of `cargo test`: `known` are the tests that must fail, `programs` the test programs that cargo built,
/// `output` what it printed, and `exit_status` how it ended.
pub fn check(
    known: &[KnownFailure],
    programs: &[TestProgram],
    output: &TestOutput,
    exit_status: i32,
) -> Report {
    let mut report = Report::default();
    if output.runs.is_empty() {
        report.violations.push(Violation::NothingRan);
        return report;
    }
    let runs = name_runs(programs, &output.runs, &mut report.violations);
    for (program, run) in &runs {
        add_run(program, run, &mut report);
    }
    check_tests(known, &outcomes_by_full_name(&runs), &mut report);
    check_exit_status(output, exit_status, &mut report.violations);
    report
}

/// The runs by `package::target`. A program that is unknown, missing or ambiguous is a violation.
fn name_runs<'a>(
    programs: &[TestProgram],
    runs: &'a [ProgramRun],
    violations: &mut Vec<Violation>,
) -> BTreeMap<String, &'a ProgramRun> {
    let mut named = BTreeMap::new();
    for run in runs {
        let program = programs.iter().find(|program| run.is_run_of(program));
        let name = match program {
            Some(program) => format!("{}::{}", program.package, program.target),
            None if run.documentation => format!("{}::doc", run.file.replace('_', "-")),
            None => {
                violations.push(Violation::UnknownProgram {
                    program: run.file.clone(),
                });
                continue;
            }
        };
        if named.insert(name.clone(), run).is_some() {
            violations.push(Violation::DuplicateProgram { program: name });
        }
    }
    for program in programs {
        if !runs.iter().any(|run| run.is_run_of(program)) {
            let program = format!("{}::{}", program.package, program.target);
            violations.push(Violation::NotRun { program });
        }
    }
    named
}

/// Adds the counts of one test program, and what is wrong with its output.
fn add_run(program: &str, run: &ProgramRun, report: &mut Report) {
    let Some(summary) = run.summary else {
        report.violations.push(Violation::MissingSummary {
            program: program.to_owned(),
        });
        return;
    };
    let count = |outcome| run.tests.values().filter(|o| **o == outcome).count();
    let counted = TestCounts {
        passed: count(TestOutcome::Passed),
        failed: count(TestOutcome::Failed),
        ignored: count(TestOutcome::Ignored),
    };
    // What a test prints may come between its name and its outcome; that matters only where a test failed.
    let is_consistent = if summary.failed > 0 {
        counted == summary
    } else {
        counted.failed == 0
    };
    if !is_consistent {
        report.violations.push(Violation::InconsistentSummary {
            program: program.to_owned(),
        });
    }
    report.total.passed += summary.passed;
    report.total.failed += summary.failed;
    report.total.ignored += summary.ignored;
    if summary != TestCounts::default() {
        report
            .summaries
            .push(format!("{} ({program})", run.summary_line));
    }
}

/// All tests by `package::target::test`.
fn outcomes_by_full_name(runs: &BTreeMap<String, &ProgramRun>) -> BTreeMap<String, TestOutcome> {
    let mut outcomes = BTreeMap::new();
    for (program, run) in runs {
        for (test, outcome) in &run.tests {
            outcomes.insert(format!("{program}::{test}"), *outcome);
        }
    }
    outcomes
}

/// Compares the tests with the list: all that are listed must fail, and no others.
fn check_tests(
    known: &[KnownFailure],
    outcomes: &BTreeMap<String, TestOutcome>,
    report: &mut Report,
) {
    for failure in known {
        let test = failure.test.clone();
        match outcomes.get(&test) {
            Some(TestOutcome::Failed) => report.known.push(failure.clone()),
            Some(TestOutcome::Passed) => report
                .violations
                .push(Violation::KnownFailurePassed { test }),
            Some(TestOutcome::Ignored) => report
                .violations
                .push(Violation::KnownFailureIgnored { test }),
            None => report
                .violations
                .push(Violation::KnownFailureMissing { test }),
        }
    }
    for (test, outcome) in outcomes {
        let is_listed = known.iter().any(|failure| failure.test == *test);
        if *outcome == TestOutcome::Failed && !is_listed {
            report
                .violations
                .push(Violation::Failed { test: test.clone() });
        }
    }
}

/// The exit status and cargo's count of failed targets must be explained by the tests.
fn check_exit_status(output: &TestOutput, exit_status: i32, violations: &mut Vec<Violation>) {
    let failed_targets = output
        .runs
        .iter()
        .filter(|run| run.summary.is_some_and(|summary| summary.failed > 0))
        .count();
    let expected = if failed_targets == 0 {
        EXIT_ALL_PASSED
    } else {
        EXIT_SOME_FAILED
    };
    if exit_status != expected || output.failed_targets != failed_targets {
        violations.push(Violation::ExitStatus {
            status: exit_status,
        });
    }
}
