//! Compares the test outcomes with the list of known failures: exactly the listed tests must fail.

use std::collections::BTreeMap;

use snafu::Snafu;

use crate::known_failures::KnownFailure;
use crate::test_output::{ProgramRun, TestCounts, TestOutcome, TestOutput};
use crate::test_programs::TestProgram;

/// Exit status of `cargo test` if all tests passed.
const EXIT_ALL_PASSED: i32 = 0;
/// Exit status of `cargo test` if tests failed.
const EXIT_SOME_FAILED: i32 = 101;

/// A reason for the check to fail.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
pub enum Violation {
    /// The output contains no run of a test program.
    #[snafu(display("no test program ran: the build failed, or cargo did"))]
    NothingRan,
    /// A test program ended before it printed its summary, for example because it was aborted.
    #[snafu(display("{program} ended without a summary of its tests"))]
    MissingSummary {
        /// The test program, as `package::target`.
        program: String,
    },
    /// The summary of a test program contradicts its test lines, some of which are missing or garbled.
    #[snafu(display("{program}: the summary contradicts the lines of its tests"))]
    InconsistentSummary {
        /// The test program, as `package::target`.
        program: String,
    },
    /// A test program that cargo built is missing from the output.
    #[snafu(display("{program} was built but did not run"))]
    NotRun {
        /// The test program, as `package::target`.
        program: String,
    },
    /// The output contains a test program that cargo did not report as built.
    #[snafu(display("{program} ran but is not among the programs that were built"))]
    UnknownProgram {
        /// File name of the test program.
        program: String,
    },
    /// Two test programs have the same name, so the names of their tests are ambiguous.
    #[snafu(display("two test programs are named {program}"))]
    DuplicateProgram {
        /// The test program, as `package::target`.
        program: String,
    },
    /// The exit status of cargo or its count of failed targets does not match the test outcomes.
    #[snafu(display("cargo test exited with {status}, which the test outcomes do not explain"))]
    ExitStatus {
        /// The exit status of `cargo test`.
        status: i32,
    },
    /// A test failed that is not listed as a known failure.
    #[snafu(display("{test} failed{}", describe(message)))]
    Failed {
        /// The test, as `package::target::test`.
        test: String,
        /// The first line of its panic message, if it printed one.
        message: Option<String>,
    },
    /// A listed test passed: it was fixed, or it is flaky.
    #[snafu(display("{test} is listed as known to fail but passed: remove its line"))]
    KnownFailurePassed {
        /// The test, as `package::target::test`.
        test: String,
    },
    /// A listed test is ignored, so it was not run.
    #[snafu(display("{test} is listed as known to fail but was ignored"))]
    KnownFailureIgnored {
        /// The test, as `package::target::test`.
        test: String,
    },
    /// A listed test does not exist.
    #[snafu(display("{test} is listed as known to fail but does not exist"))]
    KnownFailureMissing {
        /// The test, as `package::target::test`.
        test: String,
    },
}

fn describe(message: &Option<String>) -> String {
    message
        .as_ref()
        .map_or_else(String::new, |message| format!(": {message}"))
}

/// The result of the check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Listed tests that failed, as expected.
    pub known: Vec<KnownFailure>,
    /// Reasons for the check to fail; empty if it passes.
    pub violations: Vec<Violation>,
    /// The summary line of each test program that ran or ignored at least one test.
    pub summaries: Vec<String>,
    /// The counts summed over all test programs.
    pub total: TestCounts,
}

/// Checks a run of `cargo test`.
///
/// `known` lists the tests that must fail, `programs` the test programs that cargo built; `output` and `exit_status`
/// are those of the run.
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
    check_tests(known, &results_by_full_name(&runs), &mut report);
    check_exit_status(output, exit_status, &mut report.violations);
    report
}

/// Maps `package::target` to the run of that test program. Reports programs that are unknown, missing or ambiguous.
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

/// Adds the counts and the summary of one test program, and reports inconsistent output.
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
    // Output of a test may appear between its name and its outcome, so its line cannot be parsed. This is tolerated
    // unless a test of the program failed.
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

/// The result of one test.
struct TestResult {
    outcome: TestOutcome,
    message: Option<String>,
}

/// Maps `package::target::test` to the outcome of the test.
fn results_by_full_name(runs: &BTreeMap<String, &ProgramRun>) -> BTreeMap<String, TestResult> {
    let mut results = BTreeMap::new();
    for (program, run) in runs {
        for (test, outcome) in &run.tests {
            let result = TestResult {
                outcome: *outcome,
                message: run.messages.get(test).cloned(),
            };
            results.insert(format!("{program}::{test}"), result);
        }
    }
    results
}

/// Reports listed tests that did not fail and failed tests that are not listed.
fn check_tests(
    known: &[KnownFailure],
    results: &BTreeMap<String, TestResult>,
    report: &mut Report,
) {
    for failure in known {
        let test = failure.test.clone();
        match results.get(&test).map(|result| result.outcome) {
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
    for (test, result) in results {
        let is_listed = known.iter().any(|failure| failure.test == *test);
        if result.outcome == TestOutcome::Failed && !is_listed {
            report.violations.push(Violation::Failed {
                test: test.clone(),
                message: result.message.clone(),
            });
        }
    }
}

/// Reports an exit status or a count of failed targets that does not match the test outcomes.
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
