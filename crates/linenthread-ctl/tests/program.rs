//! Output and exit codes of the program against a fake control node, also with a closed output pipe.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Output};

use linenthread_console::testing::run_with_closed_output;
use yare::parameterized;

/// Starts a fake control node that gives the same response to every request.
fn fake_control_node(status: &'static str, body: &'static str) -> SocketAddr {
    fake_control_node_with_headers(status, String::new(), body)
}

/// Like [`fake_control_node`], with additional header lines.
fn fake_control_node_with_headers(
    status: &'static str,
    headers: String,
    body: &'static str,
) -> SocketAddr {
    fake_control_node_with_responses(move |_| (status, headers.clone(), body))
}

/// Starts a fake control node whose responses (status, header lines, body) depend on the number of earlier requests.
fn fake_control_node_with_responses(
    response: impl Fn(usize) -> (&'static str, String, &'static str) + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (earlier_requests, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            read_request(&mut stream);
            let (status, headers, body) = response(earlier_requests);
            let length = body.len();
            let _ = write!(
                stream,
                "HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
            );
        }
    });
    address
}

/// Reads a request with its body. Closing the connection with unread bytes would reset it.
fn read_request(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|n| n == 1) {
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: "))
        .map_or(0, |length| length.parse().unwrap());
    let _ = stream.read_exact(&mut vec![0; length]);
}

fn ctl(addresses: &[SocketAddr], arguments: &[&str]) -> Command {
    let addresses: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenthread-ctl"));
    command.args(["--control", &addresses.join(",")]);
    command.args(arguments);
    command
}

fn run(address: SocketAddr, arguments: &[&str]) -> (Option<i32>, String, String) {
    run_at(&[address], arguments)
}

fn run_at(addresses: &[SocketAddr], arguments: &[&str]) -> (Option<i32>, String, String) {
    let Output {
        status,
        stdout,
        stderr,
    } = ctl(addresses, arguments).output().unwrap();
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
fn a_control_node_without_quorum_is_exit_code_3() {
    let address = fake_control_node("503 Service Unavailable", "no contact");
    let expected = "linenthread-ctl: /Configuration.Read: status 503: no contact\n".to_owned();
    assert_eq!(run(address, &["read"]), (Some(3), String::new(), expected));
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
    // The listener is closed at once, so connections to its port are refused.
    let address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let (code, _, stderr) = run(address, &["status"]);
    assert_eq!(code, Some(3));
    assert!(stderr.contains(&address.to_string()), "{stderr}");
}

#[parameterized(
    in_force = { "200 OK", "", 0, "" },
    conflict = { "412 Precondition Failed", "revision 5", 1, "another revision is in force: revision 5" },
    rejected = { "400 Bad Request", "no", 1, "rejected with status 400: no" },
    unknown_outcome = {
        "503 Service Unavailable", "late", 3,
        "unknown whether the configuration is in force: status 503: late"
    },
    invalid_response = {
        "ok", "", 3,
        "unknown whether the configuration is in force: ADDRESS sent no valid HTTP response: malformed message"
    },
)]
fn the_outcome_of_a_replacement_determines_exit_code_and_error(
    status: &'static str,
    body: &'static str,
    expected_exit_code: i32,
    expected_error: &str,
) {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("replacement {status}.json"));
    std::fs::write(&file, CONFIGURATION).unwrap();
    let address = fake_control_node(status, body);
    let arguments = ["replace", file.to_str().unwrap(), "--base", "3"];
    let (code, _, stderr) = run(address, &arguments);
    let expected_error = expected_error.replace("ADDRESS", &address.to_string());
    let expected_line = match expected_error.as_str() {
        "" => String::new(),
        error => format!("linenthread-ctl: {error}\n"),
    };
    assert_eq!((code, stderr), (Some(expected_exit_code), expected_line));
}

/// Starts a control node that is shutting down and redirects to another one.
fn redirecting_control_node(to: SocketAddr) -> SocketAddr {
    let location = format!("Location: http://{to}/path\r\n");
    fake_control_node_with_headers("307 Temporary Redirect", location, "")
}

/// Returns an address on which nothing listens.
fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn configuration_file(name: &str) -> String {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, CONFIGURATION).unwrap();
    file.to_str().unwrap().to_owned()
}

#[test]
fn redirects_to_unlisted_control_nodes_are_followed() {
    let serving = fake_control_node("200 OK", CONFIGURATION);
    let address = redirecting_control_node(redirecting_control_node(serving));
    let (code, stdout, _) = run(address, &["read"]);
    assert_eq!((code, stdout), (Some(0), format!("{CONFIGURATION}\n")));
    let file = configuration_file("redirected.json");
    let (code, stdout, _) = run(address, &["replace", &file, "--base", "3"]);
    assert_eq!(
        (code, stdout.as_str()),
        (Some(0), "in force, replaces revision 3\n")
    );
}

#[test]
fn a_listed_control_node_is_tried_after_a_redirect_to_an_unused_address() {
    let redirecting = redirecting_control_node(unused_address());
    let serving = fake_control_node("200 OK", CONFIGURATION);
    let (code, _, _) = run_at(&[redirecting, serving], &["read"]);
    assert_eq!(code, Some(0));
}

#[test]
fn redirect_loops_end() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let first = listener.local_addr().unwrap();
    drop(listener);
    let second = redirecting_control_node(first);
    let (code, _, _) = run_at(&[second, redirecting_control_node(second)], &["read"]);
    assert_eq!(code, Some(3));
}

#[test]
fn a_replacement_that_no_control_node_accepted_is_reported_as_unchanged() {
    let unused = unused_address();
    let redirecting = redirecting_control_node(unused);
    let file = configuration_file("not accepted.json");
    let arguments = ["replace", file.as_str(), "--base", "3"];
    let (code, _, stderr) = run_at(&[redirecting], &arguments);
    assert_eq!(code, Some(3));
    let expected =
        "linenthread-ctl: nothing has changed, no control node accepted the configuration: ";
    assert!(stderr.starts_with(expected), "{stderr}");
    assert!(
        stderr.contains(&format!("{redirecting}: status 307")),
        "{stderr}"
    );
    assert!(
        stderr.contains(&format!("connecting to {unused}")),
        "{stderr}"
    );
}

#[test]
fn an_unknown_outcome_is_not_superseded_by_a_later_redirect() {
    let address = fake_control_node_with_responses(|earlier_requests| match earlier_requests {
        0 => ("503 Service Unavailable", String::new(), "late"),
        _ => ("307 Temporary Redirect", String::new(), ""),
    });
    let file = configuration_file("unknown outcome.json");
    let (code, _, stderr) = run(address, &["replace", &file, "--base", "3"]);
    assert_eq!(code, Some(3));
    let expected = "linenthread-ctl: unknown whether the configuration is in force: status 307\n";
    assert_eq!(stderr, expected);
}

#[test]
fn a_changed_file_without_a_raised_revision_is_rejected() {
    let address = fake_control_node_with_responses(|earlier_requests| match earlier_requests {
        0 => ("412 Precondition Failed", String::new(), "revision 4"),
        _ => ("200 OK", String::new(), CONFIGURATION),
    });
    let file = configuration_file("not raised.json");
    let (code, _, stderr) = run(address, &["replace", &file, "--base", "3"]);
    assert_eq!(code, Some(1));
    let expected = "linenthread-ctl: revision 4 is in force with another content or base: compare with diff, \
        and raise \"revision\"\n";
    assert_eq!(stderr, expected);
}

#[test]
fn the_failure_at_each_address_is_printed() {
    let unused = unused_address();
    let without_quorum = fake_control_node("503 Service Unavailable", "no contact");
    let (code, _, stderr) = run_at(&[without_quorum, unused], &["read"]);
    assert_eq!(code, Some(3));
    assert!(
        stderr.contains(&format!("{without_quorum}: status 503: no contact")),
        "{stderr}"
    );
    assert!(
        stderr.contains(&format!("connecting to {unused}")),
        "{stderr}"
    );
    let file = configuration_file("unknown.json");
    let arguments = ["replace", file.as_str(), "--base", "3"];
    let (code, _, stderr) = run_at(&[unused, without_quorum], &arguments);
    assert_eq!(code, Some(3));
    let expected = "linenthread-ctl: unknown whether the configuration is in force: ";
    assert!(stderr.starts_with(expected), "{stderr}");
}

/// Two tenants that share a key.
const SHARED_KEY: &str = r#"{"revision":4,"route_table":[],"backends":[],"constraints":{},
    "clients":[{"label":"a","credentials":["secret"]},{"label":"b","credentials":["secret"]}]}"#;
/// A key in place of a tenant.
const KEY_AS_TENANT: &str =
    r#"{"revision":4,"route_table":[],"backends":[],"constraints":{},"clients":["secret"]}"#;

// Guards against keys in operators' terminals: an error contains the path of the key, never the key.
#[parameterized(
    of_two_tenants = { SHARED_KEY, "/clients/1/credentials/0: is a key of /clients/0 too" },
    as_a_tenant = { KEY_AS_TENANT, "/clients/0: value is not of type \"object\"" },
)]
fn an_invalid_key_is_exit_code_2_and_is_not_shown(document: &str, expected: &str) {
    for (number, command) in [&["replace"][..], &["replace", "--dry-run"], &["diff"]]
        .iter()
        .enumerate()
    {
        let name = format!("invalid key {number} {}.json", document.len());
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&file, document).unwrap();
        let arguments = [command, &[file.to_str().unwrap()][..]].concat();
        let (code, stdout, stderr) = run(unused_address(), &arguments);
        let line = format!("linenthread-ctl: {}: {expected}\n", file.display());
        assert_eq!((code, stdout, stderr), (Some(2), String::new(), line));
    }
}

// Guards against keys in operators' terminals: a difference contains the number of changed keys, never the keys.
#[parameterized(
    as_lines = { &["diff"], "+ clients a: 1 keys\n~ clients: absent -> given\n" },
    as_json = { &["--json", "diff"], "[\"+ clients a: 1 keys\",\"~ clients: absent -> given\"]\n" },
)]
fn a_difference_does_not_show_keys(command: &[&str], expected: &str) {
    let document = CONFIGURATION.replace(
        r#""constraints":{}"#,
        r#""constraints":{},"clients":[{"label":"a","credentials":["secret"]}]"#,
    );
    let name = format!("tenant {}.json", command.len());
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, document).unwrap();
    let arguments = [command, &[file.to_str().unwrap()]].concat();
    let address = fake_control_node("200 OK", CONFIGURATION);
    let (code, stdout, _) = run(address, &arguments);
    assert_eq!((code, stdout.as_str()), (Some(1), expected));
}

/// Starts a fake control node that responds with members to the first request and with duties to all others.
fn fake_control_node_with_duties(members: String, duties: &'static str) -> SocketAddr {
    let members: &'static str = members.leak();
    fake_control_node_with_responses(move |earlier_requests| {
        let body = if earlier_requests == 0 {
            members
        } else {
            duties
        };
        ("200 OK", String::new(), body)
    })
}

/// Returns a report of members with another control node at this address.
fn members_with(other: SocketAddr) -> String {
    format!(
        r#"{{"name":"c1","zone":"a","whole":true,"leaving":false,"duty_epoch":null,"value":3,"revision":9,"counted":[],
        "hubs":[{{"name":"c2","zone":"b","control":"{other}","whole":true,"value":3,"leaving":false,"heard_ms":40}}],
        "fronts":[]}}"#
    )
}

const HELD: &str = r#"[{"duty":"accounting","node":"c2","held_here":true,"fence":7,"held_ms":1200,"refused":false,
    "decided_window":812,"delivered_window":812,"undelivered":0}]"#;
const NOT_HELD: &str = r#"[{"duty":"accounting","node":"c1","held_here":false,"fence":null,"held_ms":null,"refused":false,
    "decided_window":812,"delivered_window":811,"undelivered":1}]"#;

#[test]
fn duties_are_read_from_all_control_nodes_that_the_first_one_knows() {
    let other = fake_control_node("200 OK", HELD);
    let address = fake_control_node_with_duties(members_with(other), NOT_HELD);
    let expected = "duty=accounting held_by=c2 fence=7 held_ms=1200 refused=false \
        decided_window=812 delivered_window=812 undelivered=0\n";
    assert_eq!(
        run(address, &["duties"]),
        (Some(0), expected.to_owned(), String::new())
    );
}

#[test]
fn an_unreachable_control_node_is_listed_with_the_duties() {
    let other = fake_control_node("404 Not Found", "no such path");
    let address = fake_control_node_with_duties(members_with(other), NOT_HELD);
    let (code, stdout, _) = run(address, &["duties"]);
    let expected = format!(
        "duty=accounting held_by=unknown decided_window=812 delivered_window=811 undelivered=1\n\
         unreachable name=c2 address={other} reason=\"status 404: no such path\"\n"
    );
    assert_eq!((code, stdout), (Some(0), expected));
}

#[test]
fn duties_without_any_report_are_exit_code_3() {
    let other = unused_address();
    let address = fake_control_node_with_duties(members_with(other), "{}");
    let (code, stdout, stderr) = run(address, &["--json", "duties"]);
    assert_eq!((code, stdout.as_str()), (Some(3), ""));
    let expected = "linenthread-ctl: no control node reports duties\nunreachable name=unknown";
    assert!(stderr.starts_with(expected), "{stderr}");
    assert!(stderr.contains(&other.to_string()), "{stderr}");
}

#[test]
fn a_closed_output_pipe_is_not_an_error() {
    let address = fake_control_node("200 OK", CONFIGURATION);
    let output = run_with_closed_output(&mut ctl(&[address], &["read"])).unwrap();
    assert_eq!(String::from_utf8(output.stderr).unwrap(), "");
    assert_eq!(output.status.code(), Some(0));
}
