//! `linenthread-demo`: runs the system on this machine, with three control nodes, two ingress nodes and six stub
//! replicas of three services on loopback. `linenthread-demo rounds` runs the fault scenarios instead.

mod command_error;
mod flags;
mod rounds;
mod show;

use std::path::PathBuf;
use std::process::ExitCode;

use linenthread_console::print_line;

/// The exit code if the daemon's program can't be located.
const USAGE_ERROR: u8 = 2;

/// Returns the path of the daemon in the folder of this program.
fn default_program() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    Some(own.with_file_name("linenthread-node"))
}

fn print_help(help: &xflags::Error) -> ExitCode {
    match print_line(format_args!("{help}")) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

fn main() -> ExitCode {
    let flags = match flags::LinenthreadDemo::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => return print_help(&error),
        Err(error) => error.exit(),
    };
    let Some(program) = flags.program.or_else(default_program) else {
        eprintln!("linenthread-demo: can't locate linenthread-node, use --program");
        return ExitCode::from(USAGE_ERROR);
    };
    let result = match flags.subcommand {
        flags::LinenthreadDemoCmd::Show(_) => show::run(&program),
        flags::LinenthreadDemoCmd::Rounds(flags) => rounds::run(&program, &flags),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linenthread-demo: {error} ({})", program.display());
            ExitCode::FAILURE
        }
    }
}
