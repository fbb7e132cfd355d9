//! Writes to standard output after its reader has closed the pipe, each in a process of its own: this test program,
//! run again.

use std::env;
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::process::{self, Command, ExitStatus, Stdio};

use linenthread_console::{
    CLOSED_OUTPUT_EXIT_CODE, allow_closed_output, exit_on_closed_output, is_closed_output, print,
    print_line,
};
use yare::parameterized;

/// The variable that tells a child how to write.
const WRITER: &str = "LINENTHREAD_CONSOLE_WRITER";
/// A child prints this line when it is about to write.
const READY: &str = "the child is ready";
/// The exit code of a child whose write returned success.
const WRITTEN: i32 = 10;
/// The exit code of a child whose write returned an error.
const WRITE_FAILED: i32 = 11;

/// How the child writes, and the exit code that is expected of it.
#[parameterized(
    print = { "print", WRITTEN },
    print_line = { "print_line", WRITTEN },
    no_handling = { "no_handling", WRITE_FAILED },
    println = { "println", CLOSED_OUTPUT_EXIT_CODE.into() },
)]
fn a_closed_pipe_is_no_failure(writer: &str, expected_exit_code: i32) {
    let (status, errors) = run_child(writer);
    assert_eq!(errors, "");
    assert_eq!(status.code(), Some(expected_exit_code));
}

/// The child's side: does nothing unless the parent has set the variable.
#[test]
fn child() {
    let Ok(writer) = env::var(WRITER) else {
        return;
    };
    println!("{READY}");
    // The parent closes its end of standard output, then the child's standard input.
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
        other => panic!("no writer is named {other}"),
    };
    process::exit(if written.is_ok() {
        WRITTEN
    } else {
        WRITE_FAILED
    });
}

/// Runs the child until it has written to a closed pipe; returns how it ended and its standard error.
fn run_child(writer: &str) -> (ExitStatus, String) {
    let mut child = Command::new(env::current_exe().expect("a path"))
        .args(["--exact", "child", "--nocapture"])
        .env(WRITER, writer)
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
fn a_closed_pipe_is_told_from_other_errors() {
    let closed = || io::Error::from(ErrorKind::BrokenPipe);
    let full = || io::Error::from(ErrorKind::StorageFull);
    assert!(is_closed_output(&closed()));
    assert!(!is_closed_output(&full()));
    assert!(allow_closed_output(Err(closed())).is_ok());
    assert!(allow_closed_output(Ok(())).is_ok());
    let error = allow_closed_output(Err(full())).expect_err("not a closed pipe");
    assert_eq!(error.kind(), ErrorKind::StorageFull);
}
