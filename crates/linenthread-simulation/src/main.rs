//! `linenthread-simulation`: long checks of each subsystem. Each takes a seed and a count, prints what violations it
//! found with all that is needed to run them again, ends with `N checked, B violations`, and exits with 1
//! where B is not 0.
//!
//! Start reading at [`commands`], which has a module for each of them.

mod commands;
mod dataplane;
mod failover;
mod fleet;
mod link;
mod link_speed;
mod members;
mod merged;
mod merging_speed;
mod number;
mod random;
mod run_summary;
mod schedules;
mod system;
mod zones;

use std::process::ExitCode;

fn main() -> ExitCode {
    linenthread_console::exit_on_closed_output();
    commands::parser().run().run()
}
