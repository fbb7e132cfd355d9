//! Exit codes and error output of the program `linenthread-checker`.

use std::process::Command;

use linenthread_console::testing::run_with_closed_output;

fn checker(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenthread-checker"));
    command.args(arguments);
    command
}

#[test]
fn a_closed_output_pipe_ends_the_program_without_an_error_message() {
    let output = run_with_closed_output(&mut checker(&["--calls", "1:a,2:b"]))
        .expect("the program can be run");
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    assert_eq!(output.status.code(), Some(141));
}

#[test]
fn a_malformed_call_is_reported_on_standard_error() {
    let output = checker(&["--calls", "1:d"])
        .output()
        .expect("the program can be run");
    assert!(String::from_utf8_lossy(&output.stderr).contains("1:d"));
    assert_eq!(output.status.code(), Some(2));
}
