//! Checks that a closed output pipe does not cause a panic.

use std::process::Command;

use linenthread_console::testing::run_with_closed_output;

#[test]
fn the_version_command_does_not_panic_if_the_output_pipe_is_closed() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenthread-node"));
    let output = run_with_closed_output(command.arg("version")).expect("the program runs");
    assert!(output.status.success(), "{}", output.status);
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
}
