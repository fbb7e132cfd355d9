//! `linenthread-ctl`, the operators' command-line client.
//!
//! Exit codes: 0 success; 1 rejected, or differences found; 2 invalid command line or file, or a local failure; 3 no
//! response, or an unknown outcome.

mod commands;
mod error;

use std::io::{self, Write};
use std::process::ExitCode;

use linenthread_console::print_line;
use snafu::ResultExt;

use crate::commands::Output;
use crate::error::{Error, PrintSnafu};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Command-line client for operators of the search front.
        cmd linenthread-ctl {
            /// Addresses of control nodes, comma-separated: IP:PORT,...; default: the variable LINENTHREAD_CONTROL.
            optional --control addresses: String
            /// Prints JSON.
            optional --json
            /// Prints a summary in one line: nodes, voters, quorum, configuration, replicas.
            cmd status {}
            /// Lists the nodes that have a session.
            cmd members {}
            /// Prints the holder and the reports of each duty at the platform; queries all control nodes.
            cmd duties {}
            /// Lists the replicas, ordered by backend.
            cmd replicas {
                /// Lists only the replicas of this backend.
                optional --backend name: String
            }
            /// Prints the configuration in force.
            cmd read {}
            /// Validates a file and replaces the configuration in force with it.
            cmd replace {
                required configuration: PathBuf
                /// The revision to replace; default: the one in force.
                optional --base revision: u64
                /// Only validates the file and prints the changes it would make.
                optional --dry-run
            }
            /// Prints the changes that a file would make; the exit code is 1 if there are any.
            cmd diff {
                required configuration: PathBuf
            }
        }
    }
}

fn main() -> ExitCode {
    let flags = match flags::LinenthreadCtl::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    match commands::run(flags).and_then(|output| print(&output)) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            // If standard error is closed, there is nowhere to report the error.
            let _ = writeln!(io::stderr(), "linenthread-ctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Prints the output of a command and returns its exit code.
fn print(output: &Output) -> Result<u8, Error> {
    if !output.text.is_empty() {
        print_line(format_args!("{}", output.text)).context(PrintSnafu)?;
    }
    Ok(output.exit_code)
}
