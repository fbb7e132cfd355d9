//! `KNOWN-RED.txt`: one test a line, with its cause and its issue.

use std::collections::BTreeSet;

use snafu::Snafu;

/// How many tests may be listed, so that the list stays an exception.
pub const MAX_KNOWN_FAILURES: usize = 3;

/// One line of the list: `package::target::test | cause | issue`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownFailure {
    /// The test's full name, `package::target::test`.
    pub test: String,
    /// Why it fails.
    pub cause: String,
    /// The issue that tracks the fix.
    pub issue: String,
}

/// Why the list itself is invalid.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum KnownFailuresError {
    /// A line hasn't three fields, or a field is empty.
    #[snafu(display("line {line} is not `package::target::test | cause | issue`"))]
    Malformed {
        /// Line of the list, from 1.
        line: usize,
    },
    /// A test is listed twice.
    #[snafu(display("{test} is listed twice"))]
    Duplicate {
        /// `package::target::test`.
        test: String,
    },
    /// More than [`MAX_KNOWN_FAILURES`] tests are listed.
    #[snafu(display("{count} tests are listed, {MAX_KNOWN_FAILURES} is the most"))]
    TooMany {
        /// How many are listed.
        count: usize,
    },
}

/// Parses the list; blank lines are ignored.
///
/// # Errors
/// The first line that is malformed or repeated, or too many of them.
pub fn parse_known_failures(text: &str) -> Result<Vec<KnownFailure>, KnownFailuresError> {
    let mut entries = Vec::new();
    let mut names = BTreeSet::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let entry = parse_line(line).ok_or(KnownFailuresError::Malformed { line: index + 1 })?;
        if !names.insert(entry.test.clone()) {
            return Err(KnownFailuresError::Duplicate { test: entry.test });
        }
        entries.push(entry);
    }
    if entries.len() > MAX_KNOWN_FAILURES {
        return Err(KnownFailuresError::TooMany {
            count: entries.len(),
        });
    }
    Ok(entries)
}

fn parse_line(line: &str) -> Option<KnownFailure> {
    let fields: Vec<&str> = line.split('|').map(str::trim).collect();
    let [test, cause, issue] = fields[..] else {
        return None;
    };
    let has_full_name =
        test.split("::").count() >= 3 && test.split("::").all(|part| !part.is_empty());
    if !has_full_name || cause.is_empty() || issue.is_empty() {
        return None;
    }
    Some(KnownFailure {
        test: test.to_owned(),
        cause: cause.to_owned(),
        issue: issue.to_owned(),
    })
}
