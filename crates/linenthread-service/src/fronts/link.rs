//! The front for links: this program as a gateway. Part calls that come over a link go to the replica that
//! they name, once, and their outcome back; which replica, and whether again, the other side decides.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::{AttemptOutcome, TenthMillis};
use linenthread_link::frame::{CallOutcome, ProbeOutcome};
use linenthread_link::{
    Call, CallNumber, ConnectionId, Frame, LinkServer, Member, ProbeId, ServerAction, SessionId,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, sleep_until, timeout};
use tracing::{info, warn};

use crate::carriers::Carriers;
use crate::carriers::call::{Asked, Ended};
use crate::clock;
use crate::desk::Desk;
use crate::log::Sparing;

/// What is read at once from a connection at the most.
const READ: usize = 32 * 1024;
/// Connections at once; more than there may be sessions, since old ones are let go only when new ones come.
const MOST_CONNECTIONS: usize = 64;
/// A connection that does not take what it is told for so long is ended.
const TAKEN_WITHIN: Duration = Duration::from_secs(5);
/// Bytes that wait to be written on a connection at the most; beyond that it is ended, and may be resumed.
const MOST_WAITING: usize = 16 * 1024 * 1024;

struct Connection {
    frames: RefCell<VecDeque<Vec<u8>>>,
    waiting: RefCell<usize>,
    close: RefCell<Option<String>>,
    news: Notify,
}

struct Inner {
    desk: Desk,
    carriers: Carriers,
    far: RefCell<LinkServer>,
    cold_share: u16,
    connections: RefCell<BTreeMap<ConnectionId, Rc<Connection>>>,
    /// Calls that run here, by session and number: to give them up.
    running: RefCell<BTreeMap<(SessionId, CallNumber), Rc<Notify>>>,
    numbers: RefCell<u64>,
    woken: Notify,
    lines: Sparing,
}

#[derive(Clone)]
pub(crate) struct Gateway(Rc<Inner>);

impl Gateway {
    pub(crate) fn new(desk: Desk, carriers: Carriers, far: LinkServer, cold_share: u16) -> Gateway {
        Gateway(Rc::new(Inner {
            desk,
            carriers,
            far: RefCell::new(far),
            cold_share,
            connections: RefCell::default(),
            running: RefCell::default(),
            numbers: RefCell::default(),
            woken: Notify::new(),
            lines: Sparing::default(),
        }))
    }

    /// Lets the machine take something in, and does what it says.
    fn act(&self, take: impl FnOnce(&mut LinkServer, TenthMillis, &mut Vec<ServerAction>)) {
        let mut to = Vec::new();
        take(
            &mut self.0.far.borrow_mut(),
            self.0.desk.clock().now(),
            &mut to,
        );
        for one in to {
            match one {
                ServerAction::Send { connection, frame } => self.send(connection, &frame),
                ServerAction::Close { connection, reason } => {
                    if let Some(connection) = self.0.connections.borrow().get(&connection) {
                        connection.close.replace(Some(reason.to_string()));
                        connection.news.notify_one();
                    }
                }
                ServerAction::StartCall {
                    session,
                    number,
                    timeout: time_out,
                    call,
                } => {
                    let stop = Rc::new(Notify::new());
                    self.0
                        .running
                        .borrow_mut()
                        .insert((session, number), stop.clone());
                    actix_rt::spawn(self.clone().start((session, number), time_out, call, stop));
                }
                ServerAction::CancelCall { session, number } => {
                    if let Some(stop) = self.0.running.borrow().get(&(session, number)) {
                        stop.notify_one();
                    }
                }
                ServerAction::Probe {
                    connection,
                    id: number,
                    replica,
                } => {
                    actix_rt::spawn(self.clone().probe(connection, number, replica));
                }
            }
        }
        self.0.woken.notify_one();
    }

    fn send(&self, id: ConnectionId, frame: &Frame) {
        let connections = self.0.connections.borrow();
        let Some(connection) = connections.get(&id) else {
            return;
        };
        let bytes = frame.encode();
        let mut waiting = connection.waiting.borrow_mut();
        *waiting += bytes.len();
        if *waiting > MOST_WAITING {
            connection
                .close
                .replace(Some("it does not take what it is told".into()));
        }
        connection.frames.borrow_mut().push_back(bytes);
        connection.news.notify_one();
    }

    /// One call's way to its replica and back.
    async fn start(
        self,
        at: (SessionId, CallNumber),
        time_out: TenthMillis,
        call: Call,
        stop: Rc<Notify>,
    ) {
        let (to, mut ended) = mpsc::unbounded_channel::<Ended>();
        let end = match self.0.desk.direct(&call.replica) {
            None => Ended::without_value(0, 0, AttemptOutcome::NotSent),
            Some(replica) => {
                let asked = Asked {
                    part: 0,
                    call: 0,
                    shard: call.shard as usize,
                    round: call.continuation,
                    text: call.text.as_str().into(),
                    gain: 0,
                };
                let wait = clock::span(time_out.max(1));
                let wait_ms = wait.as_micros().div_ceil(1000) as u64;
                let out = self
                    .0
                    .carriers
                    .call(replica, &call.query, &[asked], wait_ms, &to);
                let given_up = |ending| Ended::without_value(0, 0, ending);
                let end = tokio::select! {
                    Some(end) = ended.recv() => end,
                    () = sleep(wait) => {
                        out.iter().flatten().for_each(super::super::carriers::PartOut::timed_out);
                        given_up(AttemptOutcome::TimedOut)
                    }
                    () = stop.notified() => given_up(AttemptOutcome::Cancelled),
                };
                drop(out);
                end
            }
        };
        self.0.running.borrow_mut().remove(&at);
        let (session, number) = at;
        let outcome = CallOutcome {
            number,
            outcome: end.ending,
            queue_depth: end.queue,
            value: end.value,
        };
        self.act(|far, _, to| far.on_call_completed(session, outcome, to));
    }

    async fn probe(self, connection: ConnectionId, id: ProbeId, replica: String) {
        let (ending, queue) = match self.0.desk.direct(&replica) {
            Some(replica) => self.0.carriers.probe(replica).await,
            None => (AttemptOutcome::NotSent, None),
        };
        self.send(
            connection,
            &Frame::Probed(ProbeOutcome {
                id,
                outcome: ending,
                queue_depth: queue,
            }),
        );
    }

    /// Takes links for as long as it is polled.
    pub(crate) async fn run(&self, listener: &TcpListener) {
        tokio::join!(self.accept(listener), self.wakes(), self.tell_members());
    }

    /// Tells what can be reached from here, whenever that changes.
    async fn tell_members(&self) {
        loop {
            let share = self.0.cold_share;
            let members = self
                .0
                .desk
                .local()
                .into_iter()
                .map(|m| Member {
                    slow_start_share: share,
                    ..m
                })
                .collect();
            self.act(|far, _, to| far.set_members(members, to));
            self.0.desk.local_changed().await;
        }
    }

    async fn wakes(&self) {
        let clock = self.0.desk.clock();
        loop {
            let at = self
                .0
                .far
                .borrow()
                .next_timeout()
                .min(clock.now() + 100_000);
            tokio::select! {
                () = sleep_until(clock.at(at)) => self.act(LinkServer::on_timeout),
                () = self.0.woken.notified() => {}
            }
        }
    }

    async fn accept(&self, listener: &TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) if self.0.connections.borrow().len() < MOST_CONNECTIONS => {
                    actix_rt::spawn(self.clone().connection(stream, address));
                }
                Ok(_) => {
                    if let Some(left_out) = self.0.lines.line() {
                        warn!(left_out, "no room for a link's connection");
                    }
                }
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    }

    async fn connection(self, mut stream: TcpStream, address: SocketAddr) {
        stream.set_nodelay(true).ok();
        let id = {
            let mut numbers = self.0.numbers.borrow_mut();
            *numbers += 1;
            ConnectionId(*numbers)
        };
        let connection = Rc::new(Connection {
            frames: RefCell::default(),
            waiting: RefCell::default(),
            close: RefCell::default(),
            news: Notify::new(),
        });
        self.0
            .connections
            .borrow_mut()
            .insert(id, connection.clone());
        self.act(|far, now, to| far.on_accepted(now, id, to));
        let why = self.serve(&mut stream, id, &connection).await;
        // The one place where a link's connection is given back.
        self.0.connections.borrow_mut().remove(&id);
        self.act(|far, now, _| far.on_disconnected(now, id));
        if let Some(left_out) = self.0.lines.line() {
            info!(%address, left_out, "link's connection ended: {why}");
        }
    }

    async fn serve(
        &self,
        stream: &mut TcpStream,
        id: ConnectionId,
        connection: &Connection,
    ) -> String {
        let (mut reads, mut writes) = stream.split();
        let (mut read, mut buffer) = (Vec::new(), vec![0; READ]);
        loop {
            // What is to be said is said before the end, its reason included.
            loop {
                let next = connection.frames.borrow_mut().pop_front();
                let Some(bytes) = next else { break };
                match timeout(TAKEN_WITHIN, writes.write_all(&bytes)).await {
                    Ok(Ok(())) => *connection.waiting.borrow_mut() -= bytes.len(),
                    Ok(Err(e)) => return e.to_string(),
                    Err(_) => return "it does not take what it is told".into(),
                }
            }
            if let Some(why) = connection.close.take() {
                return why;
            }
            tokio::select! {
                n = reads.read(&mut buffer) => match n {
                    Ok(0) => return "closed by the other side".into(),
                    Ok(n) => {
                        read.extend_from_slice(&buffer[..n]);
                        let take = |frame| self.act(|far, now, to| far.on_frame(now, id, frame, to));
                        if let Err(why) = Frame::drain(&mut read, take) {
                            self.send(id, &Frame::Refuse { reason: why.clone() });
                            connection.close.replace(Some(why));
                        }
                    }
                    Err(e) => return e.to_string(),
                },
                () = connection.news.notified() => {}
            }
        }
    }

    /// Takes nothing new, and waits until what runs has its outcome held, for so long at the most.
    pub(crate) async fn leave(&self, most: Duration) {
        self.act(|far, _, to| far.start_draining(to));
        let drained = async {
            while self.0.far.borrow().retained_calls() > 0 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(most, drained).await.ok();
    }
}

/// Where links come in.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    crate::fronts::http::listen(address)
}
