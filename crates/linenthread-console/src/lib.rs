//! Standard output for programs whose reader may close the pipe early, as `head` does.
//!
//! Rust ignores SIGPIPE, so a write to a closed pipe returns an error, on which `println!` panics. [`print`] and
//! [`print_line`] treat that error as success, since the reader needs no more output. They return every other error.

pub mod testing;

use std::fmt;
use std::io::{self, ErrorKind, Write};
use std::panic;
use std::process;

/// The exit code of a program that ended early because its reader closed the pipe; shells report the same code for
/// SIGPIPE. It signals neither success nor a finding, since the rest of the work was not done.
pub const CLOSED_OUTPUT_EXIT_CODE: u8 = 141;

/// Start of the panic message of `println!` when a write fails, in lower case.
const PRINTLN_FAILED: &str = "failed printing to stdout";

/// Prints a text without a line end.
///
/// # Errors
/// The write failed for a reason other than a closed pipe.
pub fn print(text: &str) -> io::Result<()> {
    allow_closed_output(io::stdout().write_all(text.as_bytes()))
}

/// Prints a line.
///
/// # Errors
/// The write failed for a reason other than a closed pipe.
pub fn print_line(line: fmt::Arguments<'_>) -> io::Result<()> {
    allow_closed_output(writeln!(io::stdout(), "{line}"))
}

/// Converts the result of a write to standard output so that a closed pipe counts as success.
///
/// # Errors
/// The write failed for a reason other than a closed pipe.
pub fn allow_closed_output(written: io::Result<()>) -> io::Result<()> {
    match written {
        Err(error) if is_closed_output(&error) => Ok(()),
        written => written,
    }
}

/// Reports whether a write failed because the reader closed the pipe.
#[must_use]
pub fn is_closed_output(error: &io::Error) -> bool {
    error.kind() == ErrorKind::BrokenPipe
}

/// Installs a panic hook: a `println!` to a closed pipe then ends the process with [`CLOSED_OUTPUT_EXIT_CODE`] and
/// without a message. For programs that print in many places where the error can't be returned.
pub fn exit_on_closed_output() {
    let broken_pipe = io::Error::from(ErrorKind::BrokenPipe).to_string();
    let previous_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let is_closed_output = info.payload_as_str().is_some_and(|message| {
            let message = message.to_lowercase();
            message.starts_with(PRINTLN_FAILED) && message.contains(&broken_pipe)
        });
        if is_closed_output {
            process::exit(CLOSED_OUTPUT_EXIT_CODE.into());
        }
        previous_hook(info);
    }));
}
