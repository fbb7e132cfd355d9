//! One lookup's life, from its question to the moment nothing of it is out any more.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::{AttemptOutcome, AttemptResult, TenthMillis};
use linenthread_protocol::query::{Page, Query};
use linenthread_terms::ClusterConfig;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::carriers::call::{Asked, Ended};
use crate::carriers::{Carriers, PartOut};
use crate::clock;
use crate::desk::{Decision, Desk, HandedIn};
use crate::gather::{Gather, Gathering};

/// A lookup that runs out of time withdraws its parts about when they time out: either way their time is up.
const NEAR: Duration = Duration::from_millis(20);

/// What a client is answered.
#[derive(Debug, PartialEq)]
pub(crate) enum Answer {
    Satisfied(Vec<u8>),
    /// Asking again is harmless, after so many milliseconds where they are given.
    Nacked(Option<f64>),
    Aborted,
    /// A lookup of the same id is open.
    Open,
    /// The request can't be used.
    Bad(String),
}

/// What every lookup works with.
pub(crate) struct Work {
    pub desk: Desk,
    pub carriers: Carriers,
    pub surroundings: ClusterConfig,
    /// Part calls may be given up.
    pub withdraw: bool,
    pub gathering: Gathering,
    /// What a lookup of each index is worth, in thousandths.
    pub gains: Vec<u32>,
    /// The ids of open lookups, each kept by its [`OpenId`].
    pub open: RefCell<HashSet<String>>,
}

/// An id in use; dropping it gives the id back.
struct OpenId<'a> {
    work: &'a Work,
    id: &'a str,
}

impl<'a> OpenId<'a> {
    /// `None` where a lookup of this id is open: parts are told apart by it.
    fn take(work: &'a Work, id: &'a str) -> Option<Self> {
        let new = work.open.borrow_mut().insert(id.to_owned());
        new.then(|| OpenId { work, id })
    }
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.work.open.borrow_mut().remove(self.id);
    }
}

/// A part call that is out.
struct Out {
    sent: TenthMillis,
    due: Instant,
    replica: usize,
    /// How many times the part was asked on before.
    round: u32,
    at: Option<PartOut>,
}

/// The part calls of one lookup that are out, by part and number; each is given back once.
struct Calls<'a> {
    work: &'a Work,
    lookup: usize,
    out: BTreeMap<(usize, usize), Out>,
}

impl Calls<'_> {
    /// The one place where a part call ends. One that was still waited for is given up on its connection.
    fn end(&mut self, part: usize, call: usize, ending: AttemptOutcome, queue: Option<f64>) {
        let Some(out) = self.out.remove(&(part, call)) else {
            return;
        };
        let given_up = matches!(ending, AttemptOutcome::TimedOut | AttemptOutcome::Cancelled);
        if let (true, Some(at)) = (given_up && Instant::now() + NEAR >= out.due, &out.at) {
            at.timed_out();
        }
        let took = self.work.desk.clock().now() - out.sent;
        self.work.desk.saw(out.replica, ending, took);
        self.work.desk.give_back(AttemptResult {
            query: self.lookup,
            sub_request: part,
            attempt: call,
            outcome: ending,
            elapsed: took,
            queue_depth: queue,
        });
    }

    /// Makes part calls, by replica and time-out.
    fn send(
        &mut self,
        sends: &mut BTreeMap<(usize, TenthMillis), Vec<Asked>>,
        id: &str,
        to: &mpsc::UnboundedSender<Ended>,
    ) {
        let (now, sent) = (Instant::now(), self.work.desk.clock().now());
        for ((replica, time_out), parts) in std::mem::take(sends) {
            let wait = clock::span(time_out.max(1));
            let wait_ms = wait.as_micros().div_ceil(1000) as u64;
            for parts in parts.chunks(self.work.surroundings.max_sub_requests_per_call) {
                let at = self.work.carriers.call(replica, id, parts, wait_ms, to);
                for (
                    Asked {
                        part, call, round, ..
                    },
                    at,
                ) in parts.iter().zip(at)
                {
                    let out = Out {
                        sent,
                        due: now + wait,
                        replica,
                        round: *round,
                        at,
                    };
                    self.out.insert((*part, *call), out);
                }
            }
        }
    }

    fn due(&self) -> Option<Instant> {
        self.out.values().map(|out| out.due).min()
    }

    fn end_due(&mut self) {
        let now = Instant::now();
        let due: Vec<_> = self
            .out
            .iter()
            .filter(|(_, out)| out.due <= now)
            .map(|(at, _)| *at)
            .collect();
        for (part, call) in due {
            self.end(part, call, AttemptOutcome::TimedOut, None);
        }
    }
}

/// What a front has read, and held to what the deployment has.
pub(crate) struct Question {
    pub asked: Query,
    pub new: HandedIn,
    /// Which page, where its index is merged.
    pub page: Page,
}

/// A lookup from its question to its end. `client` takes the one answer; it closes where the client leaves.
pub(crate) async fn live(work: Rc<Work>, question: Question, client: oneshot::Sender<Answer>) {
    let Question { asked, new, page } = question;
    let merging = work.gathering.merging.borrow().clone();
    let (shards, oddities) = (work.surroundings.shard_count, &work.gathering.oddities);
    let mut gather = match Gather::begin(&merging, oddities, new.index, shards, &asked, page) {
        Ok(gather) => gather,
        Err(why) => return drop(client.send(Answer::Bad(why))),
    };
    let text: Rc<str> = asked.body.as_str().into();
    let gain = work.gains.get(new.index).copied().unwrap_or_default();
    let Some(_open) = OpenId::take(&work, &asked.id) else {
        return drop(client.send(Answer::Open));
    };
    let (lookup, mut decisions) = work.desk.hand_in(new);
    let mut client = Some(client);
    let mut made = vec![0; asked.sub_requests.len()];
    let mut calls = Calls {
        work: &work,
        lookup,
        out: BTreeMap::new(),
    };
    let (to_here, mut ended) = mpsc::unbounded_channel::<Ended>();
    loop {
        let due = calls.due();
        let first = tokio::select! {
            biased;
            decision = decisions.recv() => match decision {
                Some(decision) => decision,
                None => return, // released: over, and nothing is out
            },
            Some(Ended { part, call, ending, queue, value }) = ended.recv() => {
                if let Some(out) = calls.out.get(&(part, call)) {
                    let (replica, round) = (out.replica, out.round);
                    let of = || (work.desk.name(replica), asked.sub_requests[part].shard);
                    let ending = gather.take((part, round), ending, value, of);
                    calls.end(part, call, ending, queue);
                    let onward = gather.onward();
                    if !onward.is_empty() {
                        work.desk.ask_on(lookup, &onward);
                    }
                }
                continue;
            }
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                calls.end_due();
                continue;
            }
            () = closed(&mut client) => {
                client = None;
                work.desk.lapse(lookup);
                if work.withdraw {
                    let out: Vec<_> = calls.out.keys().copied().collect();
                    for (part, call) in out {
                        calls.end(part, call, AttemptOutcome::Cancelled, None);
                    }
                }
                continue;
            }
        };
        // What was decided on this lookup by now is all here. Calls in a row that go to one replica share a
        // frame; whatever else is decided takes effect after the calls before it.
        let mut sends = BTreeMap::new();
        let mut next = Some(first);
        while let Some(decision) = next {
            if !matches!(decision, Decision::Call { .. }) {
                calls.send(&mut sends, &asked.id, &to_here);
            }
            match decision {
                Decision::Call {
                    part,
                    replica,
                    time_out,
                } => {
                    let (shard, (round, text)) =
                        (asked.sub_requests[part].shard, gather.question(part, &text));
                    let one = Asked {
                        part,
                        call: made[part],
                        shard,
                        round,
                        text,
                        gain,
                    };
                    made[part] += 1;
                    sends
                        .entry((replica, time_out))
                        .or_insert_with(Vec::new)
                        .push(one);
                }
                Decision::Withdraw { part, call } => {
                    calls.end(part, call, AttemptOutcome::Cancelled, None);
                }
                Decision::Satisfy { whole } => {
                    answer(&mut client, Answer::Satisfied(gather.answer(whole, &asked)));
                }
                Decision::Nack { retry_after } => {
                    answer(
                        &mut client,
                        Answer::Nacked(retry_after.map(|t| t as f64 / 10.0)),
                    );
                }
                Decision::Abort => answer(&mut client, Answer::Aborted),
            }
            next = decisions.try_recv().ok();
        }
        calls.send(&mut sends, &asked.id, &to_here);
    }
}

/// Waits for the client to leave; for ever once it is answered.
async fn closed(client: &mut Option<oneshot::Sender<Answer>>) {
    match client {
        Some(client) => client.closed().await,
        None => std::future::pending().await,
    }
}

fn answer(client: &mut Option<oneshot::Sender<Answer>>, answer: Answer) {
    if let Some(client) = client.take() {
        client.send(answer).ok();
    }
}
