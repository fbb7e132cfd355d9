//! Writes to standard output after the reader closed the pipe. Each write takes place in a child process, which runs
//! this test program again.

use std::env;
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::process::{self, Command, ExitStatus, Stdio};

use linenthread_console::{
    CLOSED_OUTPUT_EXIT_CODE, allow_closed_output, exit_on_closed_output, is_closed_output, print,
    print_line,
};
use yare::parameterized;

/// The environment variable that selects how the child writes.
const WRITER_VARIABLE: &str = "LINENTHREAD_CONSOLE_WRITER";
/// The line that a child prints when it is ready to write.
const READY: &str = "the child is ready";
/// The exit code of a child whose write succeeded.
const WRITTEN: i32 = 10;
/// The exit code of a child whose write failed.
const WRITE_FAILED: i32 = 11;

// Each case names how the child writes and the expected exit code.
#[parameterized(
    print = { "print", WRITTEN },
    print_line = { "print_line", WRITTEN },
    no_handling = { "no_handling", WRITE_FAILED },
    println = { "println", CLOSED_OUTPUT_EXIT_CODE.into() },
)]
fn writes_to_a_closed_pipe_are_handled(writer: &str, expected_exit_code: i32) {
    let (status, errors) = run_child(writer);
    assert_eq!(errors, "");
    assert_eq!(status.code(), Some(expected_exit_code));
}

/// The entry point of the child process. Does nothing unless the parent has set the variable.
#[test]
fn child() {
    let Ok(writer) = env::var(WRITER_VARIABLE) else {
        return;
    };
    println!("{READY}");
    // The parent closes the child's standard output, then its standard input; wait for the latter.
    io::stdin().read_line(&mut String::new()).expect("read");
    let written = match &*writer {
        "print" => print("a text\n"),
        "print_line" => print_line(format_args!("a line")),
        "no_handling" => io::stdout().write_all(b"a text\n"),
        "println" => {
            exit_on_closed_output();
            println!("a line");
            Ok(())
        }
        other => panic!("unknown writer {other}"),
    };
    process::exit(if written.is_ok() {
        WRITTEN
    } else {
        WRITE_FAILED
    });
}

/// Runs a child that writes to a closed pipe; returns its exit status and its standard error.
fn run_child(writer: &str) -> (ExitStatus, String) {
    let mut child = Command::new(env::current_exe().expect("a path"))
        .args(["--exact", "child", "--nocapture"])
        .env(WRITER_VARIABLE, writer)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program runs");
    let mut lines = BufReader::new(child.stdout.take().expect("a pipe")).lines();
    let is_ready = lines.any(|line| line.expect("read").contains(READY));
    assert!(is_ready, "the child ended early");
    drop(lines);
    drop(child.stdin.take());
    let output = child.wait_with_output().expect("the program ends");
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status, errors)
}

#[test]
fn a_closed_pipe_is_distinguished_from_other_errors() {
    let closed = || io::Error::from(ErrorKind::BrokenPipe);
    let full = || io::Error::from(ErrorKind::StorageFull);
    assert!(is_closed_output(&closed()));
    assert!(!is_closed_output(&full()));
    assert!(allow_closed_output(Err(closed())).is_ok());
    assert!(allow_closed_output(Ok(())).is_ok());
    let error = allow_closed_output(Err(full())).expect_err("not a closed pipe");
    assert_eq!(error.kind(), ErrorKind::StorageFull);
}
