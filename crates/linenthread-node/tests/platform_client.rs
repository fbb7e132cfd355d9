//! Each outcome of a call to the platform, over real sockets. Timeouts elapse in tokio's paused time, which starts
//! when no data is in transit on a socket any more.

#[path = "../src/control/platform_client.rs"]
mod platform_client;

use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use linenthread_consensus::Epoch;
use linenthread_control::{PlatformCall, PlatformCallId, PlatformOutcome};
use linenthread_dataplane::clock;
use linenthread_fakes::EVENT_TIMEOUT;
use linenthread_fakes::platform::{
    ConnectionEnd, FakePlatform, PlatformLog, PlatformMode, PlatformRules,
};
use linenthread_messages::UsageReport;
use linenthread_time::Instant;
use socket2::{Domain, SockRef, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

const NODE: &str = "control-1";
const WINDOW: u64 = 353_445_120;
const BODY: &str = r#"{"epoch":353445120,"tallies":{"milo":412}}"#;

/// More than the buffers of a connection can hold, so that writing stops in the middle of the request.
const LARGE_BODY_BYTES: usize = 64 << 20;

/// How long a large call may be written: less than the client's timeout for the response.
const LARGE_CALL_LEASE: Duration = Duration::from_secs(2);

const RULES: PlatformRules = PlatformRules {
    calls_per_second: 50.0,
    lease: Duration::from_secs(3),
    report_window: Duration::from_secs(5),
};

fn platform() -> Arc<FakePlatform> {
    Arc::new(FakePlatform::start(RULES))
}

/// Creates a call whose lease lasts for a minute.
fn call_with_fence(fence: u64) -> PlatformCall {
    PlatformCall {
        id: PlatformCallId::default().next(),
        fence: Epoch::new(fence),
        report: UsageReport {
            window: WINDOW,
            body: BODY.into(),
        },
        not_after: clock::now() + Duration::from_secs(60),
    }
}

async fn send(address: SocketAddr, call: &PlatformCall) -> PlatformOutcome {
    platform_client::call(address, NODE, call).await
}

async fn send_to(platform: &FakePlatform, fence: u64) -> PlatformOutcome {
    send(platform.address, &call_with_fence(fence)).await
}

/// Waits until the platform's log satisfies the condition.
async fn wait_for(platform: &Arc<FakePlatform>, is_expected: fn(&PlatformLog) -> bool) {
    let platform = platform.clone();
    let waiting =
        tokio::task::spawn_blocking(move || platform.wait_until(EVENT_TIMEOUT, is_expected));
    assert!(
        waiting.await.unwrap(),
        "timeout while waiting for the platform's log"
    );
}

async fn wait_for_end(platform: &Arc<FakePlatform>, end: ConnectionEnd) {
    wait_for(platform, |log| log.connection_ends.len() == 1).await;
    assert_eq!(platform.log().connection_ends, [end]);
}

#[tokio::test]
async fn an_accepted_report_arrives_unchanged() {
    let platform = platform();
    // An epoch after changes of the voters: the upper 32 bits are not zero, and log lines show it in two parts.
    let fence = (7 << 32) + 12;
    assert_eq!(send_to(&platform, fence).await, PlatformOutcome::Accepted);
    wait_for_end(&platform, ConnectionEnd::Closed).await;
    let log = platform.log();
    let report = log.report(WINDOW).unwrap();
    assert_eq!(
        (report.owner.as_str(), report.fence, report.body.as_str()),
        (NODE, fence, BODY)
    );
    assert_eq!(log.violations, []);
}

#[tokio::test]
async fn a_lower_fencing_token_is_too_low() {
    let platform = platform();
    assert_eq!(send_to(&platform, 12).await, PlatformOutcome::Accepted);
    assert_eq!(send_to(&platform, 11).await, PlatformOutcome::FenceTooLow);
}

#[tokio::test]
async fn a_failing_or_rate_limiting_platform_is_busy() {
    let platform = Arc::new(FakePlatform::start(PlatformRules {
        calls_per_second: 0.001,
        ..RULES
    }));
    platform.set_mode(PlatformMode::Busy);
    assert_eq!(send_to(&platform, 12).await, PlatformOutcome::Busy);
    platform.set_mode(PlatformMode::Healthy);
    assert_eq!(send_to(&platform, 12).await, PlatformOutcome::Accepted);
    assert_eq!(send_to(&platform, 12).await, PlatformOutcome::Busy);
    assert_eq!(platform.log().rate_limited_calls, 1);
}

#[tokio::test]
async fn an_invalid_report_is_rejected() {
    let platform = platform();
    let mut call = call_with_fence(12);
    call.report.body = "{}".into();
    assert_eq!(
        send(platform.address, &call).await,
        PlatformOutcome::Rejected
    );
}

#[tokio::test]
async fn a_slow_response_is_accepted() {
    let platform = platform();
    platform.set_mode(PlatformMode::Slow(Duration::from_millis(100)));
    assert_eq!(send_to(&platform, 12).await, PlatformOutcome::Accepted);
}

// --- calls that are not sent ---

#[tokio::test]
async fn nothing_is_sent_to_a_platform_that_is_down() {
    let platform = platform();
    platform.set_mode(PlatformMode::Down);
    assert_eq!(send_to(&platform, 12).await, PlatformOutcome::NotSent);
}

/// The listener's backlog is full, so the system drops the SYN packet of another connection.
#[tokio::test]
async fn connecting_to_a_full_backlog_times_out() {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
    listener.bind(&any_port.into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let _first = TcpStream::connect(address).await.unwrap();
    tokio::time::pause();
    let started_at = tokio::time::Instant::now();
    let outcome = send(address, &call_with_fence(12)).await;
    assert_eq!(outcome, PlatformOutcome::NotSent);
    assert!(started_at.elapsed() < Duration::from_secs(1));
}

#[tokio::test]
async fn no_connection_is_opened_after_the_lease() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let mut call = call_with_fence(12);
    for not_after in [Instant::START, clock::now()] {
        call.not_after = not_after;
        assert_eq!(send(address, &call).await, PlatformOutcome::NotSent);
        let error = listener.accept().unwrap_err();
        assert_eq!(error.kind(), ErrorKind::WouldBlock);
    }
}

#[tokio::test]
async fn a_call_with_an_unlimited_lease_is_sent() {
    let platform = platform();
    let mut call = call_with_fence(12);
    call.not_after = Instant::NEVER;
    assert_eq!(
        send(platform.address, &call).await,
        PlatformOutcome::Accepted
    );
}

// --- calls with an unknown outcome ---

#[parameterized(
    call_is_lost = { PlatformMode::Silent, 0 },
    response_is_lost = { PlatformMode::ResponseLost, 1 },
)]
#[test_macro(tokio::test)]
async fn a_call_without_response_is_unknown_and_resets_the_connection(
    mode: PlatformMode,
    reports: usize,
) {
    let platform = platform();
    platform.set_mode(mode);
    let call = call_with_fence(12);
    let arrival = async {
        wait_for(&platform, |log| log.received_requests == 1).await;
        tokio::time::pause();
    };
    let (outcome, ()) = tokio::join!(send(platform.address, &call), arrival);
    assert_eq!(outcome, PlatformOutcome::Unknown);
    wait_for_end(&platform, ConnectionEnd::Reset).await;
    assert_eq!(platform.log().reports.len(), reports);
}

#[tokio::test]
async fn dropping_a_call_resets_the_connection() {
    let platform = platform();
    platform.set_mode(PlatformMode::Silent);
    let call = call_with_fence(12);
    tokio::select! {
        outcome = send(platform.address, &call) => panic!("{outcome:?}"),
        () = wait_for(&platform, |log| log.received_requests == 1) => {}
    }
    wait_for_end(&platform, ConnectionEnd::Reset).await;
}

#[tokio::test]
async fn a_call_whose_connection_the_platform_resets_is_unknown() {
    let platform = platform();
    platform.set_mode(PlatformMode::Reset);
    assert_eq!(send_to(&platform, 12).await, PlatformOutcome::Unknown);
}

/// Creates a call that is too large to be written at once and whose lease ends before the other timeouts.
fn large_call() -> PlatformCall {
    let mut call = call_with_fence(12);
    call.report.body = vec![b' '; LARGE_BODY_BYTES].into();
    call.not_after = clock::now() + LARGE_CALL_LEASE;
    call
}

/// Counts the bytes that still arrive on a connection until it is reset.
async fn count_until_reset(connection: &mut TcpStream) -> usize {
    let mut received = Vec::new();
    let end = connection.read_to_end(&mut received).await.unwrap_err();
    assert_eq!(end.kind(), ErrorKind::ConnectionReset);
    received.len()
}

/// The lease ends while the connection accepts no more bytes: the rest of the request is never written.
#[tokio::test]
async fn a_partially_written_request_is_unknown_and_resets_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let call = large_call();
    let first_bytes = async {
        let (connection, _) = listener.accept().await.unwrap();
        connection.peek(&mut [0]).await.unwrap();
        tokio::time::pause();
        connection
    };
    let (outcome, mut connection) = tokio::join!(send(address, &call), first_bytes);
    assert_eq!(outcome, PlatformOutcome::Unknown);
    assert!(clock::now() - call.not_after < Duration::from_millis(500));
    assert!(count_until_reset(&mut connection).await < LARGE_BODY_BYTES);
}

/// Reads from a connection until no more bytes arrive, and returns their number. Blocks the thread, which
/// also pauses the call.
fn drain(connection: &TcpStream) -> usize {
    let socket = SockRef::from(connection);
    let mut buffer = vec![0; 1 << 20];
    let (mut drained, mut silent_rounds) = (0, 0);
    while silent_rounds < 10 {
        if let Ok(count) = (&*socket).read(&mut buffer) {
            (drained, silent_rounds) = (drained + count, 0);
        } else {
            silent_rounds += 1;
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    drained
}

/// The process is paused in the middle of the request and resumes after the end of the lease, when the connection
/// accepts bytes again. It must not write any.
#[tokio::test]
async fn a_process_that_resumes_after_the_lease_writes_no_more_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let call = large_call();
    let pause = async {
        let (connection, _) = listener.accept().await.unwrap();
        connection.peek(&mut [0]).await.unwrap();
        let drained = drain(&connection);
        tokio::time::pause();
        tokio::time::advance(LARGE_CALL_LEASE).await;
        (connection, drained)
    };
    let (outcome, (mut connection, drained)) = tokio::join!(send(address, &call), pause);
    assert_eq!(outcome, PlatformOutcome::Unknown);
    assert!((1..LARGE_BODY_BYTES).contains(&drained));
    assert_eq!(count_until_reset(&mut connection).await, 0);
}

/// Responds to one call, writing the response in these pieces. Returns how the caller closes the connection.
async fn respond(listener: &TcpListener, pieces: &[&[u8]]) -> Result<usize, ErrorKind> {
    let (mut connection, _) = listener.accept().await.unwrap();
    connection.set_nodelay(true).unwrap();
    let mut request = Vec::new();
    while !request.ends_with(BODY.as_bytes()) {
        connection.read_buf(&mut request).await.unwrap();
    }
    for piece in pieces {
        // The caller may have closed the connection already.
        let _ = connection.write_all(piece).await;
        tokio::task::yield_now().await;
    }
    let end = connection.read(&mut [0]).await;
    end.map_err(|error| error.kind())
}

/// Makes a call whose response arrives in these pieces. Returns the outcome and how the caller closes the connection.
async fn exchange(pieces: &[&[u8]]) -> (PlatformOutcome, Result<usize, ErrorKind>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let call = call_with_fence(12);
    tokio::join!(send(address, &call), respond(&listener, pieces))
}

const COMPLETE: &[u8] =
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
const RESET: Result<usize, ErrorKind> = Err(ErrorKind::ConnectionReset);
const CLOSED: Result<usize, ErrorKind> = Ok(0);

#[tokio::test]
async fn a_response_may_arrive_in_pieces() {
    let pieces: Vec<&[u8]> = COMPLETE.chunks(1).collect();
    assert_eq!(exchange(&pieces).await, (PlatformOutcome::Accepted, CLOSED));
}

#[parameterized(
    no_line_end = { &b"#".repeat(100_000) },
    long_header = { &[&b"HTTP/1.1 200 OK\r\nX: "[..], &b"a".repeat(100_000)].concat() },
    other_protocol = { b"220 mail.example ESMTP\r\n" },
)]
#[test_macro(tokio::test)]
async fn an_invalid_head_is_unknown_and_resets_the_connection(response: &[u8]) {
    assert_eq!(
        exchange(&[response]).await,
        (PlatformOutcome::Unknown, RESET)
    );
}

/// The status determines the outcome, even if the rest of the response is invalid.
#[parameterized(
    accepted = { "200 OK\r\nContent-Length: x", PlatformOutcome::Accepted },
    other_success = { "204 No Content\r\nContent-Length: x, y", PlatformOutcome::Accepted },
    fence_too_low = { "409 Conflict\r\nContent-Length: -1", PlatformOutcome::FenceTooLow },
    too_many = { "429 Too Many Requests\r\nContent-Length: x", PlatformOutcome::Busy },
    failed = { "500 Internal Server Error\r\nContent-Length: x", PlatformOutcome::Busy },
    not_found = { "404 Not Found\r\nContent-Length: x", PlatformOutcome::Rejected },
    redirect = { "307 Temporary Redirect\r\nContent-Length: x", PlatformOutcome::Rejected },
)]
#[test_macro(tokio::test)]
async fn the_status_determines_the_outcome(status: &str, expected: PlatformOutcome) {
    let response = format!("HTTP/1.1 {status}\r\n\r\n");
    assert_eq!(exchange(&[response.as_bytes()]).await.0, expected);
}
