//! `KNOWN-RED.txt`: one test a line, with its cause and its issue.

use std::collections::BTreeSet;

use snafu::Snafu;

/// No more tests than these may be known to fail.
pub const MOST: usize = 3;

/// One line of the list: `package::target::test | cause | issue`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The test's full name, `package::target::test`.
    pub test: String,
    /// Why it fails.
    pub cause: String,
    /// Where the mending is followed.
    pub issue: String,
}

/// What is wrong with the list itself.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum KnownFault {
    #[snafu(display("line {line} is not `package::target::test | cause | issue`"))]
    Malformed { line: usize },
    #[snafu(display("{test} is listed twice"))]
    Twice { test: String },
    #[snafu(display("{count} tests are listed, {MOST} is the most"))]
    TooMany { count: usize },
}

/// Reads the list; blank lines are passed over.
///
/// # Errors
/// The first line that is malformed or repeated, or too many of them.
pub fn read_known(text: &str) -> Result<Vec<Entry>, KnownFault> {
    let mut entries = Vec::new();
    let mut names = BTreeSet::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let entry = read_line(line).ok_or(KnownFault::Malformed { line: index + 1 })?;
        if !names.insert(entry.test.clone()) {
            return Err(KnownFault::Twice { test: entry.test });
        }
        entries.push(entry);
    }
    if entries.len() > MOST {
        return Err(KnownFault::TooMany {
            count: entries.len(),
        });
    }
    Ok(entries)
}

fn read_line(line: &str) -> Option<Entry> {
    let fields: Vec<&str> = line.split('|').map(str::trim).collect();
    let [test, cause, issue] = fields[..] else {
        return None;
    };
    let named = test.split("::").count() >= 3 && test.split("::").all(|part| !part.is_empty());
    if !named || cause.is_empty() || issue.is_empty() {
        return None;
    }
    Some(Entry {
        test: test.to_owned(),
        cause: cause.to_owned(),
        issue: issue.to_owned(),
    })
}
