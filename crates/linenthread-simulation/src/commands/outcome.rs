//! The closing line and the exit code of a command.

use std::process::ExitCode;

use crate::run_summary::RunSummary;

/// Prints the closing line and returns the exit code: failure if there were violations.
pub(super) fn report(summary: RunSummary) -> ExitCode {
    let RunSummary {
        checked,
        violations,
    } = summary;
    println!("{checked} checked, {violations} violations");
    exit_code(violations)
}

/// Returns the exit code: failure if there were violations, else success.
pub(super) fn exit_code(violations: usize) -> ExitCode {
    if violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
