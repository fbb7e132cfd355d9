//! The end of a command.

use std::process::ExitCode;

/// Prints the closing line; fails if there were breaches.
pub(super) fn close(checked: usize, breaches: usize) -> ExitCode {
    println!("{checked} checked, {breaches} breaches");
    exit_code(breaches)
}

/// Fails if there were breaches.
pub(super) fn exit_code(breaches: usize) -> ExitCode {
    if breaches == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
