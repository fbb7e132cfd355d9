//! Guards against a panic when the reader of the program's output has gone: the help is printed to a closed pipe.

use std::process::Command;

use linenthread_console::testing::run_with_closed_output;

#[test]
fn a_closed_output_pipe_ends_the_program_without_a_panic() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenthread-demo"));
    let output = run_with_closed_output(command.arg("--help")).expect("the program runs");
    assert!(output.status.success(), "{}", output.status);
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
}
