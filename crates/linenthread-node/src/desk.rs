//! The desk of services that are asked together: it owns their decision module, hands in what came and
//! carries out what is decided.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use linenthread_config::{Planned, Settings, Target};
use linenthread_core::interface::{
    Arrivals, Index, Listed, NewLookup, NewPart, Phase, Return, RosterNews, Tenths, Why,
};
use linenthread_core::{Coordinator, Writer};
use linenthread_http::{greatest, number};
use smallvec::SmallVec;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;

use crate::pass_through::PassThrough;
use crate::plane::Sites;
use crate::pool::{Answer, Done, Request, Slot};
use crate::{clock, terms};

/// What a client gets: a status, headers and a body.
pub struct Reply {
    pub status: u16,
    pub headers: Vec<u8>,
    pub body: Vec<u8>,
}

#[derive(Default)]
struct Part {
    answer: Option<Answer>,
    calls: usize,
    /// Calls of which it is not known that they did not run.
    may_have_run: usize,
}

struct Open {
    /// How manieth it is.
    number: u64,
    reply: Option<oneshot::Sender<Reply>>,
    request: Rc<Request>,
    planned: Rc<Planned>,
    parts: SmallVec<[Part; 4]>,
    /// A replica's own failure, passed on where nothing better comes.
    failure: Option<Answer>,
}

enum Act {
    Call { lookup: usize, part: usize, replica: usize, time_out: Tenths },
    Satisfy { lookup: usize },
    Nack { lookup: usize, after: Option<Tenths> },
    Abort { lookup: usize },
    Release { lookup: usize },
    Close { replica: usize },
}

#[derive(Default)]
struct Acts {
    acts: Vec<Act>,
    wake: Option<Tenths>,
    given_up: GivenUp,
}

/// Lookups that were turned away or given up, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GivenUp {
    pub late: u64,
    pub fells: u64,
    pub hopeless: u64,
    pub slow: u64,
    pub full: u64,
}

impl Writer for Acts {
    fn call(&mut self, lookup: usize, part: usize, replica: usize, time_out: Tenths) {
        self.acts.push(Act::Call { lookup, part, replica, time_out });
    }
    fn withdraw(&mut self, _: usize, _: usize, _: usize) {}
    fn satisfy(&mut self, lookup: usize, _whole: bool) {
        self.acts.push(Act::Satisfy { lookup });
    }
    fn given_up(&mut self, _: usize, why: Why) {
        *match why {
            Why::Late => &mut self.given_up.late,
            Why::Fells => &mut self.given_up.fells,
            Why::Hopeless => &mut self.given_up.hopeless,
            Why::Slow => &mut self.given_up.slow,
            Why::Full => &mut self.given_up.full,
        } += 1;
    }
    fn nack(&mut self, lookup: usize, after: Option<Tenths>) {
        self.acts.push(Act::Nack { lookup, after });
    }
    fn abort(&mut self, lookup: usize) {
        self.acts.push(Act::Abort { lookup });
    }
    fn release(&mut self, lookup: usize) {
        self.acts.push(Act::Release { lookup });
    }
    fn probe(&mut self, _: usize) {}
    fn close(&mut self, replica: usize) {
        self.acts.push(Act::Close { replica });
    }
    fn watch_roster(&mut self) {}
    fn wake_at(&mut self, at: Tenths) {
        self.wake = Some(self.wake.map_or(at, |w| w.min(at)));
    }
}

struct Inner {
    coordinator: Coordinator,
    /// Decides in its place while something is measured.
    stand_in: Option<PassThrough>,
    indexes: Vec<Index>,
    arrivals: Arrivals,
    slots: Vec<Rc<Slot>>,
    numbers: HashMap<String, usize>,
    /// Numbers of replicas that are gone, and how many lookups had been taken by then; and those free again.
    gone: Vec<(usize, u64)>,
    spare: Vec<usize>,
    lookups: Vec<Option<Open>>,
    free: Vec<usize>,
    acts: Acts,
}

pub struct Desk {
    pub services: Rc<[Rc<str>]>,
    inner: RefCell<Inner>,
    notify: Notify,
    open: Cell<usize>,
    taken: Cell<u64>,
}

impl Desk {
    pub fn new(services: Rc<[Rc<str>]>, tries: usize, settings: &Settings, seed: u64) -> Rc<Desk> {
        let deployment = terms::deployment(services.len(), tries, settings);
        let desk = Rc::new(Desk {
            services,
            inner: RefCell::new(Inner {
                coordinator: Coordinator::new(deployment, seed),
                stand_in: settings.pass_through.then(PassThrough::default),
                indexes: Vec::new(),
                arrivals: Arrivals::default(),
                slots: Vec::new(),
                numbers: HashMap::new(),
                gone: Vec::new(),
                spare: Vec::new(),
                lookups: Vec::new(),
                free: Vec::new(),
                acts: Acts::default(),
            }),
            notify: Notify::new(),
            open: Cell::new(0),
            taken: Cell::new(0),
        });
        spawn_local(run(desk.clone()));
        desk
    }

    pub fn allot(&self, free: f64, own: usize, fronts: usize) {
        self.inner.borrow_mut().coordinator.allot(free, own, fronts);
    }

    /// News of replicas of these services.
    pub fn list(&self, slots: &[Rc<Slot>], sites: &Sites) {
        let mut inner = self.inner.borrow_mut();
        let mut listed = Vec::new();
        for slot in slots {
            let Some(cell) = self.services.iter().position(|s| *s == slot.backend) else { continue };
            let inner = &mut *inner;
            let replica = match inner.numbers.get(&slot.ident) {
                Some(replica) => *replica,
                None if slot.gone.get() => continue,
                None => {
                    let replica = inner.spare.pop().unwrap_or(inner.slots.len());
                    if replica == inner.slots.len() {
                        inner.slots.push(slot.clone());
                    }
                    inner.slots[replica] = slot.clone();
                    inner.numbers.insert(slot.ident.clone(), replica);
                    replica
                }
            };
            inner.gone.retain(|(r, _)| *r != replica);
            if slot.gone.get() {
                inner.gone.push((replica, self.taken.get()));
            }
            let phase = match (slot.gone.get(), slot.draining.get()) {
                (true, _) => Phase::Gone,
                (_, true) => Phase::Draining,
                _ => Phase::Ready,
            };
            let (id, site) = (linenthread_consensus::digest(slot.ident.as_bytes()), sites.of(&slot.zone));
            listed.push(Listed { replica, id, cell, site, phase, started: None, cold_share: None });
        }
        if listed.is_empty() {
            return;
        }
        inner.arrivals.roster.push(RosterNews::Changes(listed));
        inner.arrivals.ways = Some(sites.ways());
        drop(inner);
        self.notify.notify_one();
    }

    /// Takes a request in; its number, and where its reply comes.
    pub fn take(
        &self,
        request: Rc<Request>,
        planned: &Rc<Planned>,
        key: u64,
        deadline: Tenths,
    ) -> (usize, oneshot::Receiver<Reply>) {
        let (reply, answer) = oneshot::channel();
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        let index = terms::index(planned);
        let index = inner.indexes.iter().position(|i| *i == index).unwrap_or_else(|| {
            inner.indexes.push(index.clone());
            inner.coordinator.add_index(index)
        });
        let lookup = inner.free.pop().unwrap_or_else(|| {
            inner.lookups.push(None);
            inner.lookups.len() - 1
        });
        self.taken.set(self.taken.get() + 1);
        let number = self.taken.get();
        let hard_deadline = deadline;
        let new = NewLookup { lookup, index, customer: 0, key: Some(key), number, hard_deadline };
        inner.arrivals.lookups.push(new);
        let parts = self.services.len();
        inner.arrivals.parts.extend((0..parts).map(|shard| NewPart { lookup, shard, weight: 1.0 }));
        inner.lookups[lookup] = Some(Open {
            number,
            reply: Some(reply),
            request,
            planned: planned.clone(),
            parts: (0..parts).map(|_| Part::default()).collect(),
            failure: None,
        });
        self.open.set(self.open.get() + 1);
        self.notify.notify_one();
        (lookup, answer)
    }

    /// Numbers of replicas that are gone are free again when every lookup taken before that has ended.
    pub fn tidy(&self) {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        let given_up = std::mem::take(&mut inner.acts.given_up);
        if given_up != GivenUp::default() {
            let GivenUp { late, fells, hopeless, slow, full } = given_up;
            let service = self.services.first().map_or("", |s| s);
            log::info!(service = service, of = self.services.len(), late = late, fells = fells,
                hopeless = hopeless, slow = slow, full = full; "event=given_up");
        }
        if inner.gone.is_empty() {
            return;
        }
        let oldest = inner.lookups.iter().flatten().map(|o| o.number).min().unwrap_or(u64::MAX);
        let (slots, numbers, spare) = (&inner.slots, &mut inner.numbers, &mut inner.spare);
        inner.gone.retain(|&(replica, taken)| {
            let over = taken < oldest;
            if over {
                numbers.remove(&slots[replica].ident);
                spare.push(replica);
            }
            !over
        });
    }

    /// The client has left.
    pub fn lapse(&self, lookup: usize) {
        let mut inner = self.inner.borrow_mut();
        if inner.lookups.get(lookup).is_some_and(Option::is_some) {
            inner.arrivals.lapsed.push(lookup);
            self.notify.notify_one();
        }
    }

    fn ended(&self, lookup: usize, part: usize, call: usize, took: Tenths, done: Done) {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        if let Some(Some(open)) = inner.lookups.get_mut(lookup) {
            let p = &mut open.parts[part];
            if done.never_ran {
                p.may_have_run -= 1;
            }
            match done.answer {
                Some(answer) if done.ending == linenthread_core::interface::Ending::Answered => {
                    p.answer.get_or_insert(answer);
                }
                Some(answer) => open.failure = Some(answer),
                None => {}
            }
        }
        let ending = done.ending;
        inner.arrivals.returns.push(Return { lookup, part, call, ending, took, queue: None });
        self.notify.notify_one();
    }

    /// One round of the module, and what it decided.
    fn round(self: &Rc<Self>) -> Option<Tenths> {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        inner.arrivals.now = clock::tenths();
        let arrivals = std::mem::take(&mut inner.arrivals);
        inner.acts.wake = None;
        match &mut inner.stand_in {
            None => inner.coordinator.round(&arrivals, &mut inner.acts),
            Some(stand_in) => stand_in.round(&arrivals, &mut inner.acts),
        }
        for act in std::mem::take(&mut inner.acts.acts) {
            match act {
                Act::Call { lookup, part, replica, time_out } => {
                    let Some(Some(open)) = inner.lookups.get_mut(lookup) else { continue };
                    let p = &mut open.parts[part];
                    let call = p.calls;
                    p.calls += 1;
                    p.may_have_run += 1;
                    let (slot, request, desk) =
                        (inner.slots[replica].clone(), open.request.clone(), self.clone());
                    let time = Duration::from_micros(time_out.max(10) as u64 * 100);
                    spawn_local(async move {
                        let began = clock::tenths();
                        let done = slot.call(&request, time).await;
                        desk.ended(lookup, part, call, clock::tenths() - began, done);
                    });
                }
                Act::Satisfy { lookup } => answer(&mut inner.lookups, lookup, satisfied),
                Act::Nack { lookup, after } => answer(&mut inner.lookups, lookup, |o| given_up(o, after)),
                Act::Abort { lookup } => answer(&mut inner.lookups, lookup, |o| given_up(o, None)),
                Act::Release { lookup } => {
                    if inner.lookups[lookup].take().is_some() {
                        inner.free.push(lookup);
                        self.open.set(self.open.get() - 1);
                    }
                }
                Act::Close { replica } => inner.slots[replica].close_idle(),
            }
        }
        inner.acts.wake
    }
}

async fn run(desk: Rc<Desk>) {
    let mut wake: Option<Tenths> = None;
    loop {
        match wake.filter(|_| desk.open.get() > 0) {
            Some(at) => {
                let _ = tokio::time::timeout_at(clock::at_tenths(at).into(), desk.notify.notified()).await;
            }
            None => desk.notify.notified().await,
        }
        // The module says when it is to be woken only if its last wish is past.
        let next = desk.round();
        wake = next.or(wake.filter(|at| *at > clock::tenths()));
    }
}

fn answer(lookups: &mut [Option<Open>], lookup: usize, make: impl FnOnce(&mut Open) -> Reply) {
    if let Some(Some(open)) = lookups.get_mut(lookup)
        && let Some(reply) = open.reply.take()
    {
        let _ = reply.send(make(open));
    }
}

/// The replica's answer as it came, or the greatest records of the parts that are in.
fn satisfied(open: &mut Open) -> Reply {
    if let Target::One(_) = open.planned.target {
        return match open.parts[0].answer.take() {
            Some(answer) => passed_on(answer),
            None => given_up(open, None),
        };
    }
    if open.parts.iter().all(|p| p.answer.is_none()) {
        return given_up(open, None);
    }
    let parts: SmallVec<[&Answer; 8]> = open.parts.iter().filter_map(|p| p.answer.as_ref()).collect();
    let mut headers = Vec::with_capacity(128 + parts.len() * 64);
    headers.extend_from_slice(b"X-Attempt-Id: ");
    headers.extend_from_slice(open.request.attempt.as_bytes());
    headers.extend_from_slice(b"\r\nX-Part-Seals: ");
    for (i, part) in parts.iter().enumerate() {
        if i > 0 {
            headers.extend_from_slice(b", ");
        }
        headers.extend_from_slice(part.head.header("x-replica-seal").unwrap_or_default().as_bytes());
    }
    headers.extend_from_slice(b"\r\nX-Missing-Parts: ");
    number(&mut headers, (open.parts.len() - parts.len()) as u64);
    headers.extend_from_slice(b"\r\n");
    let body = greatest(parts.iter().map(|p| p.body.as_slice()), open.planned.route.result_limit);
    Reply { status: 200, headers, body }
}

fn passed_on(answer: Answer) -> Reply {
    let mut headers = Vec::with_capacity(256);
    answer.head.pass_on(&mut headers, &[]);
    Reply { status: answer.head.status, headers, body: answer.body }
}

/// Given up: a promise only where nothing of it can have run, and when to come back.
fn given_up(open: &mut Open, after: Option<Tenths>) -> Reply {
    if let Some(failure) = open.failure.take() {
        return passed_on(failure);
    }
    let ran = open.parts.iter().any(|p| p.may_have_run > 0);
    let mut headers = Vec::new();
    if let Some(after) = after {
        let seconds = (after as f64 / 10_000.0).max(0.001);
        headers.extend_from_slice(format!("Retry-After: {seconds:.3}\r\n").as_bytes());
    }
    Reply { status: if ran { 502 } else { 503 }, headers, body: Vec::new() }
}
