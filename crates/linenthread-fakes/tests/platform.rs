//! The fake platform detects each violation of the rules, accepts valid calls, and can be made to fail.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use linenthread_fakes::EVENT_TIMEOUT;
use linenthread_fakes::platform::{
    CallResponse, CallValidator, ConnectionEnd, FakePlatform, PlatformLog, PlatformMode,
    PlatformRules, PlatformViolation, ReceivedCall,
};
use yare::parameterized;

const RULES: PlatformRules = PlatformRules {
    calls_per_second: 50.0,
    lease: Duration::from_millis(3_000),
    report_window: Duration::from_secs(5),
};

/// The time of the first calls, in milliseconds since the Unix epoch. Most windows in these tests ended long before.
const START_MS: u64 = 1_000_000;

/// Returns a call that reports one tenant's requests, received `after_ms` after [`START_MS`].
fn call(owner: &str, fence: u64, window: u64, requests: u64, after_ms: u64) -> ReceivedCall {
    ReceivedCall {
        owner: owner.to_owned(),
        fence,
        body: format!(r#"{{"epoch":{window},"tallies":{{"milo":{requests}}}}}"#),
        received_at: Duration::from_millis(START_MS + after_ms),
    }
}

/// Handles calls in order, and returns the responses and the log of the platform.
fn handle_calls(calls: &[ReceivedCall]) -> (Vec<CallResponse>, PlatformLog) {
    let mut validator = CallValidator::new(RULES);
    let responses = calls.iter().map(|call| validator.handle(call)).collect();
    (responses, validator.log().clone())
}

#[test]
fn valid_reports_are_accepted() {
    let calls = [
        call("a", 3, 198, 7, 0),
        call("a", 3, 199, 8, 100),
        call("b", 4, 199, 8, 200),
        call("a", 5, 200, 9, 3_101),
    ];
    let (responses, log) = handle_calls(&calls);
    assert_eq!(responses, [CallResponse::Accepted; 4]);
    assert_eq!(log.violations, []);
    assert_eq!((log.reports.len(), log.duplicate_reports), (3, 1));
    let report = log.report(199).unwrap();
    assert_eq!((report.owner.as_str(), report.fence), ("a", 3));
    assert_eq!(report.tallies["milo"], 8);
    // Window 199 lasts from 995 s to 1,000 s, and window 200 has not ended.
    assert_eq!(report.after_window_end, Some(Duration::from_millis(100)));
    assert_eq!(log.report(200).unwrap().after_window_end, None);
}

#[test]
fn a_lower_fencing_token_is_refused_without_a_violation() {
    let calls = [
        call("a", 3, 1, 7, 0),
        call("b", 4, 2, 7, 10),
        call("a", 3, 3, 7, 20),
    ];
    let (responses, log) = handle_calls(&calls);
    assert_eq!(responses[2], CallResponse::FenceTooLow);
    assert_eq!((log.refused_calls, log.violations.len()), (1, 0));
    assert_eq!(log.report(3), None);
}

#[parameterized(
    shared_fence = {
        &[call("a", 3, 1, 7, 0), call("b", 3, 2, 7, 9_000)],
        PlatformViolation::SharedFence { fence: 3, first: "a".into(), second: "b".into() }
    },
    shared_fence_that_is_too_low = {
        &[call("a", 3, 1, 7, 0), call("a", 4, 2, 7, 0), call("b", 3, 2, 7, 9_000)],
        PlatformViolation::SharedFence { fence: 3, first: "a".into(), second: "b".into() }
    },
    alternating_holders = {
        &[call("a", 3, 1, 7, 0), call("b", 4, 2, 7, 1_000), call("a", 5, 3, 7, 3_000)],
        PlatformViolation::AlternatingHolders { outer: "a".into(), inner: "b".into() }
    },
    different_counts = {
        &[call("a", 3, 1, 7, 0), call("b", 4, 1, 8, 9_000)],
        PlatformViolation::DifferentReports { window: 1 }
    },
    no_report = {
        &[ReceivedCall { body: r#"{"epoch":1}"#.to_owned(), ..call("a", 3, 1, 7, 0) }],
        PlatformViolation::InvalidCall { reason: r#"not a usage report: {"epoch":1}"#.into() }
    },
)]
fn each_violation_is_detected(calls: &[ReceivedCall], expected: PlatformViolation) {
    assert_eq!(handle_calls(calls).1.violations, [expected]);
}

#[test]
fn a_refused_fencing_token_may_be_used_three_times_after_a_lease() {
    let mut calls = vec![call("b", 4, 1, 7, 0)];
    calls.extend((0..5).map(|after| call("a", 3, 1, 7, after)));
    calls.extend((0..3).map(|after| call("a", 3, 1, 7, 3_001 + after)));
    assert_eq!(handle_calls(&calls).1.violations, []);
    calls.push(call("a", 3, 1, 7, 9_000));
    let expected = PlatformViolation::RefusedFence {
        owner: "a".into(),
        fence: 3,
    };
    assert_eq!(handle_calls(&calls).1.violations, [expected]);
}

#[test]
fn calls_over_the_rate_limit_are_rejected_until_time_passes() {
    let burst = (0..51).map(|window| call("a", 3, window, 7, 0));
    let calls: Vec<ReceivedCall> = burst.chain([call("a", 3, 50, 7, 20)]).collect();
    let (responses, log) = handle_calls(&calls);
    assert_eq!(
        responses[50..],
        [CallResponse::TooManyRequests, CallResponse::Accepted]
    );
    assert_eq!((log.rate_limited_calls, log.reports.len()), (1, 51));
}

// --- over HTTP ---

/// Returns a valid HTTP request.
fn request() -> String {
    let body = r#"{"epoch":1,"tallies":{}}"#;
    format!(
        "POST /accounting HTTP/1.1\r\nHost: p\r\nX-Task-Owner: a\r\nX-Fence-Token: 3\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request on a new connection. Returns the beginning of the response's status line, or an empty string if the
/// connection is closed without a response.
fn send(platform: &FakePlatform, request: &str) -> std::io::Result<String> {
    let mut connection = TcpStream::connect(platform.address)?;
    connection.set_read_timeout(Some(EVENT_TIMEOUT))?;
    connection.write_all(request.as_bytes())?;
    let mut response = [0; 12];
    let length = connection.read(&mut response)?;
    Ok(String::from_utf8_lossy(&response[..length]).into_owned())
}

#[test]
fn calls_over_http_are_handled_and_connection_ends_recorded() {
    let platform = FakePlatform::start(RULES);
    assert_eq!(send(&platform, &request()).unwrap(), "HTTP/1.1 200");
    let ended = |log: &PlatformLog| log.connection_ends.len() == 1;
    assert!(platform.wait_until(EVENT_TIMEOUT, ended));
    let log = platform.log();
    assert_eq!((log.received_requests, log.reports.len()), (1, 1));
    // The client closes the connection without reading the whole response, so the system resets it.
    assert_eq!(log.connection_ends, [ConnectionEnd::Reset]);
}

#[parameterized(
    path = { "/accounting", "/usage" },
    content_type = { "application/json", "text/plain" },
    no_owner = { "X-Task-Owner", "X-Owner" },
    two_owners = { "Host: p", "X-Task-Owner: b" },
    no_fence = { "X-Fence-Token", "X-Fence" },
    signed_fence = { "Token: 3", "Token: +3" },
)]
fn malformed_calls_are_violations(original: &str, replacement: &str) {
    let platform = FakePlatform::start(RULES);
    let response = send(&platform, &request().replacen(original, replacement, 1)).unwrap();
    assert_eq!(response, "HTTP/1.1 400");
    let log = platform.log();
    assert!(matches!(
        log.violations[..],
        [PlatformViolation::InvalidCall { .. }]
    ));
}

#[test]
fn a_failed_platform_recovers_at_the_same_address() {
    let platform = FakePlatform::start(RULES);
    platform.set_mode(PlatformMode::Busy);
    assert_eq!(send(&platform, &request()).unwrap(), "HTTP/1.1 503");
    platform.set_mode(PlatformMode::Reset);
    assert!(send(&platform, &request()).is_err());
    platform.set_mode(PlatformMode::Down);
    assert!(TcpStream::connect(platform.address).is_err());
    platform.set_mode(PlatformMode::Healthy);
    assert_eq!(send(&platform, &request()).unwrap(), "HTTP/1.1 200");
    assert_eq!(platform.log().reports.len(), 1);
}
