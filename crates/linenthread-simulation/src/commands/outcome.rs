//! The end of a command.

use std::process::ExitCode;

use crate::run_summary::RunSummary;

/// Prints the closing line; fails if there were violations.
pub(super) fn close(summary: RunSummary) -> ExitCode {
    let RunSummary {
        checked,
        violations,
    } = summary;
    println!("{checked} checked, {violations} violations");
    exit_code(violations)
}

/// Fails if there were violations.
pub(super) fn exit_code(violations: usize) -> ExitCode {
    if violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
