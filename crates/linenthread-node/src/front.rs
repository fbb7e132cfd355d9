//! The front: clients' connections, one request after another, and the readiness that the platform asks for.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_config::Settings;
use linenthread_http::{Head, Refusal, number, request_framing};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::control::{life, pause};
use crate::desk::Reply;
use crate::errors::{Error, step};
use crate::plane::{AtWork, Client, Plane};
use crate::pool::Request;
use crate::signals::Ends;
use crate::wire::{Stop, Wire};
use crate::{clock, follow, logs};

/// What is not passed on to replicas: it is this connection's, or written anew.
const OURS: [&str; 4] = ["x-remaining-ms", "x-target-replica", "expect", "host"];
/// Until a configuration tells.
const QUIET: Duration = Duration::from_secs(15);
const HEADER: Duration = Duration::from_secs(3);
const HEAD: usize = 16_384;
/// Clients' connections at once.
const CLIENTS: usize = 2_500;
/// How long an answer may take to be read.
const WRITE: Duration = Duration::from_secs(10);
/// After the end was asked for: so long new connections still come, since those who hand them out look once a
/// second.
const STILL_COMING: Duration = Duration::from_millis(2_600);

pub async fn start(settings: &Rc<Settings>, address: SocketAddr, ends: &Ends) -> Result<Rc<Plane>, Error> {
    let life = life();
    let plane = Plane::new(settings.clone(), life);
    let clients = TcpListener::bind(address).await.map_err(step("binding", address))?;
    if let Some(address) = settings.readiness {
        let asked = TcpListener::bind(address).await.map_err(step("binding", address))?;
        let plane = plane.clone();
        spawn_local(async move {
            loop {
                match asked.accept().await {
                    Ok((stream, _)) => drop(spawn_local(readiness(stream, plane.clone()))),
                    Err(e) => pause(&e).await,
                }
            }
        });
    }
    let serving = plane.clone();
    spawn_local(async move {
        let mut closing = serving.closing.subscribe();
        loop {
            let accepted = tokio::select! {
                _ = closing.wait_for(|c| *c) => return,
                accepted = clients.accept() => accepted,
            };
            match accepted {
                Ok(_) if serving.clients.get() >= CLIENTS => {
                    logs::refused("accepting", address, "too many clients")
                }
                Ok((stream, peer)) => drop(spawn_local(serve(stream, peer, serving.clone()))),
                Err(e) => pause(&e).await,
            }
        }
    });
    spawn_local(follow::follow(plane.clone(), life, ends.settings()));
    let tidying = plane.clone();
    spawn_local(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(1_000)).await;
            tidying.tidy();
        }
    });
    Ok(plane)
}

/// Serves on until nothing new comes and all is answered.
pub async fn stop(plane: &Plane, grace_ms: u64) {
    plane.ending.set(true);
    let began = Instant::now();
    let latest = began + Duration::from_millis(grace_ms.saturating_sub(600));
    tokio::time::sleep_until((began + STILL_COMING).min(latest)).await;
    // From here on connections end between two requests, and what was begun is answered.
    plane.closing.send_replace(true);
    tokio::task::yield_now().await;
    while plane.at_work.get() > 0 && Instant::now() < latest {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn readiness(stream: TcpStream, plane: Rc<Plane>) {
    let mut wire = Wire::new(stream);
    while let Ok(head) = wire.request(HEAD, QUIET, HEADER).await {
        let status = if plane.is_ready() { "200 OK" } else { "503 Service Unavailable" };
        let close = if head.keeps() { "" } else { "Connection: close\r\n" };
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n{close}\r\n");
        if wire.write(answer.as_bytes(), Instant::now() + HEADER).await.is_err() || !head.keeps() {
            return;
        }
    }
}

fn bare(status: u16) -> Reply {
    Reply { status, headers: Vec::new(), body: Vec::new() }
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

async fn respond(wire: &mut Wire, reply: &Reply, keep: bool, to_head: bool) -> Result<(), Stop> {
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
    wire.write(&bytes, Instant::now() + WRITE).await
}

/// One client's connection.
async fn serve(stream: TcpStream, peer: SocketAddr, plane: Rc<Plane>) {
    let mut wire = Wire::new(stream);
    let _client = Client::new(&plane);
    let mut closing = plane.closing.subscribe();
    loop {
        let (head_most, body_most, whole, quiet) = match plane.plan() {
            Some(plan) => {
                let c = &plan.constraints;
                let ms = Duration::from_millis;
                (c.header_bytes, c.payload_bytes, ms(c.header_ms), ms(c.quiet_ms))
            }
            None => (HEAD, 262_144, HEADER, QUIET),
        };
        let begun = tokio::select! {
            biased;
            begun = wire.begun(quiet) => begun,
            _ = closing.wait_for(|c| *c) => return,
        };
        if begun.is_err() {
            return;
        }
        let _at_work = AtWork::new(&plane);
        let head = match wire.request(head_most, quiet, whole).await {
            Ok(head) => head,
            Err(Stop::Refused(refusal)) => {
                logs::refused("reading a head", peer, format_args!("{refusal:?}"));
                let status = if refusal == Refusal::TooLong { 431 } else { 400 };
                let _ = respond(&mut wire, &bare(status), false, false).await;
                return;
            }
            Err(_) => return,
        };
        let framing = match request_framing(&head, body_most) {
            Ok(framing) => framing,
            Err(refusal) => {
                logs::refused("judging a head", peer, format_args!("{refusal:?}"));
                let status = if refusal == Refusal::BodyTooLong { 413 } else { 400 };
                let _ = respond(&mut wire, &bare(status), false, false).await;
                return;
            }
        };
        if head.says("expect", "100-continue") {
            let by = Instant::now() + HEADER;
            if wire.write(b"HTTP/1.1 100 Continue\r\n\r\n", by).await.is_err() {
                return;
            }
        }
        let body = match wire.body(framing, body_most, quiet, None).await {
            Ok(body) => body,
            Err(Stop::Refused(refusal)) => {
                logs::refused("reading a body", peer, format_args!("{refusal:?}"));
                let status = if refusal == Refusal::BodyTooLong { 413 } else { 400 };
                let _ = respond(&mut wire, &bare(status), false, false).await;
                return;
            }
            Err(_) => return,
        };
        let to_head = head.method() == "HEAD";
        let Some(reply) = handle(&mut wire, &head, body, &plane).await else { return };
        let keep = head.keeps() && !plane.ending.get();
        if respond(&mut wire, &reply, keep, to_head).await.is_err() || !keep {
            return;
        }
    }
}

/// One whole request to its reply; none where the client has left.
async fn handle(wire: &mut Wire, head: &Head, body: Vec<u8>, plane: &Rc<Plane>) -> Option<Reply> {
    let Some(plan) = plane.plan() else {
        return Some(Reply { status: 503, headers: b"Retry-After: 0.5\r\n".to_vec(), body: Vec::new() });
    };
    let host = head.header("host").unwrap_or_default();
    let Some(planned) = plan.route(host, head.path()) else { return Some(bare(404)) };
    let Some(attempt) = head.header("x-attempt-id").filter(|a| !a.is_empty()) else { return Some(bare(400)) };
    let remaining = match head.header("x-remaining-ms").map(str::parse::<u64>) {
        Some(Ok(ms)) => ms as f64,
        Some(Err(_)) => return Some(bare(400)),
        None => planned.route.limit_ms,
    };
    let limit = remaining.min(planned.route.limit_ms);
    let deadline = clock::tenths() + (limit * 10.0) as i64;
    let mut begin = Vec::with_capacity(256);
    for piece in [head.method(), " ", head.target(), " HTTP/1.1\r\nHost: ", host, "\r\n"] {
        begin.extend_from_slice(piece.as_bytes());
    }
    head.pass_on(&mut begin, &OURS);
    let mut end = Vec::with_capacity(32 + body.len());
    if !body.is_empty() || !matches!(head.method(), "GET" | "HEAD" | "DELETE") {
        end.extend_from_slice(b"Content-Length: ");
        number(&mut end, body.len() as u64);
        end.extend_from_slice(b"\r\n");
    }
    end.extend_from_slice(b"\r\n");
    end.extend_from_slice(&body);
    let request = Request {
        begin,
        end,
        attempt: attempt.to_owned(),
        to_head: head.method() == "HEAD",
        gathers: planned.route.fanout.is_some(),
    };
    let key = linenthread_consensus::digest(head.target().as_bytes());
    let (desk, lookup, mut answer) = plane.take(Rc::new(request), planned, key, deadline);
    tokio::select! {
        biased;
        reply = &mut answer => reply.ok().or_else(|| Some(bare(502))),
        () = wire.closed() => {
            desk.lapse(lookup);
            None
        }
    }
}
