//! What `cargo test` prints: the programs it runs, the lines of their tests, their summaries.

use std::collections::BTreeMap;

use crate::programs::file_name;

/// How one test ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Passed,
    Failed,
    Ignored,
}

/// The counts of a test program's last line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    pub passed: usize,
    pub failed: usize,
    pub ignored: usize,
}

/// One test program, as it ran.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Run {
    /// The program's file, or the crate's name for the tests of its documentation.
    pub file: String,
    /// These are the tests of a crate's documentation.
    pub documentation: bool,
    pub tests: BTreeMap<String, Outcome>,
    /// Absent if the program ended before it said how its tests went.
    pub summary: Option<Summary>,
    /// Its summary line as it came.
    pub summary_line: String,
}

/// All of a run of `cargo test`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    pub runs: Vec<Run>,
    /// How many targets cargo itself says have failed.
    pub failed_targets: usize,
}

/// Reads the output of `cargo test`, standard output and error as one text.
pub fn read_output(text: &str) -> Output {
    let mut output = Output::default();
    for line in text.lines() {
        if let Some(run) = started(line) {
            output.runs.push(run);
        } else if let Some(count) = failed_targets(line) {
            output.failed_targets = count;
        } else if let Some(run) = output.runs.last_mut().filter(|run| run.summary.is_none()) {
            add_line(run, line);
        }
    }
    output
}

/// `     Running tests/wire.rs (target/debug/deps/wire-0123)` or `   Doc-tests linenthread_core`.
fn started(line: &str) -> Option<Run> {
    let line = line.strip_prefix("   ")?.trim_start();
    if let Some(name) = line.strip_prefix("Doc-tests ") {
        return Some(Run {
            file: name.to_owned(),
            documentation: true,
            ..Run::default()
        });
    }
    let (_, program) = line
        .strip_prefix("Running ")?
        .strip_suffix(')')?
        .rsplit_once(" (")?;
    Some(Run {
        file: file_name(program).to_owned(),
        ..Run::default()
    })
}

/// `error: 2 targets failed:`, cargo's last word with `--no-fail-fast`.
fn failed_targets(line: &str) -> Option<usize> {
    let count = line.strip_prefix("error: ")?;
    let count = count
        .strip_suffix(" targets failed:")
        .or_else(|| count.strip_suffix(" target failed:"))?;
    count.parse().ok()
}

fn add_line(run: &mut Run, line: &str) {
    if let Some(summary) = read_summary(line) {
        run.summary = Some(summary);
        run.summary_line = line.to_owned();
    } else if let Some((test, outcome)) = read_test(line) {
        run.tests.insert(test, outcome);
    }
}

/// `test name ... ok`.
fn read_test(line: &str) -> Option<(String, Outcome)> {
    let (name, outcome) = line.strip_prefix("test ")?.rsplit_once(" ... ")?;
    let outcome = match outcome {
        "ok" => Outcome::Passed,
        "FAILED" => Outcome::Failed,
        other if other == "ignored" || other.starts_with("ignored, ") => Outcome::Ignored,
        _ => return None,
    };
    let name = name.strip_suffix(" - should panic").unwrap_or(name);
    Some((name.to_owned(), outcome))
}

/// `test result: ok. 3 passed; 0 failed; 1 ignored; 0 measured; 0 filtered out; finished in 0.01s`.
fn read_summary(line: &str) -> Option<Summary> {
    let (_, counts) = line.strip_prefix("test result: ")?.split_once(". ")?;
    let mut summary = Summary::default();
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
