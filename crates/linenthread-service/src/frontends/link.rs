//! The frontend for links: this program as a gateway. A call that arrives over a link goes to the replica that
//! it names, once, and its outcome back; which replica, and whether to retry, the other side decides.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::{AttemptOutcome, TenthMillis};
use linenthread_link::frame::{CallOutcome, ProbeOutcome};
use linenthread_link::{
    Call, CallNumber, ConnectionId, Frame, FrameError, LinkServer, Member, ProbeId, ServerAction,
    ServerCloseReason, SessionId,
};
use snafu::Snafu;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::WriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tracing::{info, warn};

use crate::clock;
use crate::dispatcher::Dispatcher;
use crate::frontends::http;
use crate::log::LogRateLimit;
use crate::transports::attempt::{AttemptKey, FinishedAttempt, OutgoingSubRequest, ProbeReport};
use crate::transports::{InFlightAttempt, Transports};

/// The size of one read, in bytes.
const READ_BYTES: usize = 32 * 1024;
/// Connections at once. More than there may be sessions, since old ones are closed only when new ones arrive.
const MAX_CONNECTIONS: usize = 64;
/// How long the peer may take to accept one frame.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes queued on one connection. Beyond that it is closed, and its session may be resumed.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;
/// The longest sleep of the gateway's timer: 10 s.
const MAX_SLEEP: TenthMillis = 100_000;
/// The pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// How often a graceful shutdown looks whether all calls are over.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A call is one attempt at one sub-request.
const ONLY_ATTEMPT: AttemptKey = AttemptKey {
    sub_request: 0,
    attempt: 0,
};

/// Why a connection ended. The text goes to the log.
#[derive(Debug, Snafu)]
enum ConnectionEnd {
    #[snafu(display("closed by the other side"))]
    ClosedByPeer,
    #[snafu(display("it does not take what it is told"))]
    SlowPeer,
    #[snafu(display("{reason}"))]
    ClosedHere { reason: ServerCloseReason },
    #[snafu(display("{source}"))]
    Io { source: io::Error },
    #[snafu(display("{source}"))]
    Frame { source: FrameError },
}

struct Connection {
    outgoing: RefCell<VecDeque<Vec<u8>>>,
    /// Bytes in `outgoing`, and of the frame that is being written.
    queued_bytes: Cell<usize>,
    /// Set where the connection is to be closed once all frames are written.
    close: RefCell<Option<ConnectionEnd>>,
    /// Wakes the connection's task.
    wake: Notify,
}

/// Identifies a call that runs here.
type CallKey = (SessionId, CallNumber);

struct Inner {
    dispatcher: Dispatcher,
    transports: Transports,
    server: RefCell<LinkServer>,
    /// The share, in thousandths, at which others start to use replicas here.
    slow_start_share: u16,
    connections: RefCell<BTreeMap<ConnectionId, Rc<Connection>>>,
    /// Calls that run here, each with what cancels it.
    running: RefCell<BTreeMap<CallKey, Rc<Notify>>>,
    last_connection: Cell<u64>,
    /// Wakes the timer's task.
    wake: Notify,
    log_lines: LogRateLimit,
}

/// Serves the links of other sites.
#[derive(Clone)]
pub(crate) struct Gateway(Rc<Inner>);

impl Gateway {
    pub(crate) fn new(
        dispatcher: Dispatcher,
        transports: Transports,
        server: LinkServer,
        slow_start_share: u16,
    ) -> Gateway {
        Gateway(Rc::new(Inner {
            dispatcher,
            transports,
            server: RefCell::new(server),
            slow_start_share,
            connections: RefCell::default(),
            running: RefCell::default(),
            last_connection: Cell::default(),
            wake: Notify::new(),
            log_lines: LogRateLimit::default(),
        }))
    }

    /// Passes an input to the state machine, and performs the actions that it returns.
    fn act(&self, input: impl FnOnce(&mut LinkServer, TenthMillis, &mut Vec<ServerAction>)) {
        let mut actions = Vec::new();
        input(
            &mut self.0.server.borrow_mut(),
            self.0.dispatcher.clock().now(),
            &mut actions,
        );
        for action in actions {
            self.perform(action);
        }
        self.0.wake.notify_one();
    }

    fn perform(&self, action: ServerAction) {
        match action {
            ServerAction::Send { connection, frame } => self.send(connection, &frame),
            ServerAction::Close { connection, reason } => {
                if let Some(connection) = self.0.connections.borrow().get(&connection) {
                    connection
                        .close
                        .replace(Some(ConnectionEnd::ClosedHere { reason }));
                    connection.wake.notify_one();
                }
            }
            ServerAction::StartCall {
                session,
                number,
                timeout,
                call,
            } => {
                let key = (session, number);
                let cancelled = Rc::new(Notify::new());
                self.0.running.borrow_mut().insert(key, cancelled.clone());
                actix_rt::spawn(self.clone().run_call(key, timeout, call, cancelled));
            }
            ServerAction::CancelCall { session, number } => {
                if let Some(cancelled) = self.0.running.borrow().get(&(session, number)) {
                    cancelled.notify_one();
                }
            }
            ServerAction::Probe {
                connection,
                id,
                replica,
            } => {
                actix_rt::spawn(self.clone().probe(connection, id, replica));
            }
        }
    }

    fn send(&self, id: ConnectionId, frame: &Frame) {
        let connections = self.0.connections.borrow();
        let Some(connection) = connections.get(&id) else {
            return;
        };
        let bytes = frame.encode();
        let queued_bytes = connection.queued_bytes.get() + bytes.len();
        connection.queued_bytes.set(queued_bytes);
        if queued_bytes > MAX_QUEUED_BYTES {
            connection.close.replace(Some(ConnectionEnd::SlowPeer));
        }
        connection.outgoing.borrow_mut().push_back(bytes);
        connection.wake.notify_one();
    }

    /// Runs one call to its end, and reports its outcome.
    async fn run_call(self, key: CallKey, timeout: TenthMillis, call: Call, cancelled: Rc<Notify>) {
        let finished = match self.0.dispatcher.direct_replica(&call.replica) {
            None => FinishedAttempt::without_value(ONLY_ATTEMPT, AttemptOutcome::NotSent),
            Some(replica) => self.attempt(replica, timeout, &call, &cancelled).await,
        };
        self.0.running.borrow_mut().remove(&key);
        let (session, number) = key;
        let outcome = CallOutcome {
            number,
            outcome: finished.outcome,
            queue_depth: finished.queue_depth,
            value: finished.value,
        };
        self.act(|server, _, actions| server.on_call_completed(session, outcome, actions));
    }

    /// Makes the one attempt of a call.
    async fn attempt(
        &self,
        replica: usize,
        timeout: TenthMillis,
        call: &Call,
        cancelled: &Notify,
    ) -> FinishedAttempt {
        let (finished, mut finished_attempts) = mpsc::unbounded_channel();
        let outgoing = OutgoingSubRequest {
            key: ONLY_ATTEMPT,
            shard: call.shard as usize,
            continuation: call.continuation,
            text: call.text.as_str().into(),
            priority: 0,
        };
        let wait = clock::to_duration(timeout.max(1));
        let in_flight = self.0.transports.send(
            replica,
            &call.query,
            &[outgoing],
            clock::to_millis_ceil(wait),
            &finished,
        );
        // What is still in flight is cancelled as it is dropped.
        tokio::select! {
            Some(finished) = finished_attempts.recv() => finished,
            () = sleep(wait) => {
                in_flight.iter().flatten().for_each(InFlightAttempt::on_timed_out);
                FinishedAttempt::without_value(ONLY_ATTEMPT, AttemptOutcome::TimedOut)
            }
            () = cancelled.notified() => {
                FinishedAttempt::without_value(ONLY_ATTEMPT, AttemptOutcome::Cancelled)
            }
        }
    }

    async fn probe(self, connection: ConnectionId, id: ProbeId, replica: String) {
        let report = match self.0.dispatcher.direct_replica(&replica) {
            Some(replica) => self.0.transports.probe(replica).await,
            None => ProbeReport::without_load(AttemptOutcome::NotSent),
        };
        let outcome = ProbeOutcome {
            id,
            outcome: report.outcome,
            queue_depth: report.queue_depth,
        };
        self.send(connection, &Frame::Probed(outcome));
    }

    /// Serves links for as long as it is polled.
    pub(crate) async fn run(&self, listener: &TcpListener) {
        tokio::join!(
            self.accept(listener),
            self.run_timer(),
            self.announce_members()
        );
    }

    /// Announces what can be reached from here, whenever that changes.
    async fn announce_members(&self) {
        loop {
            let members = self
                .0
                .dispatcher
                .local_members()
                .into_iter()
                .map(|member| Member {
                    slow_start_share: self.0.slow_start_share,
                    ..member
                })
                .collect();
            self.act(|server, _, actions| server.set_members(members, actions));
            self.0.dispatcher.local_changed().await;
        }
    }

    /// Calls the state machine when it wants to be.
    async fn run_timer(&self) {
        loop {
            tokio::select! {
                () = sleep_until(self.next_timeout()) => self.act(LinkServer::on_timeout),
                () = self.0.wake.notified() => {}
            }
        }
    }

    fn next_timeout(&self) -> Instant {
        let clock = self.0.dispatcher.clock();
        let next = self.0.server.borrow().next_timeout();
        clock.at(next.min(clock.now() + MAX_SLEEP))
    }

    async fn accept(&self, listener: &TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) if self.0.connections.borrow().len() < MAX_CONNECTIONS => {
                    actix_rt::spawn(self.clone().connection(stream, address));
                }
                Ok(_) => {
                    if let Some(left_out) = self.0.log_lines.admit() {
                        warn!(left_out, "no room for a link's connection");
                    }
                }
                Err(_) => sleep(ACCEPT_BACKOFF).await,
            }
        }
    }

    /// Serves one connection to its end.
    async fn connection(self, mut stream: TcpStream, address: SocketAddr) {
        stream.set_nodelay(true).ok();
        let number = self.0.last_connection.get() + 1;
        self.0.last_connection.set(number);
        let id = ConnectionId(number);
        let connection = Rc::new(Connection {
            outgoing: RefCell::default(),
            queued_bytes: Cell::default(),
            close: RefCell::default(),
            wake: Notify::new(),
        });
        self.0
            .connections
            .borrow_mut()
            .insert(id, connection.clone());
        self.act(|server, now, actions| server.on_accepted(now, id, actions));
        let cause = self.exchange(&mut stream, id, &connection).await;
        // The only place that releases a connection.
        self.0.connections.borrow_mut().remove(&id);
        self.act(|server, now, _| server.on_disconnected(now, id));
        if let Some(left_out) = self.0.log_lines.admit() {
            info!(%address, left_out, "link's connection ended: {cause}");
        }
    }

    /// Writes and reads on one connection until it ends; returns why it did.
    async fn exchange(
        &self,
        stream: &mut TcpStream,
        id: ConnectionId,
        connection: &Connection,
    ) -> ConnectionEnd {
        let (mut input, mut output) = stream.split();
        let mut received = Vec::new();
        let mut buffer = vec![0; READ_BYTES];
        loop {
            // All frames are written before the connection is closed, its reason included.
            if let Err(end) = connection.write_queued(&mut output).await {
                return end;
            }
            if let Some(end) = connection.close.take() {
                return end;
            }
            tokio::select! {
                count = input.read(&mut buffer) => match count {
                    Ok(0) => return ConnectionEnd::ClosedByPeer,
                    Ok(count) => {
                        received.extend_from_slice(&buffer[..count]);
                        self.on_received(id, connection, &mut received);
                    }
                    Err(source) => return ConnectionEnd::Io { source },
                },
                () = connection.wake.notified() => {}
            }
        }
    }

    /// Passes the complete frames in `received` to the state machine. A frame that cannot be read is refused, and
    /// closes the connection.
    fn on_received(&self, id: ConnectionId, connection: &Connection, received: &mut Vec<u8>) {
        let take = |frame| {
            self.act(|server, now, actions| server.on_frame(now, id, frame, actions));
        };
        if let Err(source) = Frame::drain(received, take) {
            let reason = source.to_string();
            self.send(id, &Frame::Refuse { reason });
            connection
                .close
                .replace(Some(ConnectionEnd::Frame { source }));
        }
    }

    /// Shuts down gracefully: accepts no new calls, and waits until the outcomes of those that run are delivered,
    /// for this time at most.
    pub(crate) async fn drain(&self, max_wait: Duration) {
        self.act(|server, _, actions| server.start_draining(actions));
        let drained = async {
            while self.0.server.borrow().retained_calls() > 0 {
                sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        timeout(max_wait, drained).await.ok();
    }
}

impl Connection {
    /// Writes all queued frames.
    async fn write_queued(&self, output: &mut WriteHalf<'_>) -> Result<(), ConnectionEnd> {
        loop {
            let next = self.outgoing.borrow_mut().pop_front();
            let Some(bytes) = next else {
                return Ok(());
            };
            match timeout(WRITE_TIMEOUT, output.write_all(&bytes)).await {
                Ok(Ok(())) => {
                    let queued_bytes = self.queued_bytes.get() - bytes.len();
                    self.queued_bytes.set(queued_bytes);
                }
                Ok(Err(source)) => return Err(ConnectionEnd::Io { source }),
                Err(_) => return Err(ConnectionEnd::SlowPeer),
            }
        }
    }
}

/// Opens the listener for links.
///
/// # Errors
///
/// What the system says.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    http::listen(address)
}
