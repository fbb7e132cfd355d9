//! Simulated clients. A session sends several requests on one connection, with pauses between them, and may end early.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_dataplane::connection::HttpConnection;
use linenthread_dataplane::{DataPlane, serve};
use linenthread_http::{BodyPresence, response_framing};
use tokio::io::DuplexStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

use crate::checker::{Checker, ClientRequest, ClientResponse, RequestKind};
use crate::content::{MERGED_PREFIX, PUBLIC_PREFIX};
use crate::deployment::{HOST, ROUTE_TIMEOUT_MS};
use crate::event_log::{Event, EventLog};
use crate::ingress_process::IngressProcess;
use crate::network::Network;
use crate::random::Random;
use crate::tenants::Identity;

/// Capacity of a client's connection in each direction, in bytes.
const PIPE_BYTES: usize = 1 << 16;
/// Maximum size of the head and of the body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Time after its deadline within which a response may still arrive, because the ingress node waits that long for a
/// replica's last message.
const RESPONSE_SLACK: Duration = Duration::from_millis(60);
/// Maximum time to wait for any read or write.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Time that a session waits at its end for unrequested bytes.
const SURPLUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Address of all clients, as seen by the ingress node.
const CLIENT_ADDRESS: ([u8; 4], u16) = ([10, 9, 0, 1], 1);

/// Share of batches that consist of two pipelined requests, per mille.
const PIPELINED_PER_MILLE: u64 = 100;
/// Share of batches that are written in two pieces, per mille.
const SPLIT_PER_MILLE: u64 = 100;
/// Share of idempotent requests to a single backend that use the public route, per mille.
const PUBLIC_PER_MILLE: u64 = 300;
/// Share of requests whose client waits for the response only for a short time, per mille.
const ABANDONED_PER_MILLE: u64 = 30;
/// Share of batches with the full time-out of their route, per mille. The others draw a random one.
const FULL_TIMEOUT_PER_MILLE: u64 = 700;

/// State shared by all sessions of a simulation.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) plane: Rc<DataPlane<Network>>,
    pub(crate) checker: Rc<RefCell<Checker>>,
    pub(crate) log: EventLog,
    pub(crate) random: Random,
    /// Total time for which the ingress node has been frozen.
    pub(crate) frozen: Rc<Cell<Duration>>,
    pub(crate) process: Rc<IngressProcess>,
}

/// Whether a session continues after a response.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flow {
    Continue,
    /// The ingress node ends the connection.
    End,
    /// The client gives up and ends the connection.
    Abandon,
}

/// Runs a session. The ids of its requests start with its name.
pub(crate) async fn run_session(shared: Shared, name: String) {
    let (client, server) = tokio::io::duplex(PIPE_BYTES);
    let peer = SocketAddr::from(CLIENT_ADDRESS);
    if !shared.process.accepts_connections() {
        return;
    }
    let serving = spawn_local(serve(server, peer, shared.plane.clone()));
    shared.process.add_connection(serving.abort_handle());
    let mut http = HttpConnection::new(client);
    let batches = 2 + shared.random.below(5);
    for batch_number in 0..batches {
        let batch = draw_batch(&shared.random, &format!("{name}-{batch_number}"));
        if exchange(&shared, &mut http, &batch).await != Flow::Continue {
            return;
        }
        tokio::time::sleep(shared.random.millis(0, 150)).await;
    }
    let surplus = timeout(SURPLUS_TIMEOUT, http.wait_for_data(MAX_WAIT)).await;
    let is_surplus = match surplus {
        Ok(Ok(())) => true,
        Ok(Err(_)) => !shared.process.is_shutting_down(),
        Err(_) => false,
    };
    if is_surplus {
        let last = ClientRequest {
            request_id: name,
            path: String::new(),
            kind: RequestKind::Idempotent,
            identity: Identity::draw(&shared.random),
            sent_at: Instant::now(),
        };
        shared
            .checker
            .borrow_mut()
            .on_missing_response(&last, "bytes arrived that nobody requested");
    }
}

fn draw_batch(random: &Random, name: &str) -> Vec<ClientRequest> {
    let count = if random.per_mille(PIPELINED_PER_MILLE) {
        2
    } else {
        1
    };
    (0..count)
        .map(|number| draw_request(random, format!("{name}-{number}")))
        .collect()
}

fn draw_request(random: &Random, request_id: String) -> ClientRequest {
    let (prefix, kind) = match random.below(4) {
        0 | 1 => ("/once/", RequestKind::Mutating),
        2 if random.per_mille(PUBLIC_PER_MILLE) => (PUBLIC_PREFIX, RequestKind::Idempotent),
        2 => ("/one/", RequestKind::Idempotent),
        _ => (MERGED_PREFIX, RequestKind::Merged),
    };
    ClientRequest {
        request_id,
        path: format!("{prefix}{}", random.below(50)),
        kind,
        identity: Identity::draw(random),
        sent_at: Instant::now(),
    }
}

/// Sends a batch of requests at once and receives their responses in the same order, unless the client gives up early.
async fn exchange(
    shared: &Shared,
    http: &mut HttpConnection<DuplexStream>,
    batch: &[ClientRequest],
) -> Flow {
    let random = &shared.random;
    let timeout_ms = if random.per_mille(FULL_TIMEOUT_PER_MILLE) {
        ROUTE_TIMEOUT_MS
    } else {
        50 + random.below(ROUTE_TIMEOUT_MS)
    };
    for request in batch {
        shared.checker.borrow_mut().on_request(request);
        shared.log.add(&Event::RequestSent {
            request_id: &request.request_id,
            path: &request.path,
        });
    }
    let bytes = batch
        .iter()
        .flat_map(|request| to_bytes(request, timeout_ms))
        .collect();
    let written_at = write(random, http, bytes).await;
    for (number, request) in batch.iter().enumerate() {
        let flow = receive(shared, http, request, timeout_ms, written_at).await;
        if flow == Flow::Continue {
            continue;
        }
        if flow == Flow::End {
            for unanswered in &batch[number + 1..] {
                on_connection_end(shared, unanswered, written_at);
            }
        }
        return flow;
    }
    Flow::Continue
}

/// Records that the connection ended before the response to a request. Only a shutdown may end it.
fn on_connection_end(shared: &Shared, request: &ClientRequest, written_at: Option<Instant>) {
    let mut checker = shared.checker.borrow_mut();
    if shared.process.is_shutting_down() {
        let pending = written_at.map(|written_at| written_at.elapsed());
        checker.on_closed_at_shutdown(request, pending);
    } else {
        checker.on_missing_response(request, "the connection ended");
    }
}

/// Writes the bytes, sometimes in two pieces with a pause. Returns when all were accepted, unless the connection ended
/// before.
async fn write(
    random: &Random,
    http: &mut HttpConnection<DuplexStream>,
    bytes: Vec<u8>,
) -> Option<Instant> {
    let deadline = Instant::now() + MAX_WAIT;
    let split = if random.per_mille(SPLIT_PER_MILLE) {
        random.index(bytes.len())
    } else {
        0
    };
    if split > 0 {
        let _ = http.write(&bytes[..split], deadline).await;
        tokio::time::sleep(random.millis(0, 50)).await;
    }
    let written = http.write(&bytes[split..], deadline).await;
    written.is_ok().then(Instant::now)
}

/// Receives one response. The time-out of a request starts when the batch has been written and the previous request has
/// been answered.
async fn receive(
    shared: &Shared,
    http: &mut HttpConnection<DuplexStream>,
    request: &ClientRequest,
    timeout_ms: u64,
    written_at: Option<Instant>,
) -> Flow {
    let random = &shared.random;
    let (started_at, frozen_before) = (Instant::now(), shared.frozen.get());
    let client_timeout = if random.per_mille(ABANDONED_PER_MILLE) {
        random.millis(1, 200)
    } else {
        MAX_WAIT
    };
    let Ok(response) = timeout(client_timeout, read_response(http)).await else {
        let mut checker = shared.checker.borrow_mut();
        if client_timeout == MAX_WAIT {
            checker.on_missing_response(request, "time-out");
        } else {
            checker.on_abandoned();
        }
        return Flow::Abandon;
    };
    let Some(response) = response else {
        on_connection_end(shared, request, written_at);
        return Flow::End;
    };
    let mut checker = shared.checker.borrow_mut();
    let frozen = shared.frozen.get().saturating_sub(frozen_before);
    let allowed = Duration::from_millis(timeout_ms) + RESPONSE_SLACK + frozen;
    let lateness = started_at.elapsed().saturating_sub(allowed);
    shared.log.add(&Event::ResponseReceived {
        request_id: &request.request_id,
        status: response.head.status(),
        seal: response.head.header("x-replica-seal").unwrap_or(""),
    });
    checker.on_response(request, &response, lateness);
    if response.head.keeps_alive() {
        Flow::Continue
    } else {
        Flow::End
    }
}

fn to_bytes(request: &ClientRequest, timeout_ms: u64) -> Vec<u8> {
    let ClientRequest {
        request_id, path, ..
    } = request;
    let (method, body) = match request.kind {
        RequestKind::Idempotent | RequestKind::Merged => ("GET", String::new()),
        RequestKind::Mutating => ("POST", format!("order {request_id}")),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request_id}\r\nX-Remaining-Ms: {timeout_ms}\r\n\
         {}Content-Length: {}\r\n\r\n{body}",
        request.identity.header_lines(),
        body.len()
    )
    .into_bytes()
}

async fn read_response(http: &mut HttpConnection<DuplexStream>) -> Option<ClientResponse> {
    let deadline = Instant::now() + MAX_WAIT;
    let head = http
        .read_response_head(MAX_RESPONSE_BYTES, deadline)
        .await
        .ok()?;
    let framing = response_framing(&head, BodyPresence::Present).ok()?;
    let body = http
        .read_body(framing, MAX_RESPONSE_BYTES, MAX_WAIT, Some(deadline))
        .await
        .ok()?;
    Some(ClientResponse { head, body })
}
