//! Links to gateways: part calls to replicas that only a gateway in another site reaches. The machine in
//! `linenthread-link` decides; the task here connects, reads, writes and wakes.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::{AttemptOutcome, TenthMillis};
use linenthread_link::routing::LinkStatus;
use linenthread_link::{
    Call, CallId, CallNumber, ClientAction, ClientConfig, Frame, LinkClient, Member, ProbeId,
    Secrets,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{sleep_until, timeout};
use tracing::{info, warn};

use crate::carriers::call::{Asked, Ended};
use crate::clock::Clock;
use crate::log::Sparing;

/// What is read at once from a connection at the most.
const READ: usize = 32 * 1024;
/// A gateway that cannot be connected to within so long cannot be had.
const CONNECT: Duration = Duration::from_millis(1_000);

/// Who waits for a part call.
struct Waiter {
    part: usize,
    call: usize,
    to: mpsc::UnboundedSender<Ended>,
}

type ProbeWaiter = oneshot::Sender<(AttemptOutcome, Option<f64>)>;

/// What lies behind a link has changed: all of it, or that it cannot be reached.
pub(crate) enum News {
    /// All of it, or only what has changed.
    Members(bool, Vec<Member>),
    Up(bool),
}

struct Inner {
    name: String,
    address: SocketAddr,
    clock: Clock,
    near: RefCell<LinkClient>,
    waiters: RefCell<BTreeMap<CallId, Waiter>>,
    probes: RefCell<BTreeMap<ProbeId, ProbeWaiter>>,
    frames: RefCell<VecDeque<Frame>>,
    connect: Cell<bool>,
    close: RefCell<Option<String>>,
    news: Notify,
    changes: mpsc::UnboundedSender<News>,
    lines: Sparing,
}

/// One peer's link.
#[derive(Clone)]
pub(crate) struct Peer(Rc<Inner>);

/// A part call out over a link. Dropping it gives it up, unless it has ended.
pub(crate) struct PartOut {
    peer: Peer,
    number: CallId,
}

impl Drop for PartOut {
    fn drop(&mut self) {
        if self
            .peer
            .0
            .waiters
            .borrow_mut()
            .remove(&self.number)
            .is_some()
        {
            self.peer.act(|near, _, to| near.withdraw(self.number, to));
        }
    }
}

/// What a link's peer is set to.
pub(crate) struct Terms {
    pub name: String,
    pub address: SocketAddr,
    pub secrets: Secrets,
    pub near: ClientConfig,
    pub seed: u64,
}

impl Peer {
    /// A link that is kept up from now on; what lies behind it is told to `changes`.
    pub(crate) fn start(terms: Terms, clock: Clock, changes: mpsc::UnboundedSender<News>) -> Peer {
        let peer = Peer(Rc::new(Inner {
            name: terms.name,
            address: terms.address,
            clock,
            near: RefCell::new(LinkClient::new(terms.near, terms.secrets, terms.seed)),
            waiters: RefCell::default(),
            probes: RefCell::default(),
            frames: RefCell::default(),
            connect: Cell::new(false),
            close: RefCell::default(),
            news: Notify::new(),
            changes,
            lines: Sparing::default(),
        }));
        actix_rt::spawn(peer.clone().run());
        peer
    }

    pub(crate) fn standing(&self) -> LinkStatus {
        self.0.near.borrow().status()
    }

    /// Lets the machine take something in, and does what it says.
    fn act(&self, take: impl FnOnce(&mut LinkClient, TenthMillis, &mut Vec<ClientAction>)) {
        let mut to = Vec::new();
        take(&mut self.0.near.borrow_mut(), self.0.clock.now(), &mut to);
        for one in to {
            match one {
                ClientAction::Connect => self.0.connect.set(true),
                ClientAction::Close(reason) => drop(self.0.close.replace(Some(reason.to_string()))),
                ClientAction::Send(frame) => self.0.frames.borrow_mut().push_back(frame),
                ClientAction::CallCompleted {
                    id: number,
                    outcome: ending,
                    queue_depth: queue,
                    value,
                } => {
                    if let Some(Waiter { part, call, to }) =
                        self.0.waiters.borrow_mut().remove(&number)
                    {
                        to.send(Ended {
                            part,
                            call,
                            ending,
                            queue,
                            value,
                        })
                        .ok();
                    }
                }
                ClientAction::ProbeCompleted {
                    id: number,
                    outcome: ending,
                    queue_depth: queue,
                } => {
                    if let Some(to) = self.0.probes.borrow_mut().remove(&number) {
                        to.send((ending, queue)).ok();
                    }
                }
                ClientAction::Members {
                    complete: whole,
                    members,
                } => {
                    drop(self.0.changes.send(News::Members(whole, members)));
                }
                ClientAction::Up(up) => {
                    info!(peer = self.0.name, up, "link");
                    self.0.changes.send(News::Up(up)).ok();
                }
            }
        }
        self.0.news.notify_one();
    }

    /// Sends parts of one lookup to one replica, each as a call of its own.
    pub(crate) fn call(
        &self,
        replica: &str,
        lookup: &str,
        asked: &[Asked],
        wait: Duration,
        ended_to: &mpsc::UnboundedSender<Ended>,
    ) -> Vec<PartOut> {
        let due = self.0.clock.now() + (wait.as_micros() / 100) as TenthMillis;
        let one = |asked: &Asked| {
            let call = Call {
                replica: replica.to_owned(),
                query: lookup.to_owned(),
                shard: asked.shard as u32,
                continuation: asked.round,
                text: asked.text.to_string(),
            };
            let mut number = CallId(0);
            let mut ends = Vec::new();
            // It may end at once: its waiter stands before that is told.
            self.act(|near, now, to| {
                number = near.call(now, call, due, asked.gain, &mut ends);
                let waiter = Waiter {
                    part: asked.part,
                    call: asked.call,
                    to: ended_to.clone(),
                };
                self.0.waiters.borrow_mut().insert(number, waiter);
                to.append(&mut ends);
            });
            PartOut {
                peer: self.clone(),
                number,
            }
        };
        asked.iter().map(one).collect()
    }

    /// Asks a replica behind the link how it fares.
    pub(crate) async fn probe(
        &self,
        replica: &str,
        wait: Duration,
    ) -> (AttemptOutcome, Option<f64>) {
        let (done, answer) = oneshot::channel();
        let mut ends = Vec::new();
        self.act(|near, _, to| {
            let number = near.probe(replica.to_owned(), &mut ends);
            self.0.probes.borrow_mut().insert(number, done);
            to.append(&mut ends);
        });
        match timeout(wait, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => (AttemptOutcome::ConnectionLost, None),
            Err(_) => (AttemptOutcome::TimedOut, None),
        }
    }

    async fn run(self) {
        loop {
            let at = self.0.clock.at(self
                .0
                .near
                .borrow()
                .next_timeout()
                .min(self.0.clock.now() + 100_000));
            tokio::select! {
                () = sleep_until(at) => self.act(LinkClient::on_timeout),
                () = self.0.news.notified() => {}
            }
            if self.0.connect.take() {
                let why = match timeout(CONNECT, TcpStream::connect(self.0.address)).await {
                    Ok(Ok(stream)) => self.connection(stream).await,
                    Ok(Err(e)) => format!("cannot connect: {e}"),
                    Err(_) => "cannot connect in time".into(),
                };
                if let Some(left_out) = self.0.lines.line() {
                    warn!(peer = self.0.name, address = %self.0.address, left_out, "link lost: {why}");
                }
                self.0.frames.borrow_mut().clear();
                self.0.close.take();
                self.act(LinkClient::on_disconnected);
            }
        }
    }

    /// Serves one connection until it ends; says why it did.
    async fn connection(&self, mut stream: TcpStream) -> String {
        stream.set_nodelay(true).ok();
        self.act(|near, now, _| near.on_connected(now));
        let (mut reads, mut writes) = stream.split();
        let (mut read, mut buffer) = (Vec::new(), vec![0; READ]);
        // What is being written, how much of it is, and which call it is.
        let mut writing: Option<(Vec<u8>, usize, Option<CallNumber>)> = None;
        loop {
            // Not a byte more: what was not written whole by now has been told as never run.
            if let Some(why) = self.0.close.take() {
                return why;
            }
            if writing.is_none()
                && let Some(frame) = self.0.frames.borrow_mut().pop_front()
            {
                let number = if let Frame::Call(request) = &frame {
                    Some(request.number)
                } else {
                    None
                };
                writing = Some((frame.encode(), 0, number));
            }
            let wake = self
                .0
                .near
                .borrow()
                .next_timeout()
                .min(self.0.clock.now() + 100_000);
            let rest = writing
                .as_ref()
                .map_or(&[][..], |(bytes, at, _)| &bytes[*at..]);
            tokio::select! {
                n = reads.read(&mut buffer) => match n {
                    Ok(0) => return "closed by the gateway".into(),
                    Ok(n) => {
                        read.extend_from_slice(&buffer[..n]);
                        let take = |frame| self.act(|near, now, to| near.on_frame(now, frame, to));
                        if let Err(why) = Frame::drain(&mut read, take) {
                            return why;
                        }
                    }
                    Err(e) => return e.to_string(),
                },
                n = writes.write(rest), if !rest.is_empty() => match n {
                    Ok(n) => {
                        if let Some((bytes, at, number)) = &mut writing {
                            *at += n;
                            if *at == bytes.len() {
                                if let Some(number) = *number {
                                    self.0.near.borrow_mut().on_call_written(number);
                                }
                                writing = None;
                            }
                        }
                    }
                    Err(e) => return e.to_string(),
                },
                () = sleep_until(self.0.clock.at(wake)) => self.act(LinkClient::on_timeout),
                () = self.0.news.notified() => {}
            }
        }
    }
}
