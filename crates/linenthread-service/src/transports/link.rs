//! Links to gateways: sub-requests to replicas that only a gateway in another site reaches. The state machine
//! in `linenthread-link` decides; the task here connects, reads, writes and keeps its timers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::{AttemptOutcome, TenthMillis};
use linenthread_link::routing::LinkStatus;
use linenthread_link::{
    Call, CallId, CallNumber, ClientAction, ClientCloseReason, ClientConfig, Frame, FrameError,
    LinkClient, Member, ProbeId, Secrets,
};
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout};
use tracing::{info, warn};

use crate::clock::{self, Clock};
use crate::log::LogRateLimit;
use crate::transports::attempt::{
    AttemptKey, FinishedAttempt, FinishedAttempts, OutgoingSubRequest, ProbeReport,
};

/// The size of one read, in bytes.
const READ_BYTES: usize = 32 * 1024;
/// How long a connect to a gateway may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The longest sleep of the link's task: 10 s.
const MAX_SLEEP: TenthMillis = 100_000;

/// Why a link's connection ended. The text goes to the log.
#[derive(Debug, Snafu)]
enum LinkError {
    #[snafu(display("cannot connect: {source}"))]
    Connect { source: io::Error },
    #[snafu(display("cannot connect in time"))]
    ConnectTimeout,
    #[snafu(display("closed by the gateway"))]
    ClosedByGateway,
    #[snafu(display("{reason}"))]
    ClosedHere { reason: ClientCloseReason },
    #[snafu(display("{source}"))]
    Io { source: io::Error },
    #[snafu(display("{source}"))]
    Frame { source: FrameError },
}

/// A call that waits for its outcome.
struct PendingCall {
    key: AttemptKey,
    finished: FinishedAttempts,
}

/// A change of what a link reaches.
pub(crate) enum LinkEvent {
    /// The replicas behind the link: all of them where `complete`, else those that have changed.
    Members {
        complete: bool,
        members: Vec<Member>,
    },
    /// The link is up, or down.
    Up(bool),
}

struct Inner {
    name: String,
    address: SocketAddr,
    clock: Clock,
    client: RefCell<LinkClient>,
    calls: RefCell<BTreeMap<CallId, PendingCall>>,
    probes: RefCell<BTreeMap<ProbeId, oneshot::Sender<ProbeReport>>>,
    outgoing: RefCell<VecDeque<Frame>>,
    /// The client wants to connect.
    connect: Cell<bool>,
    /// The client wants to close the connection.
    close: RefCell<Option<ClientCloseReason>>,
    /// Wakes the link's task.
    wake: Notify,
    events: mpsc::UnboundedSender<LinkEvent>,
    log_lines: LogRateLimit,
}

/// The link to one peer.
#[derive(Clone)]
pub(crate) struct Peer(Rc<Inner>);

/// A call in flight over a link. Dropping it cancels the call, unless it has finished.
pub(crate) struct InFlightAttempt {
    peer: Peer,
    id: CallId,
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        let pending = self.peer.0.calls.borrow_mut().remove(&self.id);
        if pending.is_some() {
            self.peer
                .act(|client, _, actions| client.withdraw(self.id, actions));
        }
    }
}

/// The settings of one link.
pub(crate) struct LinkConfig {
    /// The peer's name.
    pub name: String,
    pub address: SocketAddr,
    pub secrets: Secrets,
    pub client: ClientConfig,
    /// The seed of the reconnects' random delays.
    pub seed: u64,
}

/// A frame that is being written.
struct FrameWriter {
    bytes: Vec<u8>,
    /// Bytes written so far.
    position: usize,
    /// The call that the frame starts.
    call: Option<CallNumber>,
}

impl FrameWriter {
    fn new(frame: &Frame) -> Self {
        let call = if let Frame::Call(request) = frame {
            Some(request.number)
        } else {
            None
        };
        FrameWriter {
            bytes: frame.encode(),
            position: 0,
            call,
        }
    }

    fn rest(&self) -> &[u8] {
        &self.bytes[self.position..]
    }

    /// Counts written bytes; returns whether the frame is complete.
    fn advance(&mut self, written: usize) -> bool {
        self.position += written;
        self.position == self.bytes.len()
    }
}

impl Peer {
    /// Starts a link that is kept up from now on, and reports what it reaches to `events`.
    pub(crate) fn start(
        config: LinkConfig,
        clock: Clock,
        events: mpsc::UnboundedSender<LinkEvent>,
    ) -> Peer {
        let peer = Peer(Rc::new(Inner {
            name: config.name,
            address: config.address,
            clock,
            client: RefCell::new(LinkClient::new(config.client, config.secrets, config.seed)),
            calls: RefCell::default(),
            probes: RefCell::default(),
            outgoing: RefCell::default(),
            connect: Cell::new(false),
            close: RefCell::default(),
            wake: Notify::new(),
            events,
            log_lines: LogRateLimit::default(),
        }));
        actix_rt::spawn(peer.clone().run());
        peer
    }

    /// Whether the link is up, and its room.
    pub(crate) fn status(&self) -> LinkStatus {
        self.0.client.borrow().status()
    }

    /// Passes an input to the state machine, and performs the actions that it returns.
    fn act(&self, input: impl FnOnce(&mut LinkClient, TenthMillis, &mut Vec<ClientAction>)) {
        let mut actions = Vec::new();
        input(
            &mut self.0.client.borrow_mut(),
            self.0.clock.now(),
            &mut actions,
        );
        for action in actions {
            self.perform(action);
        }
        self.0.wake.notify_one();
    }

    fn perform(&self, action: ClientAction) {
        match action {
            ClientAction::Connect => self.0.connect.set(true),
            ClientAction::Close(reason) => drop(self.0.close.replace(Some(reason))),
            ClientAction::Send(frame) => self.0.outgoing.borrow_mut().push_back(frame),
            ClientAction::CallCompleted {
                id,
                outcome,
                queue_depth,
                value,
            } => {
                let pending = self.0.calls.borrow_mut().remove(&id);
                if let Some(pending) = pending {
                    let finished = FinishedAttempt {
                        key: pending.key,
                        outcome,
                        queue_depth,
                        value,
                    };
                    pending.finished.send(finished).ok();
                }
            }
            ClientAction::ProbeCompleted {
                id,
                outcome,
                queue_depth,
            } => {
                let pending = self.0.probes.borrow_mut().remove(&id);
                if let Some(pending) = pending {
                    let report = ProbeReport {
                        outcome,
                        queue_depth,
                    };
                    pending.send(report).ok();
                }
            }
            ClientAction::Members { complete, members } => {
                let event = LinkEvent::Members { complete, members };
                self.0.events.send(event).ok();
            }
            ClientAction::Up(up) => {
                info!(peer = self.0.name, up, "link");
                self.0.events.send(LinkEvent::Up(up)).ok();
            }
        }
    }

    /// Sends sub-requests of one query to one replica, each as a call of its own.
    pub(crate) fn send(
        &self,
        replica_id: &str,
        query_id: &str,
        sub_requests: &[OutgoingSubRequest],
        wait: Duration,
        finished: &FinishedAttempts,
    ) -> Vec<InFlightAttempt> {
        let deadline = self.0.clock.now() + clock::to_tenths(wait);
        let start = |outgoing: &OutgoingSubRequest| {
            let call = Call {
                replica: replica_id.to_owned(),
                query: query_id.to_owned(),
                shard: u32::try_from(outgoing.shard).unwrap_or(u32::MAX),
                continuation: outgoing.continuation,
                text: outgoing.text.to_string(),
            };
            self.start_call(call, deadline, outgoing, finished)
        };
        sub_requests.iter().map(start).collect()
    }

    fn start_call(
        &self,
        call: Call,
        deadline: TenthMillis,
        outgoing: &OutgoingSubRequest,
        finished: &FinishedAttempts,
    ) -> InFlightAttempt {
        let mut id = CallId(0);
        // The call may complete at once: it is registered before its actions are performed.
        self.act(|client, now, actions| {
            id = client.call(now, call, deadline, outgoing.priority, actions);
            let pending = PendingCall {
                key: outgoing.key,
                finished: finished.clone(),
            };
            self.0.calls.borrow_mut().insert(id, pending);
        });
        InFlightAttempt {
            peer: self.clone(),
            id,
        }
    }

    /// Probes a replica behind the link for its health and load.
    pub(crate) async fn probe(&self, replica_id: &str, wait: Duration) -> ProbeReport {
        let (report, response) = oneshot::channel();
        self.act(|client, _, actions| {
            let id = client.probe(replica_id.to_owned(), actions);
            self.0.probes.borrow_mut().insert(id, report);
        });
        match timeout(wait, response).await {
            Ok(Ok(report)) => report,
            Ok(Err(_)) => ProbeReport::without_load(AttemptOutcome::ConnectionLost),
            Err(_) => ProbeReport::without_load(AttemptOutcome::TimedOut),
        }
    }

    async fn run(self) {
        loop {
            tokio::select! {
                () = sleep_until(self.next_timeout()) => self.act(LinkClient::on_timeout),
                () = self.0.wake.notified() => {}
            }
            if self.0.connect.take() {
                let cause = match self.connect().await {
                    Ok(stream) => self.exchange(stream).await,
                    Err(error) => error,
                };
                if let Some(left_out) = self.0.log_lines.admit() {
                    warn!(peer = self.0.name, address = %self.0.address, left_out, "link lost: {cause}");
                }
                self.0.outgoing.borrow_mut().clear();
                self.0.close.take();
                self.act(LinkClient::on_disconnected);
            }
        }
    }

    /// When the state machine wants to be called next.
    fn next_timeout(&self) -> Instant {
        let next = self.0.client.borrow().next_timeout();
        self.0.clock.at(next.min(self.0.clock.now() + MAX_SLEEP))
    }

    async fn connect(&self) -> Result<TcpStream, LinkError> {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.0.address)).await {
            Ok(connected) => connected.context(ConnectSnafu),
            Err(_) => ConnectTimeoutSnafu.fail(),
        }
    }

    /// Writes and reads on one connection until it ends; returns why it did.
    async fn exchange(&self, mut stream: TcpStream) -> LinkError {
        stream.set_nodelay(true).ok();
        self.act(|client, now, _| client.on_connected(now));
        let (mut input, mut output) = stream.split();
        let mut received = Vec::new();
        let mut buffer = vec![0; READ_BYTES];
        let mut writing: Option<FrameWriter> = None;
        loop {
            // Not a byte more: what was not written completely by now was reported as never sent.
            if let Some(reason) = self.0.close.take() {
                return LinkError::ClosedHere { reason };
            }
            if writing.is_none() {
                let next = self.0.outgoing.borrow_mut().pop_front();
                writing = next.as_ref().map(FrameWriter::new);
            }
            let unwritten = writing.as_ref().map_or(&[][..], FrameWriter::rest);
            tokio::select! {
                count = input.read(&mut buffer) => match count {
                    Ok(0) => return LinkError::ClosedByGateway,
                    Ok(count) => {
                        received.extend_from_slice(&buffer[..count]);
                        if let Err(source) = self.on_received(&mut received) {
                            return LinkError::Frame { source };
                        }
                    }
                    Err(source) => return LinkError::Io { source },
                },
                count = output.write(unwritten), if !unwritten.is_empty() => match count {
                    Ok(count) => {
                        if let Some(complete) = writing.take_if(|writer| writer.advance(count)) {
                            self.on_written(&complete);
                        }
                    }
                    Err(source) => return LinkError::Io { source },
                },
                () = sleep_until(self.next_timeout()) => self.act(LinkClient::on_timeout),
                () = self.0.wake.notified() => {}
            }
        }
    }

    /// Passes the complete frames in `received` to the state machine.
    fn on_received(&self, received: &mut Vec<u8>) -> Result<(), FrameError> {
        Frame::drain(received, |frame| {
            self.act(|client, now, actions| client.on_frame(now, frame, actions));
        })
    }

    /// A frame is written completely: the call in it may run from now on.
    fn on_written(&self, frame: &FrameWriter) {
        if let Some(call) = frame.call {
            self.0.client.borrow_mut().on_call_written(call);
        }
    }
}
