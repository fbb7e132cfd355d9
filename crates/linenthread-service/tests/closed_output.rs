//! A closed output pipe ends the program quietly.

use std::process::{Command, Stdio};

#[test]
fn a_closed_output_pipe_ends_the_program_without_a_panic() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_linenthread"))
        .arg("schema")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program runs");
    drop(child.stdout.take());
    let output = child.wait_with_output().expect("the program ends");
    assert!(output.status.success(), "{}", output.status);
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
}
