//! Connections to one replica, and one sub-request over one of them.
//!
//! A connection is owned by one sub-request at a time. It goes back to the pool at one place only, after a
//! whole answer that is known to be that request's, with nothing behind it; on any other way out of a
//! sub-request it is dropped, which closes it. So no connection with an unanswered request is used again.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::AttemptOutcome;
use linenthread_core::policy::CONNECT_TIMEOUT;
use linenthread_http::{Head, answer_framing, number};
use smallvec::SmallVec;
use tokio::time::{Instant, timeout};

use crate::clock;
use crate::connection::{HttpConnection, Stop, WriteFailed};
use crate::outcome::{Connection, SendState, WireEvent, classify, judge};
use crate::transport::{Connector, TcpConnector};

/// No answer's head is longer.
const HEAD: usize = 16_384;
/// No answer is longer.
const BODY: usize = 8 << 20;
/// A replica ends by itself at the time it was handed: its word on that is waited for so much longer.
const SLACK: Duration = Duration::from_millis(40);
/// A replica that is gone is remembered for so many milliseconds.
const REMEMBERED: u64 = 120_000;
/// A connection whose end was told is not used so shortly before it.
const EARLY: Duration = Duration::from_millis(700);
const MICROS_A_TENTH: u64 = 100;

/// One life of a replica, as this front meets it, and the connections to it.
pub struct ReplicaPool<C: Connector = TcpConnector> {
    /// The replica's own id.
    pub ident: String,
    /// The service that it is of.
    pub backend: Rc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub zone: String,
    /// It has said that it will end.
    pub draining: Cell<bool>,
    /// It is not there any more, as far as is known.
    pub gone: Cell<bool>,
    /// How many connections it may have from this front.
    pub most: Cell<usize>,
    gone_at: Cell<u64>,
    connector: C,
    idle: RefCell<Vec<IdleConnection<C>>>,
    open: Cell<usize>,
}

/// A connection's number, which no other of this thread has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ConnectionNumber(u64);

impl ConnectionNumber {
    fn next() -> ConnectionNumber {
        thread_local! {
            static GIVEN: Cell<u64> = const { Cell::new(0) };
        }
        GIVEN.set(GIVEN.get() + 1);
        ConnectionNumber(GIVEN.get())
    }
}

/// Sub-requests of one request for which no more memory is asked for.
const USUAL_SUB_REQUESTS: usize = 12;

/// A connection that carries nothing.
struct IdleConnection<C: Connector> {
    http: HttpConnection<C::Transport>,
    number: ConnectionNumber,
    ends: Option<Instant>,
}

/// A connection that a sub-request has to itself. It counts as open for as long as it lives.
struct Lease<'a, C: Connector> {
    http: HttpConnection<C::Transport>,
    number: ConnectionNumber,
    age: Connection,
    _open: OpenCount<'a>,
}

struct OpenCount<'a>(&'a Cell<usize>);

impl<'a> OpenCount<'a> {
    fn new(open: &'a Cell<usize>) -> OpenCount<'a> {
        open.set(open.get() + 1);
        OpenCount(open)
    }
}

impl Drop for OpenCount<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A request on its way to replicas: the head's beginning is the same for all of them.
pub struct Request {
    begin: Vec<u8>,
    end: Vec<u8>,
    /// The client's id for it.
    pub attempt: String,
    /// Answers have no body.
    pub to_head: bool,
    /// Its answer is made of several services' answers.
    pub gathers: bool,
    /// The connections that carried it. An answer too many to an earlier sub-request has the same
    /// id as the answer to the next one, so those two never share a connection.
    carried: RefCell<SmallVec<[ConnectionNumber; USUAL_SUB_REQUESTS]>>,
}

impl Request {
    /// `begin` and `end` are what stands before and after the headers that each sub-request has of its own.
    pub fn new(
        begin: Vec<u8>,
        end: Vec<u8>,
        attempt: String,
        to_head: bool,
        gathers: bool,
    ) -> Request {
        Request {
            begin,
            end,
            attempt,
            to_head,
            gathers,
            carried: RefCell::default(),
        }
    }

    fn was_carried(&self, by: ConnectionNumber) -> bool {
        self.carried.borrow().contains(&by)
    }

    /// The bytes of one sub-request.
    fn bytes(&self, ident: &str, left: Duration) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.begin.len() + self.end.len() + 64 + ident.len());
        bytes.extend_from_slice(&self.begin);
        bytes.extend_from_slice(b"X-Remaining-Ms: ");
        number(&mut bytes, (left.as_millis() as u64).max(1));
        bytes.extend_from_slice(b"\r\nX-Target-Replica: ");
        bytes.extend_from_slice(ident.as_bytes());
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.end);
        bytes
    }
}

/// A replica's whole answer.
pub struct Answer {
    /// Status and headers.
    pub head: Head,
    /// The whole body.
    pub body: Vec<u8>,
}

/// How a sub-request ended, and the replica's answer where it gave one that may be passed on.
pub struct SubRequestOutcome {
    /// For the decision module.
    pub ending: AttemptOutcome,
    /// For the rules of repeating.
    pub sent: SendState,
    /// Only one that a client may get.
    pub answer: Option<Answer>,
}

impl<C: Connector> ReplicaPool<C> {
    /// A pool with no connection yet.
    pub fn new(
        replica: &linenthread_messages::Replica,
        backend: Rc<str>,
        address: SocketAddr,
        connector: C,
    ) -> ReplicaPool<C> {
        ReplicaPool {
            ident: replica.id.clone(),
            backend,
            address,
            zone: replica.zone.clone(),
            draining: Cell::new(replica.draining),
            gone: Cell::new(replica.removed),
            most: Cell::new(usize::MAX),
            gone_at: Cell::new(0),
            connector,
            idle: RefCell::default(),
            open: Cell::new(0),
        }
    }

    /// Notes that it has gone, or is back.
    pub fn set_gone(&self, gone: bool) {
        self.gone.set(gone);
        self.gone_at.set(clock::ms());
    }

    /// It has been gone for so long that nothing is heard of it any more.
    pub fn is_past(&self, now: u64) -> bool {
        self.gone.get() && now > self.gone_at.get() + REMEMBERED
    }

    /// How many connections wait for a request.
    pub fn idle(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Lets go of what nothing is out on.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Lets go of connections that the replica is about to end, or has ended.
    pub fn tidy(&self) {
        let now = Instant::now();
        self.idle
            .borrow_mut()
            .retain(|connection| connection.is_good(now));
    }

    /// One sub-request, from its connection to its whole answer.
    pub async fn call(&self, request: &Request, time: Duration) -> SubRequestOutcome {
        let by = Instant::now() + time;
        let mut lease = match self.lease(request, time).await {
            Ok(lease) => lease,
            // Whether the connection would have been new makes no difference where there is none.
            Err(event) => return outcome(judge(event, Connection::Fresh, request.gathers), None),
        };
        let age = lease.age;
        let (event, answer) = match self.exchange(&mut lease, request, by).await {
            Ok(answer) => {
                let event = classify(&answer.head, &request.attempt, &self.ident, age);
                (event, Some(answer))
            }
            Err(event) => (event, None),
        };
        let judged = judge(event, age, request.gathers);
        let Some(answer) = answer else {
            return outcome(judged, None);
        };
        if event != WireEvent::NotOurs && event != WireEvent::Misdirected {
            self.give_back(lease, &answer.head);
        }
        outcome(
            judged,
            may_be_passed_on(event, &answer.head, request.gathers).then_some(answer),
        )
    }

    /// A connection for the request: one that waits, else a new one.
    async fn lease(&self, request: &Request, time: Duration) -> Result<Lease<'_, C>, WireEvent> {
        let (http, number, age) = if let Some(idle) = self.take_idle(request) {
            (idle.http, idle.number, Connection::Reused)
        } else {
            self.make_room()?;
            let (http, number) = self.connect(time).await?;
            (http, number, Connection::Fresh)
        };
        request.carried.borrow_mut().push(number);
        Ok(Lease {
            http,
            number,
            age,
            _open: OpenCount::new(&self.open),
        })
    }

    /// Room for one more connection: of those that wait and don't fit the oldest goes, if need be.
    fn make_room(&self) -> Result<(), WireEvent> {
        let most = self.most.get();
        if self.open.get() >= most {
            return Err(WireEvent::NoRoom);
        }
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() && self.open.get() + idle.len() >= most {
            idle.remove(0);
        }
        Ok(())
    }

    /// A used connection that is still good and has not carried this request.
    fn take_idle(&self, request: &Request) -> Option<IdleConnection<C>> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        loop {
            let fits = |connection: &IdleConnection<C>| !request.was_carried(connection.number);
            let newest = idle.iter().rposition(fits)?;
            let connection = idle.remove(newest);
            if connection.is_good(now) {
                return Some(connection);
            }
        }
    }

    async fn connect(
        &self,
        time: Duration,
    ) -> Result<(HttpConnection<C::Transport>, ConnectionNumber), WireEvent> {
        let within = time.min(Duration::from_micros(
            CONNECT_TIMEOUT as u64 * MICROS_A_TENTH,
        ));
        match timeout(within, self.connector.connect(self.address)).await {
            Ok(Ok(stream)) => Ok((HttpConnection::new(stream), ConnectionNumber::next())),
            _ => Err(WireEvent::NotConnected),
        }
    }

    /// Writes the request and reads one whole answer.
    async fn exchange(
        &self,
        lease: &mut Lease<'_, C>,
        request: &Request,
        by: Instant,
    ) -> Result<Answer, WireEvent> {
        let left = by.saturating_duration_since(Instant::now());
        let by = by + SLACK;
        let bytes = request.bytes(&self.ident, left);
        lease
            .http
            .write_counted(&bytes, by)
            .await
            .map_err(write_failed)?;
        let head = lease.http.answer(HEAD, by).await.map_err(head_stopped)?;
        let framing = answer_framing(&head, request.to_head).map_err(|_| WireEvent::Malformed)?;
        let left = by.saturating_duration_since(Instant::now());
        let body = lease
            .http
            .body(framing, BODY, left, Some(by))
            .await
            .map_err(body_stopped)?;
        Ok(Answer { head, body })
    }

    /// Takes a connection back whose request was answered, if it can carry another.
    fn give_back(&self, lease: Lease<'_, C>, head: &Head) {
        if !head.keeps() || !lease.http.is_quiet() || self.draining.get() || self.gone.get() {
            return;
        }
        let ends = told_end(head).map(|after| Instant::now() + after.saturating_sub(EARLY));
        self.idle.borrow_mut().push(IdleConnection {
            http: lease.http,
            number: lease.number,
            ends,
        });
    }
}

impl<C: Connector> IdleConnection<C> {
    /// Nothing came on it since its last answer, and it does not end soon.
    fn is_good(&self, now: Instant) -> bool {
        self.ends.is_none_or(|ends| now < ends) && self.http.is_quiet()
    }
}

fn outcome(
    (ending, sent): (AttemptOutcome, SendState),
    answer: Option<Answer>,
) -> SubRequestOutcome {
    SubRequestOutcome {
        ending,
        sent,
        answer,
    }
}

/// An answer that a client may get: one with the replica's seal, and for a part only a success.
fn may_be_passed_on(event: WireEvent, head: &Head, gathers: bool) -> bool {
    match event {
        WireEvent::Success => true,
        WireEvent::Refused | WireEvent::Failed => {
            !gathers && head.header("x-replica-seal").is_some()
        }
        _ => false,
    }
}

/// How long the replica says that it keeps the connection.
fn told_end(head: &Head) -> Option<Duration> {
    let words = head.header("keep-alive")?;
    let seconds = words
        .split(',')
        .find_map(|word| word.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

fn write_failed(failed: WriteFailed) -> WireEvent {
    match failed {
        WriteFailed { written: 0, .. } => WireEvent::NothingWritten,
        WriteFailed {
            stop: Stop::Late, ..
        } => WireEvent::Silent,
        WriteFailed { .. } => WireEvent::WriteCut,
    }
}

fn head_stopped(stop: Stop) -> WireEvent {
    match stop {
        Stop::Late => WireEvent::Silent,
        Stop::Closed => WireEvent::ClosedUnanswered,
        Stop::Cut => WireEvent::AnswerCut,
        Stop::Refused(_) => WireEvent::Malformed,
    }
}

fn body_stopped(stop: Stop) -> WireEvent {
    match stop {
        Stop::Late => WireEvent::Silent,
        Stop::Closed | Stop::Cut => WireEvent::AnswerCut,
        Stop::Refused(_) => WireEvent::Malformed,
    }
}
