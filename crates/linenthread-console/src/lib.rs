//! Standard output of programs whose reader may close the pipe early, as `head` does.
//!
//! Rust ignores SIGPIPE, so that a write to a closed pipe is an error, and `println!` panics. Here such an error means
//! that the reader has read enough: it is no failure of the program. Every other error is returned.

pub mod testing;

use std::fmt;
use std::io::{self, ErrorKind, Write};
use std::panic;
use std::process;

/// The exit code of a program that ended early because its reader has closed the pipe: what shells report for SIGPIPE.
/// It is neither success nor a finding, since the rest of the work was not done.
pub const CLOSED_OUTPUT_EXIT_CODE: u8 = 141;

/// What `println!` panics with if it can't write, in lower case.
const PRINTLN_FAILED: &str = "failed printing to stdout";

/// Prints a text as it is.
///
/// # Errors
/// The write failed for another reason than a closed pipe.
pub fn print(text: &str) -> io::Result<()> {
    allow_closed_output(io::stdout().write_all(text.as_bytes()))
}

/// Prints a line.
///
/// # Errors
/// As [`print`].
pub fn print_line(line: fmt::Arguments<'_>) -> io::Result<()> {
    allow_closed_output(writeln!(io::stdout(), "{line}"))
}

/// The result of a write to standard output, where a closed pipe is no error.
///
/// # Errors
/// The write failed for another reason.
pub fn allow_closed_output(written: io::Result<()>) -> io::Result<()> {
    match written {
        Err(error) if is_closed_output(&error) => Ok(()),
        written => written,
    }
}

/// Whether a write failed because the reader has closed the pipe.
#[must_use]
pub fn is_closed_output(error: &io::Error) -> bool {
    error.kind() == ErrorKind::BrokenPipe
}

/// From now on a `println!` to a closed pipe ends the process without a message, with [`CLOSED_OUTPUT_EXIT_CODE`]. For
/// programs that print from many places, where the error can't be returned.
pub fn exit_on_closed_output() {
    let broken_pipe = io::Error::from(ErrorKind::BrokenPipe).to_string();
    let report_panic = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let is_closed_output = info.payload_as_str().is_some_and(|message| {
            let message = message.to_lowercase();
            message.starts_with(PRINTLN_FAILED) && message.contains(&broken_pipe)
        });
        if is_closed_output {
            process::exit(CLOSED_OUTPUT_EXIT_CODE.into());
        }
        report_panic(info);
    }));
}
