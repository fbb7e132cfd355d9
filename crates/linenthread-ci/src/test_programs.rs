//! Maps test programs to their packages and targets, using the messages of
//! `cargo test --no-run --message-format json-render-diagnostics`. The test output itself does not name the package.

use serde_json::Value;
use snafu::Snafu;

/// A test program that cargo built.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TestProgram {
    /// File name, unique because of the hash that cargo appends.
    pub file: String,
    /// The package that the target belongs to.
    pub package: String,
    /// The target: a library, a binary or a file in `tests/`.
    pub target: String,
}

/// A line that is not a valid message of cargo.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("line {line} of cargo's messages cannot be read"))]
pub struct CargoMessageError {
    /// Line number, counted from 1.
    line: usize,
}

/// Extracts the test programs from cargo's messages.
///
/// # Errors
/// Fails at the first line that is not a valid message of cargo.
pub fn parse_test_programs(messages: &str) -> Result<Vec<TestProgram>, CargoMessageError> {
    let mut programs = Vec::new();
    for (index, line) in messages.lines().enumerate() {
        let unreadable = || CargoMessageError { line: index + 1 };
        let message: Value = serde_json::from_str(line).map_err(|_| unreadable())?;
        let is_test = message["profile"]["test"] == true;
        if message["reason"] != "compiler-artifact" || !is_test {
            continue;
        }
        let Some(executable) = message["executable"].as_str() else {
            continue;
        };
        programs.push(parse_artifact(&message, executable).ok_or_else(unreadable)?);
    }
    Ok(programs)
}

fn parse_artifact(message: &Value, executable: &str) -> Option<TestProgram> {
    let package = package_name(message["package_id"].as_str()?)?;
    let target = message["target"]["name"].as_str()?.to_owned();
    Some(TestProgram {
        file: file_name(executable).to_owned(),
        package,
        target,
    })
}

pub(crate) fn file_name(path: &str) -> &str {
    path.rsplit('/').next().unwrap_or(path)
}

/// Extracts the package name from a package id: `path+file:///a/NAME#0.1.0` or `path+file:///a/b#NAME@0.1.0`.
fn package_name(id: &str) -> Option<String> {
    let (source, fragment) = id.rsplit_once('#')?;
    let name = match fragment.split_once('@') {
        Some((name, _)) => name,
        None => file_name(source),
    };
    Some(name.to_owned())
}
