//! Stand-in replicas: each answers by its service, the path and the attempt alone, so that an answer tells
//! for which request it was made, and notes each run.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use linenthread_http::{BodyReader, Head, RECORD_BYTES, request_framing};
use tokio::time::Instant;

use crate::fate::{Chance, Faults, HalfEnd, RequestFate, Stray, StrayTime};
use crate::judge::{Run, Runs};
use crate::network::{Event, Inbound, Listener, Peer, WriteFate};

/// No request is longer.
const REQUEST: usize = 1 << 16;
/// Records that each service has for a request.
const RECORDS: u64 = 6;
/// Paths under this are asked of all services of a route.
pub const GATHERED: &str = "/all/";

/// The answer of a service to a request.
pub fn answer_body(service: &str, path: &str, attempt: &str) -> Vec<u8> {
    if !path.starts_with(GATHERED) {
        return format!("{service}|{path}|{attempt}").into_bytes();
    }
    let mut body = Vec::with_capacity(RECORDS as usize * RECORD_BYTES);
    for number in 0..RECORDS {
        body.extend_from_slice(&digest(&[service, path, attempt], number).to_be_bytes());
        body.extend_from_slice(&digest(&[attempt, path, service], number).to_be_bytes());
    }
    body
}

/// A sum over words, the same on every machine (FNV-1a).
pub fn digest(words: &[&str], number: u64) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = words
        .iter()
        .flat_map(|word| word.bytes().chain([0]))
        .chain(number.to_be_bytes());
    bytes.fold(OFFSET, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// One life of a replica.
pub struct Replica {
    pub ident: String,
    pub service: String,
    pub address: SocketAddr,
    /// It refuses requests that are meant for another.
    pub checks_target: bool,
    alive: Cell<bool>,
    frozen_until: Cell<Option<Instant>>,
    faults: Faults,
    chance: Chance,
    runs: Runs,
}

impl Replica {
    /// A replica that runs from now on.
    pub fn new(
        (ident, service, address): (String, &str, SocketAddr),
        checks_target: bool,
        (faults, chance, runs): (Faults, Chance, Runs),
    ) -> Rc<Replica> {
        Rc::new(Replica {
            ident,
            service: service.to_owned(),
            address,
            checks_target,
            alive: Cell::new(true),
            frozen_until: Cell::new(None),
            faults,
            chance,
            runs,
        })
    }

    /// It runs and answers nothing from now on.
    pub fn end(&self) {
        self.alive.set(false);
    }

    /// What it sends is late by so long.
    pub fn freeze(&self, time: Duration) {
        self.frozen_until.set(Some(Instant::now() + time));
    }

    fn frozen(&self) -> Duration {
        self.frozen_until.get().map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Notes a run; its seal.
    fn run(&self, attempt: &str, path: &str) -> String {
        let run = Run {
            attempt: attempt.to_owned(),
            path: path.to_owned(),
            service: self.service.clone(),
            ident: self.ident.clone(),
        };
        format!("{}.{}", self.ident, self.runs.note(run))
    }
}

/// A replica as the network sees it.
pub struct Listening(pub Rc<Replica>);

impl Listener for Listening {
    fn accept(&self) -> Option<(Duration, Box<dyn Peer>)> {
        let Listening(replica) = self;
        let (chance, faults) = (&replica.chance, replica.faults);
        if !replica.alive.get() || chance.per_mille(faults.connections) {
            return None;
        }
        let slow = if chance.per_mille(faults.connections) {
            chance.ms(50, 600)
        } else {
            Duration::ZERO
        };
        let forgets = chance.per_mille(faults.idle).then(|| chance.ms(20, 400));
        let connection = Connection {
            replica: replica.clone(),
            buffer: BytesMut::new(),
            stray: None,
            forgets,
            used: Instant::now(),
            answer_due: Instant::now(),
            state: State::Open,
        };
        Some((slow, Box::new(connection)))
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    /// What comes is answered by a reset: the replica has let go of it, and the front has not seen that yet.
    Forgotten,
    /// Nothing comes back any more.
    Silent,
}

/// A replica's end of one connection.
struct Connection {
    replica: Rc<Replica>,
    buffer: BytesMut,
    stray: Option<Vec<u8>>,
    /// It lets go of a connection that rests for so long, and the front does not hear of it.
    forgets: Option<Duration>,
    used: Instant,
    /// When its last answer has arrived, at the earliest.
    answer_due: Instant,
    state: State,
}

struct Request {
    attempt: String,
    path: String,
    target: String,
    to_head: bool,
}

impl Peer for Connection {
    fn write_fate(&mut self, bytes: &[u8]) -> WriteFate {
        self.replica.faults.write(&self.replica.chance, bytes.len())
    }

    fn receive(&mut self, bytes: &[u8], inbound: &mut Inbound) {
        let unanswered = self.state == State::Silent || self.answer_due > Instant::now();
        if unanswered || !inbound.is_idle() {
            self.replica.runs.doubt(&format!(
                "{}: {unanswered}, {}",
                self.replica.ident,
                inbound.is_idle()
            ));
        }
        let rested = Instant::now().saturating_duration_since(self.used);
        self.used = Instant::now();
        if self.forgets.is_some_and(|after| rested > after) {
            self.state = State::Forgotten;
        }
        match self.state {
            State::Silent => return,
            State::Open if self.replica.alive.get() => {}
            _ => return inbound.push(Duration::from_millis(1), Event::Reset),
        }
        self.buffer.extend_from_slice(bytes);
        while let Some(request) = self.take() {
            self.meet(&request, inbound);
            if self.state != State::Open {
                return;
            }
        }
    }
}

impl Connection {
    /// A whole request off the buffer.
    fn take(&mut self) -> Option<Request> {
        let mut rest = self.buffer.clone();
        let head = Head::parse_request(&mut rest, REQUEST).ok()??;
        let mut body = BodyReader::new(request_framing(&head, REQUEST).ok()?, REQUEST);
        if !body.read_from(&mut rest).ok()? {
            return None;
        }
        self.buffer = rest;
        let header = |name| head.header(name).unwrap_or_default().to_owned();
        Some(Request {
            attempt: header("x-attempt-id"),
            path: head.target().to_owned(),
            target: header("x-target-replica"),
            to_head: head.method() == "HEAD",
        })
    }

    /// Does with a request what its fate is.
    fn meet(&mut self, request: &Request, inbound: &mut Inbound) {
        let replica = self.replica.clone();
        let chance = &replica.chance;
        if let Some(stray) = self.stray.take() {
            inbound.push(Duration::from_millis(1), Event::Bytes(stray));
        }
        let mut after = replica.frozen() + chance.ms(2, 30);
        self.answer_due = Instant::now() + after;
        if replica.checks_target && request.target != replica.ident {
            return inbound.push(after, Event::Bytes(misdirected(&replica.ident)));
        }
        match replica.faults.request(chance) {
            RequestFate::Answer => {
                let answer = self.run(request, &request.attempt);
                inbound.push(after, Event::Bytes(answer));
            }
            RequestFate::AnswerLate => {
                after += chance.ms(200, 2_500);
                self.answer_due = Instant::now() + after;
                let answer = self.run(request, &request.attempt);
                inbound.push(after, Event::Bytes(answer));
            }
            RequestFate::AnswerTwice(stray, time) => {
                let answer = self.run(request, &request.attempt);
                let second = self.second(request, stray, &answer);
                self.answer_twice((answer, second), time, after, inbound);
            }
            RequestFate::AnswerWithoutId => {
                let answer = self.run(request, "");
                inbound.push(after, Event::Bytes(answer));
            }
            RequestFate::AnswerOfAnother => {
                let answer = self.run(request, &of_another_front(&request.attempt));
                inbound.push(after, Event::Bytes(answer));
            }
            RequestFate::Failed { sealed } => {
                let seal = replica.run(&request.attempt, &request.path);
                let seal = if sealed { seal.as_str() } else { "" };
                inbound.push(
                    after,
                    Event::Bytes(message(500, &request.attempt, seal, "", b"failed")),
                );
            }
            RequestFate::Rejected { with_id, closes } => {
                let id = if with_id {
                    request.attempt.as_str()
                } else {
                    ""
                };
                inbound.push(after, Event::Bytes(rejection(id)));
                if closes {
                    inbound.push(Duration::ZERO, Event::Close);
                    self.state = State::Forgotten;
                }
            }
            RequestFate::RejectedTwice => {
                inbound.push(after, Event::Bytes(rejection(&request.attempt)));
                self.stray = Some(rejection(&request.attempt));
            }
            RequestFate::Silent { ran } => {
                if ran {
                    self.run(request, "");
                }
                self.state = State::Silent;
            }
            RequestFate::Reset { ran } => self.end(request, ran, after, Event::Reset, inbound),
            RequestFate::Closed { ran } => self.end(request, ran, after, Event::Close, inbound),
            RequestFate::Half { per_mille, end } => {
                let mut answer = self.run(request, &request.attempt);
                answer.truncate((answer.len() as u64 * per_mille / 1_000) as usize);
                inbound.push(after, Event::Bytes(answer));
                match end {
                    HalfEnd::Close => inbound.push(after, Event::Close),
                    HalfEnd::Reset => inbound.push(after, Event::Reset),
                    HalfEnd::Silence => {}
                }
                self.state = if end == HalfEnd::Silence {
                    State::Silent
                } else {
                    State::Forgotten
                };
            }
        }
    }

    /// Ends the connection with no answer.
    fn end(
        &mut self,
        request: &Request,
        ran: bool,
        after: Duration,
        event: Event,
        inbound: &mut Inbound,
    ) {
        if ran {
            self.run(request, "");
        }
        inbound.push(after, event);
        self.state = State::Forgotten;
    }

    /// Runs a request; the answer, under this id.
    fn run(&self, request: &Request, id: &str) -> Vec<u8> {
        let seal = self.replica.run(&request.attempt, &request.path);
        let body = answer_body(&self.replica.service, &request.path, &request.attempt);
        let body = if request.to_head { &[][..] } else { &body };
        message(200, id, &seal, "", body)
    }

    /// The answer too many.
    fn second(&self, request: &Request, stray: Stray, answer: &[u8]) -> Vec<u8> {
        let body = answer_body(&self.replica.service, &request.path, &request.attempt);
        let seal = format!("{}.again", self.replica.ident);
        match stray {
            Stray::Again => answer.to_vec(),
            Stray::WithoutId => message(200, "", &seal, "", &body),
            Stray::OfAnother => message(200, &of_another_front(&request.attempt), &seal, "", &body),
            Stray::Rejection => rejection(&request.attempt),
            Stray::RejectionWithoutId => rejection(""),
            Stray::Misdirection => misdirected("another"),
        }
    }

    fn answer_twice(
        &mut self,
        (mut answer, second): (Vec<u8>, Vec<u8>),
        time: StrayTime,
        after: Duration,
        inbound: &mut Inbound,
    ) {
        match time {
            StrayTime::AtOnce => answer.extend_from_slice(&second),
            StrayTime::Idle => {
                let later = after + self.replica.chance.ms(1, 60);
                inbound.push(after, Event::Bytes(answer));
                return inbound.push(later, Event::Bytes(second));
            }
            StrayTime::NextDue => self.stray = Some(second),
        }
        inbound.push(after, Event::Bytes(answer));
    }
}

/// The id of a request that another front has out at the same replica. One that this front has out here could
/// not be told by anybody: id, connection and order would all be right.
fn of_another_front(attempt: &str) -> String {
    format!("{attempt}-elsewhere")
}

fn misdirected(ident: &str) -> Vec<u8> {
    message(421, "", "", &format!("X-Replica-Id: {ident}\r\n"), b"")
}

fn rejection(id: &str) -> Vec<u8> {
    message(503, id, "", "X-Not-Executed: 1\r\n", b"")
}

/// An answer's bytes; an id or seal that is empty is left out.
pub fn message(status: u16, id: &str, seal: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} Stand-In\r\n").into_bytes();
    for (name, value) in [("X-Attempt-Id", id), ("X-Replica-Seal", seal)] {
        if !value.is_empty() {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
    }
    bytes.extend_from_slice(more.as_bytes());
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}
