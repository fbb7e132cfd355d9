//! The program against a fake control node: its output, its exit codes, and a reader that closes the pipe.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};

use linenthread_console::testing::run_with_closed_output;

/// Serves the same response to every request, for as long as the test runs.
fn fake_control_node(status: &'static str, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = Vec::new();
            let mut byte = [0];
            while !request.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|n| n == 1) {
                request.push(byte[0]);
            }
            let length = body.len();
            let _ = write!(
                stream,
                "HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}"
            );
        }
    });
    address
}

fn ctl(address: SocketAddr, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenthread-ctl"));
    command.args(["--control", &address.to_string()]);
    command.args(arguments);
    command
}

fn run(address: SocketAddr, arguments: &[&str]) -> (Option<i32>, String, String) {
    let Output {
        status,
        stdout,
        stderr,
    } = ctl(address, arguments).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (status.code(), text(stdout), text(stderr))
}

const CONFIGURATION: &str = r#"{"revision":4,"route_table":[],"backends":[],"constraints":{}}"#;

#[test]
fn the_configuration_in_force_is_printed() {
    let address = fake_control_node("200 OK", CONFIGURATION);
    let expected = (Some(0), format!("{CONFIGURATION}\n"), String::new());
    assert_eq!(run(address, &["read"]), expected);
}

#[test]
fn no_configuration_is_exit_code_1() {
    let (code, stdout, stderr) = run(fake_control_node("404 Not Found", ""), &["read"]);
    assert_eq!((code, stdout.as_str()), (Some(1), ""));
    assert_eq!(stderr, "linenthread-ctl: there is no configuration yet\n");
}

#[test]
fn an_invalid_address_is_exit_code_2() {
    let output = Command::new(env!("CARGO_BIN_EXE_linenthread-ctl"))
        .args(["--control", "control-1", "status"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn no_response_is_exit_code_3() {
    // A port that was just closed: connections to it are refused.
    let address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let (code, _, stderr) = run(address, &["status"]);
    assert_eq!(code, Some(3));
    assert!(stderr.contains(&address.to_string()), "{stderr}");
}

#[test]
fn a_closed_output_pipe_ends_it_quietly() {
    let address = fake_control_node("200 OK", CONFIGURATION);
    let output = run_with_closed_output(&mut ctl(address, &["read"])).unwrap();
    assert_eq!(String::from_utf8(output.stderr).unwrap(), "");
    assert_eq!(output.status.code(), Some(0));
}
