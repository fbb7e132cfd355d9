//! If its output pipe is closed, the program prints no error and exits with the code of the report.

use std::path::Path;
use std::process::Command;

use linenthread_console::testing::run_with_closed_output;
use yare::parameterized;

/// An empty file: no known failures and no messages of cargo.
const NO_LINES: &str = "/dev/null";
/// Output of a `cargo test` run without failures.
const NOTHING_FAILED: &str = "   Doc-tests example\n\nrunning 0 tests\n\n\
    test result: ok. 0 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.00s\n";

#[parameterized(
    check_passes = { "0", 0 },
    check_fails = { "101", 1 },
)]
fn a_closed_output_pipe_ends_the_program_without_a_panic(
    cargo_status: &str,
    expected_exit_code: i32,
) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let output_file = folder.join(format!("closed-output-{cargo_status}"));
    std::fs::write(&output_file, NOTHING_FAILED).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenthread-known-red"));
    command
        .args(["--known", NO_LINES, "--programs", NO_LINES])
        .args(["--status", cargo_status, "--output"])
        .arg(&output_file);
    let output = run_with_closed_output(&mut command).expect("the program runs");
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    assert_eq!(output.status.code(), Some(expected_exit_code));
}
