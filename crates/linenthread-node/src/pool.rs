//! Connections to replicas, and one part call over one of them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linenthread_core::interface::Ending;
use linenthread_core::policy::CONNECT;
use linenthread_http::{Head, answer_framing, number};
use tokio::net::TcpStream;

use crate::clock;
use crate::wire::{Stop, Wire};

const HEAD: usize = 16_384;
/// No answer is longer.
const BODY: usize = 8 << 20;
/// A replica ends by itself at the time it was handed: its word on that is waited for so much longer.
const SLACK: Duration = Duration::from_millis(40);
/// A replica that is gone is remembered for so many milliseconds.
const REMEMBERED: u64 = 120_000;
/// A connection whose end was told is not used so shortly before it.
const EARLY: Duration = Duration::from_millis(700);

/// One life of a replica, as this front meets it.
pub struct Slot {
    pub ident: String,
    pub backend: Rc<str>,
    pub address: SocketAddr,
    pub zone: String,
    pub draining: Cell<bool>,
    pub gone: Cell<bool>,
    gone_at: Cell<u64>,
    idle: RefCell<Vec<Idle>>,
    open: Cell<usize>,
    pub most: Cell<usize>,
}

struct Idle {
    wire: Wire,
    ends: Option<Instant>,
}

/// A request on its way to replicas: the head's beginning is the same for all of them.
pub struct Request {
    pub begin: Vec<u8>,
    pub end: Vec<u8>,
    pub attempt: String,
    pub to_head: bool,
    pub gathers: bool,
}

pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
}

/// How a part call ended, and the replica's answer where it gave one that may be passed on.
pub struct Done {
    pub ending: Ending,
    /// Known not to have run.
    pub never_ran: bool,
    pub answer: Option<Answer>,
}

/// Counts an open connection for as long as it lives.
struct Counted<'a>(&'a Cell<usize>);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Slot {
    pub fn new(replica: &linenthread_messages::Replica, backend: Rc<str>, address: SocketAddr) -> Slot {
        Slot {
            ident: replica.ident.clone(),
            backend,
            address,
            zone: replica.zone.clone(),
            draining: Cell::new(replica.draining),
            gone: Cell::new(replica.gone),
            gone_at: Cell::new(0),
            idle: RefCell::default(),
            open: Cell::new(0),
            most: Cell::new(usize::MAX),
        }
    }

    pub fn set_gone(&self, gone: bool) {
        self.gone.set(gone);
        self.gone_at.set(clock::ms());
    }

    /// It has been gone for so long that nothing is heard of it any more.
    pub fn is_past(&self, now: u64) -> bool {
        self.gone.get() && now > self.gone_at.get() + REMEMBERED
    }

    /// Lets go of what nothing is out on.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Lets go of connections that the replica is about to end, or has ended.
    pub fn tidy(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|i| i.ends.is_none_or(|e| now < e) && i.wire.is_quiet());
    }

    /// A used connection that is still good.
    fn take(&self) -> Option<Wire> {
        let now = Instant::now();
        loop {
            let idle = self.idle.borrow_mut().pop()?;
            if idle.ends.is_none_or(|e| now < e) && idle.wire.is_quiet() {
                return Some(idle.wire);
            }
        }
    }

    fn give_back(&self, wire: Wire, head: &Head) {
        if !head.keeps() || !wire.is_quiet() || self.draining.get() || self.gone.get() {
            return;
        }
        let told = head.header("keep-alive").and_then(|v| {
            let seconds = v.split(',').find_map(|w| w.trim().strip_prefix("timeout="))?;
            seconds.trim().parse::<u64>().ok()
        });
        let ends = told.map(|s| Instant::now() + Duration::from_secs(s).saturating_sub(EARLY));
        self.idle.borrow_mut().push(Idle { wire, ends });
    }

    /// One part call, from its connection to its whole answer.
    pub async fn call(&self, request: &Request, time: Duration) -> Done {
        let by = Instant::now() + time;
        let failed = |ending, never_ran| Done { ending, never_ran, answer: None };
        let (mut wire, fresh) = match self.take() {
            Some(wire) => (wire, false),
            None => {
                if self.open.get() >= self.most.get() {
                    return failed(Ending::Unsent, true);
                }
                let within = time.min(Duration::from_micros(CONNECT as u64 * 100));
                match tokio::time::timeout(within, TcpStream::connect(self.address)).await {
                    Ok(Ok(stream)) => (Wire::new(stream), true),
                    _ => return failed(Ending::Unconnected, true),
                }
            }
        };
        self.open.set(self.open.get() + 1);
        let _counted = Counted(&self.open);
        let left = by.saturating_duration_since(Instant::now());
        let mut bytes = Vec::with_capacity(request.begin.len() + request.end.len() + 64);
        bytes.extend_from_slice(&request.begin);
        bytes.extend_from_slice(b"X-Remaining-Ms: ");
        number(&mut bytes, (left.as_millis() as u64).max(1));
        bytes.extend_from_slice(b"\r\nX-Target-Replica: ");
        bytes.extend_from_slice(self.ident.as_bytes());
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&request.end);
        let by = (by + SLACK).into();
        if wire.write(&bytes, by).await.is_err() {
            return failed(if fresh { Ending::Broken } else { Ending::Errored }, false);
        }
        let head = match wire.answer(HEAD, by).await {
            Ok(head) => head,
            Err(Stop::Late) => return failed(Ending::TimedOut, false),
            Err(Stop::Closed) if fresh => return failed(Ending::Broken, false),
            Err(_) => return failed(Ending::Errored, false),
        };
        let Ok(framing) = answer_framing(&head, request.to_head) else {
            return failed(Ending::Errored, false);
        };
        let quiet = by.saturating_duration_since(tokio::time::Instant::now());
        let body = match wire.body(framing, BODY, quiet, Some(by)).await {
            Ok(body) => body,
            Err(Stop::Late) => return failed(Ending::TimedOut, false),
            Err(_) => return failed(Ending::Errored, false),
        };
        // Another request's answer, or one whose bytes are not the replica's own: the connection is spoilt.
        let other = head.header("x-attempt-id").is_some_and(|id| id != request.attempt);
        if other || head.header("content-encoding").is_some() {
            return failed(Ending::Errored, false);
        }
        let (status, good) = (head.status, matches!(head.status, 200..=299));
        if status == 421 {
            return failed(Ending::Unconnected, true);
        }
        if head.header("x-not-executed").is_some() {
            self.give_back(wire, &head);
            return failed(Ending::TurnedAway, true);
        }
        let sealed = head.header("x-replica-seal").is_some();
        self.give_back(wire, &head);
        let ending = match status {
            _ if good && !sealed => Ending::Errored,
            200..=299 => Ending::Answered,
            500.. => Ending::Errored,
            _ if request.gathers => Ending::Errored,
            _ => Ending::Answered,
        };
        let answer = (sealed && (good || !request.gathers)).then_some(Answer { head, body });
        Done { ending, never_ran: false, answer }
    }
}
