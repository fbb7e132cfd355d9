//! Standard output. A reader that has closed it, as in `linenthread-demo | head`, is no error.

use std::fmt;
use std::io::{self, ErrorKind, Write};

/// Prints a line.
pub(crate) fn print_line(line: fmt::Arguments<'_>) -> io::Result<()> {
    match writeln!(io::stdout(), "{line}") {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        result => result,
    }
}
