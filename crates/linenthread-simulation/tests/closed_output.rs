//! A closed output pipe ends the program without a message and never with success: the remaining checks did not run, or
//! their violations could not be printed.

use std::process::Command;

use linenthread_console::testing::run_with_closed_output;
use yare::parameterized;

#[parameterized(
    system_traced = { &["system", "--schedules", "1", "--seed", "3", "--trace"] },
    system = { &["system", "--schedules", "1", "--seed", "3"] },
    link = { &["link", "--schedules", "1", "--seed", "3"] },
    fleet = { &["fleet", "--schedules", "1", "--seed", "3"] },
    zones = { &["zones", "--schedules", "1", "--seed", "3"] },
    merged = { &["merged", "--seed", "3"] },
    dataplane = { &["dataplane", "--sessions", "1", "--seed", "3"] },
)]
fn a_closed_output_pipe_ends_the_program_without_a_panic_and_without_success(arguments: &[&str]) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenthread-simulation"));
    let output = run_with_closed_output(command.args(arguments)).expect("the program runs");
    assert_eq!(output.status.code(), Some(141));
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
}
