//! A closed output pipe ends the program quietly.

use std::process::Command;

use linenthread_console::testing::run_with_closed_output;
use yare::parameterized;

#[parameterized(
    help = { &["--help"] },
    run = { &["run", "--ingress-nodes", "3", "--replicas", "6", "--seconds", "1"] },
)]
fn a_closed_output_pipe_ends_the_program_without_a_panic(arguments: &[&str]) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenthread-hollow"));
    let output = run_with_closed_output(command.args(arguments)).expect("the program runs");
    assert!(output.status.success(), "{}", output.status);
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
}
