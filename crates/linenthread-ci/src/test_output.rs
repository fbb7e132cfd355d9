//! A parser of what `cargo test` prints: the programs that it runs, the lines of their tests, their summaries.

use std::collections::BTreeMap;

use crate::test_programs::{TestProgram, file_name};

/// How one test ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TestOutcome {
    /// It passed.
    Passed,
    /// It failed.
    Failed,
    /// It was not run.
    Ignored,
}

/// The counts of a test program's last line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TestCounts {
    /// Tests that passed.
    pub passed: usize,
    /// Tests that failed.
    pub failed: usize,
    /// Tests that were not run.
    pub ignored: usize,
}

/// One run of a test program.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProgramRun {
    /// The program's file, or the crate's name for the tests of its documentation.
    pub file: String,
    /// Whether these are the tests of a crate's documentation.
    pub documentation: bool,
    /// The outcome of each test, by its name.
    pub tests: BTreeMap<String, TestOutcome>,
    /// Absent if the program ended before it printed its summary.
    pub summary: Option<TestCounts>,
    /// Its summary line as printed.
    pub summary_line: String,
}

impl ProgramRun {
    /// Whether this is a run of that program.
    pub(crate) fn is_run_of(&self, program: &TestProgram) -> bool {
        !self.documentation && self.file == program.file
    }
}

/// All of a run of `cargo test`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TestOutput {
    /// The runs, in order.
    pub runs: Vec<ProgramRun>,
    /// How many targets have failed as cargo itself reports.
    pub failed_targets: usize,
}

/// Parses the output of `cargo test`, standard output and error as one text.
pub fn parse_test_output(text: &str) -> TestOutput {
    let mut output = TestOutput::default();
    for line in text.lines() {
        if let Some(run) = parse_program(line) {
            output.runs.push(run);
        } else if let Some(count) = parse_failed_targets(line) {
            output.failed_targets = count;
        } else if let Some(run) = output.runs.last_mut().filter(|run| run.summary.is_none()) {
            add_line(run, line);
        }
    }
    output
}

/// `     Running tests/wire.rs (target/debug/deps/wire-0123)` or `   Doc-tests linenthread_core`.
fn parse_program(line: &str) -> Option<ProgramRun> {
    let line = line.strip_prefix("   ")?.trim_start();
    if let Some(name) = line.strip_prefix("Doc-tests ") {
        return Some(ProgramRun {
            file: name.to_owned(),
            documentation: true,
            ..ProgramRun::default()
        });
    }
    let (_, program) = line
        .strip_prefix("Running ")?
        .strip_suffix(')')?
        .rsplit_once(" (")?;
    Some(ProgramRun {
        file: file_name(program).to_owned(),
        ..ProgramRun::default()
    })
}

/// `error: 2 targets failed:`, which cargo prints last with `--no-fail-fast`.
fn parse_failed_targets(line: &str) -> Option<usize> {
    let count = line.strip_prefix("error: ")?;
    let count = count
        .strip_suffix(" targets failed:")
        .or_else(|| count.strip_suffix(" target failed:"))?;
    count.parse().ok()
}

/// Adds what a line says of a test, or of all tests of the program; other lines are what tests print.
fn add_line(run: &mut ProgramRun, line: &str) {
    if let Some(summary) = parse_summary(line) {
        run.summary = Some(summary);
        run.summary_line = line.to_owned();
    } else if let Some((test, outcome)) = parse_test(line) {
        run.tests.insert(test, outcome);
    }
}

/// `test name ... ok`.
fn parse_test(line: &str) -> Option<(String, TestOutcome)> {
    let (name, outcome) = line.strip_prefix("test ")?.rsplit_once(" ... ")?;
    let outcome = match outcome {
        "ok" => TestOutcome::Passed,
        "FAILED" => TestOutcome::Failed,
        other if other == "ignored" || other.starts_with("ignored, ") => TestOutcome::Ignored,
        _ => return None,
    };
    let name = name.strip_suffix(" - should panic").unwrap_or(name);
    Some((name.to_owned(), outcome))
}

/// `test result: ok. 3 passed; 0 failed; 1 ignored; 0 measured; 0 filtered out; finished in 0.01s`.
fn parse_summary(line: &str) -> Option<TestCounts> {
    let (_, counts) = line.strip_prefix("test result: ")?.split_once(". ")?;
    let mut summary = TestCounts::default();
    for part in counts.split("; ") {
        let Some((count, what)) = part.split_once(' ') else {
            continue;
        };
        match what {
            "passed" => summary.passed = count.parse().ok()?,
            "failed" => summary.failed = count.parse().ok()?,
            "ignored" => summary.ignored = count.parse().ok()?,
            _ => {}
        }
    }
    Some(summary)
}
