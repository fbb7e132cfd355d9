//! Control on sockets: the hub with its queue of commands, replicas' and operators' calls, links with other
//! hubs and fronts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_config::{Configuration, Settings};
use linenthread_control::graceful_shutdown::ShutdownBlocker;
use linenthread_control::{
    CallId, ControlNode, DeferredMessage, Effect, NodeConfig, ReplicaHeartbeat, Response, SessionId,
};
use linenthread_dataplane::connection::{ConnectionError, HttpConnection};
use linenthread_http::{Head, request_framing};
use linenthread_messages::{PeerMessage, Value, Voter};
use linenthread_time::Instant as ClockInstant;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::disk::Disk;
use crate::errors::{Error, step};
use crate::{clock, disk, links, logs};

const COMMANDS: usize = 4_096;
const HEAD: usize = 16_384;
/// Nothing that is told to control is longer.
const BODY: usize = 12 << 20;
const QUIET: Duration = Duration::from_secs(20);
const SLOW: Duration = Duration::from_secs(5);
const DIAL: Duration = Duration::from_millis(700);

enum Command {
    Opened(SessionId, mpsc::Sender<PeerMessage>),
    PeerMessage(SessionId, PeerMessage),
    Closed(SessionId),
    Unreached(String),
    Beat(String, ReplicaHeartbeat, oneshot::Sender<Response>),
    Departure(String, oneshot::Sender<Response>),
    Replace {
        base: u64,
        revision: u64,
        document: Vec<u8>,
        reply: oneshot::Sender<Response>,
    },
    Read(oneshot::Sender<Response>),
    Members(oneshot::Sender<serde_json::Value>),
    Replicas(oneshot::Sender<serde_json::Value>),
    Synced(Vec<DeferredMessage>),
    /// A planned end was asked for; the answer comes when this node may go.
    Leave(oneshot::Sender<()>),
    /// Why it may not go yet.
    LeaveWaits(oneshot::Sender<Option<ShutdownBlocker>>),
    Stop(oneshot::Sender<()>),
}

pub(crate) struct ControlServer {
    commands: mpsc::Sender<Command>,
}

impl ControlServer {
    /// Serves on until others hold what this node holds and it leads no more, or that takes too long.
    pub(crate) async fn leave(&self, within: Duration) {
        let began = Instant::now();
        let (done, may_go) = oneshot::channel();
        if self.commands.send(Command::Leave(done)).await.is_err() {
            return;
        }
        let took = |began: Instant| began.elapsed().as_millis() as u64;
        if tokio::time::timeout(within, may_go).await.is_ok() {
            log::info!(ms = took(began); "event=shutdown_complete");
            return;
        }
        let (tell, cause) = oneshot::channel();
        let _ = self.commands.send(Command::LeaveWaits(tell)).await;
        let cause = tokio::time::timeout(Duration::from_millis(100), cause).await;
        let cause = cause
            .ok()
            .and_then(Result::ok)
            .map_or("no answer".to_owned(), |blocker| {
                blocker.map_or("nothing".to_owned(), |blocker| blocker.to_string())
            });
        log::warn!(ms = took(began), waits_for = cause; "event=shutdown_incomplete");
    }

    /// Ends all sessions, so that the others need not wait for silence.
    pub(crate) async fn stop(&self) {
        let (done, ended) = oneshot::channel();
        if self.commands.send(Command::Stop(done)).await.is_ok() {
            let _ = ended.await;
        }
    }
}

/// The present moment of the process's steady clock.
fn clock_now() -> ClockInstant {
    clock::now()
}

/// A number that is the same nowhere else.
pub(crate) fn life() -> u64 {
    let at = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_nanos());
    let hash =
        std::hash::BuildHasher::hash_one(&std::collections::hash_map::RandomState::new(), at);
    hash | 1
}

pub(crate) async fn start(
    settings: &Rc<Settings>,
    address: SocketAddr,
) -> Result<ControlServer, Error> {
    let (commands, queue) = mpsc::channel(COMMANDS);
    let (synced_tx, mut synced) = mpsc::unbounded_channel();
    let state = settings.state_dir.as_deref().unwrap_or_default();
    let (disk, kept) = disk::open(state, move |then| drop(synced_tx.send(then)))?;
    let life = life();
    let bootstrap: Vec<String> = settings
        .bootstrap_peers
        .iter()
        .map(SocketAddr::to_string)
        .collect();
    let own = address.to_string();
    let empty = kept.id.is_none();
    // An empty disk is nobody that was there before; but on the very first start the address names it.
    let first = empty && settings.initial_boot && bootstrap.contains(&own);
    let id = kept.id.unwrap_or(if first {
        linenthread_consensus::genesis_id(&own)
    } else {
        life
    });
    let genesis = settings.initial_boot.then(|| Value {
        voters: bootstrap
            .iter()
            .map(|a| Voter {
                id: linenthread_consensus::genesis_id(a),
                address: a.clone(),
            })
            .collect(),
        ..Value::default()
    });
    let local = NodeConfig {
        name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        incarnation: life,
        control_address: own,
        may_vote: settings.quorum_member,
        min_voters: 2 * settings.machine_faults + 1,
        heartbeat_interval: settings.heartbeat_interval,
        bootstrap,
        is_genesis: settings.initial_boot && empty,
        retry_allowance: settings.retry_allowance,
        retry_window: settings.retry_window,
    };
    log::info!(disk = id, empty = empty, first = first; "event=control_started");
    let control = ControlNode::new(local, id, kept, genesis.clone(), clock_now());
    if empty {
        disk.keep(
            linenthread_messages::Record {
                id: Some(id),
                decided: genesis,
                ..Default::default()
            },
            Vec::new(),
        );
    }
    let calls = TcpListener::bind(address)
        .await
        .map_err(step("binding", address))?;
    let peers = SocketAddr::new(address.ip(), settings.peers_port);
    let peers = TcpListener::bind(peers)
        .await
        .map_err(step("binding", peers))?;
    log::info!(calls = address.to_string(), peers = settings.peers_port; "event=control_listening");
    let hub = ControlTask {
        control,
        disk,
        links: HashMap::new(),
        calls: HashMap::new(),
        tokens: CallId(0),
        commands: commands.clone(),
        port: settings.peers_port,
        leaves: Vec::new(),
        gone: false,
    };
    spawn_local(hub.run(queue));
    let to = commands.clone();
    spawn_local(async move {
        while let Some(then) = synced.recv().await {
            let _ = to.send(Command::Synced(then)).await;
        }
    });
    let to = commands.clone();
    spawn_local(async move {
        loop {
            match calls.accept().await {
                Ok((stream, from)) => drop(spawn_local(call(stream, from, to.clone()))),
                Err(e) => pause(&e).await,
            }
        }
    });
    let to = commands.clone();
    spawn_local(async move {
        loop {
            match peers.accept().await {
                Ok((stream, from)) => {
                    links::prepare(&stream);
                    spawn_local(link(stream, from.to_string(), to.clone()));
                }
                Err(e) => pause(&e).await,
            }
        }
    });
    Ok(ControlServer { commands })
}

/// No descriptor is left, or the like: it will pass.
pub(crate) async fn pause(e: &std::io::Error) {
    log::warn!(cause = e.to_string(); "event=accept_failed");
    tokio::time::sleep(Duration::from_millis(50)).await;
}

/// One link for as long as it lasts.
async fn link(stream: TcpStream, peer: String, commands: mpsc::Sender<Command>) {
    static LINKS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);
    let link = SessionId(LINKS.fetch_add(1, std::sync::atomic::Ordering::Relaxed));
    let (to, words) = mpsc::channel(links::WAITING);
    if commands.send(Command::Opened(link, to)).await.is_err() {
        return;
    }
    let queue = commands.clone();
    let take = move |word| queue.try_send(Command::PeerMessage(link, word)).is_ok();
    if let Err(e) = links::carry(stream, &peer, words, take).await {
        log::info!(cause = e.to_string(); "event=connection_closed");
    }
    let _ = commands.send(Command::Closed(link)).await;
}

struct ControlTask {
    control: ControlNode,
    disk: Disk,
    links: HashMap<SessionId, mpsc::Sender<PeerMessage>>,
    calls: HashMap<CallId, oneshot::Sender<Response>>,
    tokens: CallId,
    commands: mpsc::Sender<Command>,
    port: u16,
    /// Who waits for this node to be free to go.
    leaves: Vec<oneshot::Sender<()>>,
    /// It has left: nothing is taken any more.
    gone: bool,
}

impl ControlTask {
    async fn run(mut self, mut queue: mpsc::Receiver<Command>) {
        let (mut waiting, mut out) = (Vec::new(), Vec::new());
        loop {
            if self.gone {
                queue.recv_many(&mut waiting, 64).await;
            } else {
                let due = clock::to_std(self.control.next_tick_at(clock_now())).into();
                let _ = tokio::time::timeout_at(due, queue.recv_many(&mut waiting, 64)).await;
            }
            let now = clock_now();
            for command in waiting.drain(..) {
                if let Command::Stop(done) = command {
                    self.links.clear();
                    // The writers have a turn to close.
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    let _ = done.send(());
                    return;
                }
                if !self.gone {
                    self.take(now, command, &mut out);
                }
            }
            if self.gone {
                out.clear();
                continue;
            }
            if now >= self.control.next_tick_at(now) {
                self.control.tick(now, &mut out);
            }
            self.carry_out(&mut out);
            if !self.leaves.is_empty() && self.control.may_exit(now) {
                self.go();
            }
        }
    }

    /// Others may have been told that they can go because this node stays: from here on it says nothing more.
    fn go(&mut self) {
        self.gone = true;
        self.links.clear();
        self.calls.clear();
        for done in self.leaves.drain(..) {
            let _ = done.send(());
        }
    }

    fn token(&mut self, reply: oneshot::Sender<Response>) -> CallId {
        self.tokens.0 += 1;
        self.calls.insert(self.tokens, reply);
        self.tokens
    }

    fn take(&mut self, now: ClockInstant, command: Command, out: &mut Vec<Effect>) {
        match command {
            Command::Opened(link, to) => {
                self.links.insert(link, to);
                self.control.on_session_opened(link, out);
            }
            Command::PeerMessage(link, word) => self.control.on_message(now, link, word, out),
            Command::Closed(link) => {
                self.links.remove(&link);
                self.control.on_session_closed(now, link, out);
            }
            Command::Unreached(address) => self.control.on_dial_failed(now, &address),
            Command::Beat(ident, beat, reply) => {
                let token = self.token(reply);
                self.control
                    .on_replica_heartbeat(now, token, &ident, beat, out);
            }
            Command::Departure(ident, reply) => {
                let token = self.token(reply);
                self.control.on_replica_departure(now, token, &ident, out);
            }
            Command::Replace {
                base,
                revision,
                document,
                reply,
            } => {
                let token = self.token(reply);
                self.control
                    .replace_configuration(now, token, base, revision, document, out);
            }
            Command::Read(reply) => {
                let token = self.token(reply);
                self.control.read_configuration(now, token, out);
            }
            Command::Members(reply) => drop(reply.send(self.control.members_status(now))),
            Command::Replicas(reply) => drop(reply.send(self.control.replicas_status(now))),
            Command::Synced(then) => self.control.on_synced(now, then, out),
            Command::Leave(done) => {
                self.control.begin_shutdown(now, out);
                self.leaves.push(done);
            }
            Command::LeaveWaits(reply) => drop(reply.send(self.control.shutdown_blocker(now))),
            Command::Stop(_) => {}
        }
    }

    fn carry_out(&mut self, out: &mut Vec<Effect>) {
        for o in out.drain(..) {
            match o {
                Effect::Send {
                    session: link,
                    message: word,
                } => {
                    let full = self
                        .links
                        .get(&link)
                        .is_some_and(|to| to.try_send(word).is_err());
                    if full {
                        self.links.remove(&link);
                    }
                }
                Effect::Persist { record, after_sync } => {
                    if !self.disk.keep(record, after_sync) {
                        log::warn!("event=disk_backlogged");
                    }
                }
                Effect::Respond {
                    call: token,
                    response: answer,
                } => {
                    if let Some(reply) = self.calls.remove(&token) {
                        let _ = reply.send(answer);
                    }
                }
                Effect::Dial(address) => {
                    let (commands, port) = (self.commands.clone(), self.port);
                    spawn_local(async move {
                        let Ok(control) = address.parse::<SocketAddr>() else {
                            return;
                        };
                        match links::dial(SocketAddr::new(control.ip(), port), DIAL).await {
                            Ok(stream) => link(stream, address, commands).await,
                            Err(_) => drop(commands.send(Command::Unreached(address)).await),
                        }
                    });
                }
                Effect::Close(link) => drop(self.links.remove(&link)),
                Effect::Log(line) => log::info!("{line}"),
            }
        }
    }
}

/// One caller's connection: calls one after another.
async fn call(stream: TcpStream, from: SocketAddr, commands: mpsc::Sender<Command>) {
    links::prepare(&stream);
    let mut wire = HttpConnection::new(stream);
    loop {
        let head = match wire.read_request_head(HEAD, QUIET, SLOW).await {
            Ok(head) => head,
            Err(ConnectionError::Invalid { source: refusal }) => {
                logs::log_rejected_input("reading a call's head", from, refusal);
                let _ = answer(&mut wire, 400, &json!({"error": "not a request"}), false).await;
                return;
            }
            Err(_) => return,
        };
        let framing = match request_framing(&head, BODY) {
            Ok(framing) => framing,
            Err(refusal) => {
                logs::log_rejected_input("judging a call's head", from, refusal);
                let status = if refusal == linenthread_http::ParseError::BodyTooLong {
                    413
                } else {
                    400
                };
                let _ = answer(&mut wire, status, &json!({"error": "body refused"}), false).await;
                return;
            }
        };
        if head.has_token("expect", "100-continue") {
            let by = Instant::now() + SLOW;
            if wire
                .write(b"HTTP/1.1 100 Continue\r\n\r\n", by)
                .await
                .is_err()
            {
                return;
            }
        }
        let Ok(body) = wire.read_body(framing, BODY, SLOW, None).await else {
            return;
        };
        let keep = head.keeps_alive();
        let reply = dispatch(&head, body, &commands).await;
        if let Reply::Json(status @ (400 | 404 | 405), value) = &reply {
            logs::log_rejected_input(
                "taking a call",
                from,
                format_args!("{status} {} {value}", head.path()),
            );
        }
        let done = match reply {
            Reply::Json(status, value) => answer(&mut wire, status, &value, keep).await,
            Reply::Raw(document) => raw(&mut wire, 200, &document, keep).await,
            Reply::Elsewhere(address) => sent_on(&mut wire, &address, head.target(), keep).await,
        };
        if done.is_err() || !keep {
            if done.is_err() {
                log::info!(peer = from.to_string(); "event=client_disconnected");
            }
            return;
        }
    }
}

enum Reply {
    Json(u16, serde_json::Value),
    Raw(Vec<u8>),
    /// The same call is to be made at this address.
    Elsewhere(String),
}

fn refuse(status: u16, cause: impl std::fmt::Display) -> Reply {
    Reply::Json(status, json!({"error": cause.to_string()}))
}

/// All calls of replicas and operators: method and path segments.
async fn dispatch(head: &Head, body: Vec<u8>, commands: &mpsc::Sender<Command>) -> Reply {
    let path = head.path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (head.method(), segments.as_slice()) {
        ("POST", ["Replicas.Heartbeat", ident]) if !ident.is_empty() && ident.len() <= 256 => {
            let beat: ReplicaHeartbeat = match serde_json::from_slice(&body) {
                Ok(beat) => beat,
                Err(e) => return refuse(400, e),
            };
            if beat.address.parse::<SocketAddr>().is_err() {
                return refuse(400, format!("{} is no address", beat.address));
            }
            let ident = (*ident).to_owned();
            asked(commands, |reply| Command::Beat(ident, beat, reply)).await
        }
        ("POST", ["Replicas.Departure", ident]) if !ident.is_empty() && ident.len() <= 256 => {
            let ident = (*ident).to_owned();
            asked(commands, |reply| Command::Departure(ident, reply)).await
        }
        ("POST", ["Configuration.Replace"]) => {
            let base = head.header("x-base-revision").map_or(Ok(0), str::parse);
            let Ok(base) = base else {
                return refuse(400, "X-Base-Revision is no number");
            };
            match Configuration::parse(&body) {
                Ok(read) => {
                    let (revision, document) = (read.revision, body);
                    asked(commands, |reply| Command::Replace {
                        base,
                        revision,
                        document,
                        reply,
                    })
                    .await
                }
                Err(fault) => refuse(400, fault),
            }
        }
        ("GET", ["Configuration.Read"]) => asked(commands, Command::Read).await,
        ("GET", ["Members.Read"]) => told(commands, Command::Members).await,
        ("GET", ["Replicas.Read"]) => told(commands, Command::Replicas).await,
        (
            _,
            ["Replicas.Heartbeat" | "Replicas.Departure", _]
            | ["Configuration.Replace" | "Configuration.Read" | "Members.Read" | "Replicas.Read"],
        ) => refuse(405, "another method is meant"),
        _ => refuse(404, "no such call"),
    }
}

async fn told(
    commands: &mpsc::Sender<Command>,
    command: impl FnOnce(oneshot::Sender<serde_json::Value>) -> Command,
) -> Reply {
    let (reply, answer) = oneshot::channel();
    if commands.try_send(command(reply)).is_err() {
        return refuse(503, "too much waits");
    }
    answer
        .await
        .map_or_else(|_| refuse(503, "ending"), |value| Reply::Json(200, value))
}

async fn asked(
    commands: &mpsc::Sender<Command>,
    command: impl FnOnce(oneshot::Sender<Response>) -> Command,
) -> Reply {
    let (reply, answer) = oneshot::channel();
    if commands.try_send(command(reply)).is_err() {
        return refuse(503, "too much waits");
    }
    match answer.await {
        Ok(Response::Acknowledged(Some(to))) => Reply::Json(200, json!({"report_to": to})),
        Ok(Response::Acknowledged(None)) => Reply::Json(200, json!({})),
        Ok(Response::Committed(revision)) => Reply::Json(200, json!({"revision": revision})),
        Ok(Response::Document(value)) if value.revision == 0 => {
            refuse(404, "no configuration was taken yet")
        }
        Ok(Response::Document(value)) => Reply::Raw(value.document.to_vec()),
        Ok(Response::Conflict(revision)) => Reply::Json(
            412,
            json!({"error": "another version is in place", "revision": revision}),
        ),
        Ok(Response::Unavailable(cause)) => refuse(503, cause),
        Ok(Response::Redirect(address)) => Reply::Elsewhere(address),
        Err(_) => refuse(503, "ending"),
    }
}

async fn answer(
    wire: &mut HttpConnection,
    status: u16,
    value: &serde_json::Value,
    keep: bool,
) -> Result<(), ConnectionError> {
    raw(wire, status, value.to_string().as_bytes(), keep).await
}

/// Another control node is to be called.
async fn sent_on(
    wire: &mut HttpConnection,
    address: &str,
    target: &str,
    keep: bool,
) -> Result<(), ConnectionError> {
    let close = if keep { "" } else { "Connection: close\r\n" };
    let bytes = format!(
        "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://{address}{target}\r\n\
         Content-Length: 0\r\n{close}\r\n"
    );
    wire.write(bytes.as_bytes(), Instant::now() + SLOW).await
}

async fn raw(
    wire: &mut HttpConnection,
    status: u16,
    body: &[u8],
    keep: bool,
) -> Result<(), ConnectionError> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        _ => "Service Unavailable",
    };
    let close = if keep { "" } else { "Connection: close\r\n" };
    let mut bytes = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{close}\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    wire.write(&bytes, Instant::now() + SLOW).await
}
