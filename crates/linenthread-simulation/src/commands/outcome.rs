//! The end of a command.

use std::process::ExitCode;

/// Prints the closing line; fails if there were violations.
pub(super) fn close(checked: usize, violations: usize) -> ExitCode {
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
