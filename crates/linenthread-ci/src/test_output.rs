//! Parser for the output of `cargo test`: the test programs, their test lines and their summaries.

use std::collections::BTreeMap;

use crate::test_programs::{TestProgram, file_name};

/// The maximum length of a failure's message, in characters; tests print whole logs.
const MAX_MESSAGE_LENGTH: usize = 400;

/// The outcome of one test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TestOutcome {
    /// The test passed.
    Passed,
    /// The test failed.
    Failed,
    /// The test was not run.
    Ignored,
}

/// The counts in the summary line of a test program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TestCounts {
    /// Tests that passed.
    pub passed: usize,
    /// Tests that failed.
    pub failed: usize,
    /// Tests that were not run.
    pub ignored: usize,
}

/// A run of one test program.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProgramRun {
    /// File name of the test program; for documentation tests the name of the crate.
    pub file: String,
    /// Whether this is a run of the documentation tests of a crate.
    pub documentation: bool,
    /// The outcome of each test, by test name.
    pub tests: BTreeMap<String, TestOutcome>,
    /// The first line of the panic message of each failed test that printed one, by test name.
    pub messages: BTreeMap<String, String>,
    /// The counts of the summary; `None` if the program ended before it printed one.
    pub summary: Option<TestCounts>,
    /// The summary line as printed; empty if there is none.
    pub summary_line: String,
}

impl ProgramRun {
    pub(crate) fn is_run_of(&self, program: &TestProgram) -> bool {
        !self.documentation && self.file == program.file
    }
}

/// The parsed output of `cargo test`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TestOutput {
    /// The runs of the test programs, in order.
    pub runs: Vec<ProgramRun>,
    /// Number of failed targets that cargo reported.
    pub failed_targets: usize,
}

/// The position in the captured output of a failed test.
#[derive(Default)]
struct FailureSection {
    /// The name of the test.
    test: String,
    /// Whether the previous line says where the test panicked; the message follows it.
    has_panicked: bool,
}

/// Parses the output of `cargo test`: its standard output and standard error in one text.
pub fn parse_test_output(text: &str) -> TestOutput {
    let mut output = TestOutput::default();
    let mut section = FailureSection::default();
    for line in text.lines() {
        if let Some(run) = parse_program(line) {
            output.runs.push(run);
            section = FailureSection::default();
        } else if let Some(count) = parse_failed_targets(line) {
            output.failed_targets = count;
        } else if let Some(run) = output.runs.last_mut().filter(|run| run.summary.is_none()) {
            add_line(run, line);
            add_message(run, &mut section, line);
        }
    }
    output
}

/// Parses `     Running tests/wire.rs (target/debug/deps/wire-0123)` or `   Doc-tests linenthread_core`.
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

/// Parses `error: 2 targets failed:`, which cargo prints last with `--no-fail-fast`.
fn parse_failed_targets(line: &str) -> Option<usize> {
    let count = line.strip_prefix("error: ")?;
    let count = count
        .strip_suffix(" targets failed:")
        .or_else(|| count.strip_suffix(" target failed:"))?;
    count.parse().ok()
}

/// Adds the summary or the test outcome in a line. Ignores other lines, which are output of the tests.
fn add_line(run: &mut ProgramRun, line: &str) {
    if let Some(summary) = parse_summary(line) {
        run.summary = Some(summary);
        run.summary_line = line.to_owned();
    } else if let Some((test, outcome)) = parse_test(line) {
        run.tests.insert(test, outcome);
    }
}

/// Adds the line after `thread 'name' panicked at file.rs:1:2:` in the section of a failed test as its message. The
/// section begins with `---- name stdout ----`.
fn add_message(run: &mut ProgramRun, section: &mut FailureSection, line: &str) {
    if let Some(test) = parse_section(line) {
        *section = FailureSection {
            test: test.to_owned(),
            has_panicked: false,
        };
    } else if section.has_panicked {
        let message = line.chars().take(MAX_MESSAGE_LENGTH).collect();
        run.messages.entry(section.test.clone()).or_insert(message);
        section.has_panicked = false;
    } else {
        let is_panic = line.starts_with("thread '") && line.contains(" panicked at ");
        section.has_panicked = is_panic && !section.test.is_empty();
    }
}

/// Parses `---- name stdout ----`.
fn parse_section(line: &str) -> Option<&str> {
    line.strip_prefix("---- ")?.strip_suffix(" stdout ----")
}

/// Parses `test name ... ok`.
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

/// Parses `test result: ok. 3 passed; 0 failed; 1 ignored; 0 measured; 0 filtered out; finished in 0.01s`.
fn parse_summary(line: &str) -> Option<TestCounts> {
    let (_, counts) = line.strip_prefix("test result: ")?.split_once(". ")?;
    let mut summary = TestCounts::default();
    for part in counts.split("; ") {
        let Some((count, outcome)) = part.split_once(' ') else {
            continue;
        };
        match outcome {
            "passed" => summary.passed = count.parse().ok()?,
            "failed" => summary.failed = count.parse().ok()?,
            "ignored" => summary.ignored = count.parse().ok()?,
            _ => {}
        }
    }
    Some(summary)
}
