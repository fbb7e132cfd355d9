//! Helpers for tests of programs that print.

use std::io;
use std::process::{Command, Output, Stdio};

/// Runs a program whose standard output has no reader from the start, and waits for it to exit. Its standard error is
/// captured.
///
/// # Errors
/// The program can't be started, or waiting for it or reading its standard error failed.
pub fn run_with_closed_output(command: &mut Command) -> io::Result<Output> {
    let (reader, writer) = io::pipe()?;
    drop(reader);
    command.stdout(writer).stderr(Stdio::piped());
    command.spawn()?.wait_with_output()
}
