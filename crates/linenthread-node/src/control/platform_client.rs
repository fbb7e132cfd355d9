//! A client for the platform's API. Each call uses its own connection and is written only while its lease lasts.
//!
//! If a connection is closed before a complete response has arrived, or the call is dropped, the connection is reset:
//! bytes still in transit must not reach the platform later, when another node may hold the lease.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use linenthread_control::{PlatformCall, PlatformOutcome};
use linenthread_dataplane::clock;
use linenthread_dataplane::connection::{ConnectionError, HttpConnection};
use linenthread_http::{BodyPresence, Head, response_framing};
use linenthread_time::Instant;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{Instant as TimerInstant, timeout, timeout_at};

/// The timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// The timeout for writing the request and reading the response. It allows the platform to respond fifty times more
/// slowly than usual.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long sent bytes may stay unacknowledged before the kernel resets the connection, which it does even while this
/// process is paused.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_600);

/// The maximum length of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 16_384;

/// The maximum length of a response body, in bytes. The content of the body is not used.
const MAX_BODY_BYTES: usize = 65_536;

/// The path of usage reports.
const USAGE_PATH: &str = "/accounting";

/// Makes a call in the name of this node and returns its outcome.
///
/// No byte is written at or after [`PlatformCall::not_after`], which is checked before each write. Only a process that
/// is paused between the check and the write can still write later; the fencing token covers this case.
pub(super) async fn call(
    address: SocketAddr,
    node_name: &str,
    call: &PlatformCall,
) -> PlatformOutcome {
    let Some(mut stream) = connect(address, call.not_after).await else {
        return PlatformOutcome::NotSent;
    };
    let deadline = TimerInstant::now() + RESPONSE_TIMEOUT;
    let request = encode(address, node_name, call);
    match send(&stream, &request, call.not_after, deadline).await {
        SendProgress::Complete => {}
        SendProgress::Nothing => return PlatformOutcome::NotSent,
        SendProgress::Partial => return PlatformOutcome::Unknown,
    }
    let mut connection = HttpConnection::new(&mut stream);
    let Ok(head) = connection
        .read_response_head(MAX_HEAD_BYTES, deadline)
        .await
    else {
        return PlatformOutcome::Unknown;
    };
    if skip_body(&mut connection, &head, deadline).await.is_ok() {
        allow_graceful_close(&stream);
    }
    outcome_for_status(head.status())
}

/// Opens a connection that is reset when it is dropped. Returns `None` if the connection fails, or is not established
/// before the timeout or the end of the lease.
async fn connect(address: SocketAddr, not_after: Instant) -> Option<TcpStream> {
    let remaining = not_after - clock::now();
    if remaining.is_zero() {
        return None;
    }
    let connecting = timeout(CONNECT_TIMEOUT.min(remaining), TcpStream::connect(address));
    let stream = connecting.await.ok()?.ok()?;
    stream.set_zero_linger().ok()?;
    // If the system refuses these two options, calls only take longer.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    Some(stream)
}

fn encode(address: SocketAddr, node_name: &str, call: &PlatformCall) -> Vec<u8> {
    let body = &call.report.body;
    let mut request = format!(
        "POST {USAGE_PATH} HTTP/1.1\r\nHost: {address}\r\nX-Task-Owner: {node_name}\r\n\
         X-Fence-Token: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        call.fence.get(),
        body.len()
    )
    .into_bytes();
    request.extend_from_slice(body);
    request
}

/// How much of a request the kernel has accepted for sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendProgress {
    Nothing,
    Partial,
    Complete,
}

/// Writes a request, stopping at the end of the lease or at the deadline.
async fn send(
    stream: &TcpStream,
    request: &[u8],
    not_after: Instant,
    deadline: TimerInstant,
) -> SendProgress {
    let mut unwritten = request;
    while !unwritten.is_empty() {
        let lease_end = TimerInstant::now() + (not_after - clock::now());
        let writable = timeout_at(deadline.min(lease_end), stream.writable()).await;
        if !matches!(writable, Ok(Ok(()))) || clock::now() >= not_after {
            break;
        }
        match stream.try_write(unwritten) {
            Ok(count) => unwritten = &unwritten[count..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
    }
    match unwritten.len() {
        0 => SendProgress::Complete,
        remaining if remaining == request.len() => SendProgress::Nothing,
        _ => SendProgress::Partial,
    }
}

/// Reads and discards a response's body. A connection with unread bytes cannot be closed gracefully.
async fn skip_body(
    connection: &mut HttpConnection<&mut TcpStream>,
    head: &Head,
    deadline: TimerInstant,
) -> Result<(), ConnectionError> {
    let framing = response_framing(head, BodyPresence::Present)?;
    connection
        .read_body(framing, MAX_BODY_BYTES, RESPONSE_TIMEOUT, Some(deadline))
        .await
        .map(drop)
}

/// Makes the connection close gracefully when it is dropped, instead of being reset. If the system refuses, it is still
/// reset.
fn allow_graceful_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(None);
}

/// Maps the status of a response to the outcome of the call.
fn outcome_for_status(status: u16) -> PlatformOutcome {
    match status {
        200..=299 => PlatformOutcome::Accepted,
        409 => PlatformOutcome::FenceTooLow,
        429 | 500..=599 => PlatformOutcome::Busy,
        _ => {
            log::warn!(status = status; "event=platform_call_rejected");
            PlatformOutcome::Rejected
        }
    }
}
