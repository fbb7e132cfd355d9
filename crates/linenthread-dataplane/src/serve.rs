//! Clients' connections, one request after another.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_config::{ResolvedRoute, RoutingTable};
use linenthread_core::interface::TenthMillis;
use linenthread_http::{Framing, Head, Refusal, number, request_framing};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;

use crate::clock;
use crate::connection::{HttpConnection, Stop};
use crate::data_plane::{AtWork, Client, DataPlane};
use crate::event_log::refused;
use crate::pool::Request;
use crate::reply::Reply;
use crate::transport::Connector;

/// What is not passed on to replicas: it is this connection's, or written anew.
const OURS: [&str; 4] = ["x-remaining-ms", "x-target-replica", "expect", "host"];
/// Until a configuration tells.
const QUIET: Duration = Duration::from_secs(15);
const HEADER: Duration = Duration::from_secs(3);
const HEAD: usize = 16_384;
const PAYLOAD: usize = 262_144;
/// How long an answer may take to be read.
const WRITE: Duration = Duration::from_secs(10);
const TENTHS_A_MS: f64 = 10.0;

/// What a client may send, and how long it may take.
struct Bounds {
    head: usize,
    payload: usize,
    whole_head: Duration,
    quiet: Duration,
}

impl Bounds {
    fn of(plan: Option<&RoutingTable>) -> Bounds {
        let Some(plan) = plan else {
            return Bounds {
                head: HEAD,
                payload: PAYLOAD,
                whole_head: HEADER,
                quiet: QUIET,
            };
        };
        let told = &plan.limits;
        Bounds {
            head: told.max_header_bytes,
            payload: told.max_body_bytes,
            whole_head: told.header_timeout,
            quiet: told.idle_timeout,
        }
    }
}

/// One client's connection, until either side ends it.
pub async fn serve<S, C>(stream: S, peer: SocketAddr, plane: Rc<DataPlane<C>>)
where
    S: AsyncRead + AsyncWrite + Unpin,
    C: Connector,
{
    let mut http = HttpConnection::new(stream);
    let _client = Client::new(&plane);
    let mut closing = plane.closing.subscribe();
    loop {
        let bounds = Bounds::of(plane.plan().as_deref());
        let begun = tokio::select! {
            biased;
            begun = http.begun(bounds.quiet) => begun,
            _ = closing.wait_for(|c| *c) => return,
        };
        if begun.is_err() {
            return;
        }
        let _at_work = AtWork::new(&plane);
        let (head, body) = match read(&mut http, &bounds, peer).await {
            Ok(read) => read,
            Err(refusal) => {
                if let Some(status) = refusal {
                    let _ = respond(&mut http, &Reply::bare(status), false, false).await;
                }
                return;
            }
        };
        let to_head = head.method() == "HEAD";
        let Some(reply) = handle(&mut http, &head, body, &plane).await else {
            return;
        };
        let keep = head.keeps() && !plane.ending.get();
        if respond(&mut http, &reply, keep, to_head).await.is_err() || !keep {
            return;
        }
    }
}

/// One whole request; else the status that it is refused with, if anybody is there to hear it.
async fn read<S: AsyncRead + AsyncWrite + Unpin>(
    http: &mut HttpConnection<S>,
    bounds: &Bounds,
    peer: SocketAddr,
) -> Result<(Head, Vec<u8>), Option<u16>> {
    let head = match http
        .request(bounds.head, bounds.quiet, bounds.whole_head)
        .await
    {
        Ok(head) => head,
        Err(Stop::Refused(refusal)) => {
            refused("reading a head", peer, format_args!("{refusal:?}"));
            return Err(Some(if refusal == Refusal::TooLong {
                431
            } else {
                400
            }));
        }
        Err(_) => return Err(None),
    };
    let framing = request_framing(&head, bounds.payload).map_err(|refusal| {
        refused("judging a head", peer, format_args!("{refusal:?}"));
        Some(body_status(refusal))
    })?;
    if head.says("expect", "100-continue") {
        let by = Instant::now() + HEADER;
        http.write(b"HTTP/1.1 100 Continue\r\n\r\n", by)
            .await
            .map_err(|_| None)?;
    }
    let body = read_body(http, framing, bounds, peer).await?;
    Ok((head, body))
}

async fn read_body<S: AsyncRead + AsyncWrite + Unpin>(
    http: &mut HttpConnection<S>,
    framing: Framing,
    bounds: &Bounds,
    peer: SocketAddr,
) -> Result<Vec<u8>, Option<u16>> {
    match http.body(framing, bounds.payload, bounds.quiet, None).await {
        Ok(body) => Ok(body),
        Err(Stop::Refused(refusal)) => {
            refused("reading a body", peer, format_args!("{refusal:?}"));
            Err(Some(body_status(refusal)))
        }
        Err(_) => Err(None),
    }
}

fn body_status(refusal: Refusal) -> u16 {
    if refusal == Refusal::BodyTooLong {
        413
    } else {
        400
    }
}

/// One whole request to its reply; none where the client has left.
async fn handle<S, C>(
    http: &mut HttpConnection<S>,
    head: &Head,
    body: Vec<u8>,
    plane: &Rc<DataPlane<C>>,
) -> Option<Reply>
where
    S: AsyncRead + AsyncWrite + Unpin,
    C: Connector,
{
    let Some(plan) = plane.plan() else {
        return Some(Reply {
            status: 503,
            headers: b"Retry-After: 0.5\r\n".to_vec(),
            body: Vec::new(),
        });
    };
    let host = head.header("host").unwrap_or_default();
    let Some(planned) = plan.find(host, head.path()) else {
        return Some(Reply::bare(404));
    };
    let Some(attempt) = attempt(head) else {
        return Some(Reply::bare(400));
    };
    let Ok(deadline) = deadline(head, planned) else {
        return Some(Reply::bare(400));
    };
    let request = Request::new(
        head_to_replicas(head, host),
        end_to_replicas(head, &body),
        attempt.to_owned(),
        head.method() == "HEAD",
        planned.route.fanout.is_some(),
    );
    let key = linenthread_consensus::fnv1a_64(head.target().as_bytes());
    let (dispatcher, lookup, mut answer) = plane.take(Rc::new(request), planned, key, deadline);
    tokio::select! {
        biased;
        reply = &mut answer => reply.ok().or_else(|| Some(Reply::bare(502))),
        () = http.closed() => {
            dispatcher.lapse(lookup);
            None
        }
    }
}

/// The request's id, by which its answers are known: exactly one.
fn attempt(head: &Head) -> Option<&str> {
    let only = head.all("x-attempt-id").count() == 1;
    head.header("x-attempt-id")
        .filter(|attempt| only && !attempt.is_empty())
}

/// When a request ends: what the client leaves of its time, within the route's own bound.
fn deadline(head: &Head, planned: &ResolvedRoute) -> Result<TenthMillis, std::num::ParseIntError> {
    let limit = planned.route.timeout_ms;
    let remaining = match head.header("x-remaining-ms") {
        Some(told) => told.parse::<u64>()? as f64,
        None => limit,
    };
    Ok(clock::tenths() + (remaining.min(limit) * TENTHS_A_MS) as TenthMillis)
}

/// A request's head for replicas, but for the headers that each of them gets of its own.
fn head_to_replicas(head: &Head, host: &str) -> Vec<u8> {
    let mut begin = Vec::with_capacity(256);
    for piece in [
        head.method(),
        " ",
        head.target(),
        " HTTP/1.1\r\nHost: ",
        host,
        "\r\n",
    ] {
        begin.extend_from_slice(piece.as_bytes());
    }
    head.pass_on(&mut begin, &OURS);
    begin
}

/// The end of a request's head, and its body.
fn end_to_replicas(head: &Head, body: &[u8]) -> Vec<u8> {
    let mut end = Vec::with_capacity(32 + body.len());
    if !body.is_empty() || !matches!(head.method(), "GET" | "HEAD" | "DELETE") {
        end.extend_from_slice(b"Content-Length: ");
        number(&mut end, body.len() as u64);
        end.extend_from_slice(b"\r\n");
    }
    end.extend_from_slice(b"\r\n");
    end.extend_from_slice(body);
    end
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}

async fn respond<S: AsyncRead + AsyncWrite + Unpin>(
    http: &mut HttpConnection<S>,
    reply: &Reply,
    keep: bool,
    to_head: bool,
) -> Result<(), Stop> {
    let mut bytes = Vec::with_capacity(128 + reply.headers.len() + reply.body.len());
    bytes.extend_from_slice(b"HTTP/1.1 ");
    number(&mut bytes, u64::from(reply.status));
    bytes.push(b' ');
    bytes.extend_from_slice(reason(reply.status).as_bytes());
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(&reply.headers);
    if !keep {
        bytes.extend_from_slice(b"Connection: close\r\n");
    }
    if !matches!(reply.status, 204 | 304) {
        bytes.extend_from_slice(b"Content-Length: ");
        number(&mut bytes, reply.body.len() as u64);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    if !to_head {
        bytes.extend_from_slice(&reply.body);
    }
    http.write(&bytes, Instant::now() + WRITE).await
}
