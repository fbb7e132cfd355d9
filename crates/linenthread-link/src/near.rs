//! The co-ordinator's side of a link.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | down | not up again within the hold | as down, and said to be; nothing is taken, what waits never ran |
//! | down | its time to try again has come | connecting |
//! | connecting | connected | greeting |
//! | greeting | challenge | hello is sent |
//! | greeting | welcome, session known | up; calls that came there wait on, the others never ran |
//! | greeting | welcome, session not known | up, as a new session; what was written whole may have run |
//! | up | nothing heard for too long, nonsense, or the connection ends | down; what was not written whole never ran |
//! | down | not up again within the keep | what was written whole may have run |
//! | up | goodbye | as up, with nothing new sent |
//!
//! Named rules: *ends-once*, a call leaves the table when it is ended, and only then; *never-ran-is-proven*,
//! endings that say so are given only to calls not written whole, or that the far side says never came.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use linenthread_core::interface::{AttemptOutcome, TenthMillis};
use linenthread_frames::{Nonce, Secrets};
use oorandom::Rand64;

use crate::frame::{Call, FAR, Frame, Member, NEAR, VERSION};
use crate::routes::Standing;

/// What a link keeps to. All times are tenths of a millisecond.
#[derive(Clone, Debug, PartialEq)]
pub struct NearTerms {
    pub name: String,
    /// Calls that wait for their outcome at the most; more are not sent.
    pub most_out: usize,
    /// Bytes of calls that wait to be sent at the most: a stalled link must not fill the memory.
    pub most_waiting: u64,
    /// How long a session outlives its connection: until then outcomes may still come.
    pub keep: TenthMillis,
    /// A ping is sent after so long without one.
    pub beat: TenthMillis,
    /// A call waits so long for credit, or for a link that has just been lost, at the most: what can't be sent
    /// soon is better sent elsewhere. A link that is back sooner was never down for those who use it.
    pub hold: TenthMillis,
    /// What is tried again is tried after so long, twice as long each time, up to so long; with chance.
    pub back_off: (TenthMillis, TenthMillis),
}

/// What is to be done for a link.
#[derive(Clone, Debug, PartialEq)]
pub enum NearDo {
    Connect,
    /// Close the connection that there is; no more is heard of it.
    Close(String),
    /// Write this frame. Of calls it must be told when the last byte is written.
    Send(Frame),
    /// A call has ended, once.
    Ended {
        number: u64,
        ending: AttemptOutcome,
        queue: Option<f64>,
        value: String,
    },
    Probed {
        number: u64,
        ending: AttemptOutcome,
        queue: Option<f64>,
    },
    /// What lies behind the link, all of it or what has changed.
    Members {
        whole: bool,
        members: Vec<Member>,
    },
    /// The link can be used from now on, or cannot.
    Up(bool),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Down {
        again: TenthMillis,
    },
    Connecting,
    /// Connected; until the welcome is here nothing else is sent.
    Greeting {
        since: TenthMillis,
    },
    Up {
        since: TenthMillis,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// Waits for credit, or for the link.
    Waiting,
    /// Given to the connection, not yet written whole.
    Sending,
    /// Written whole: it may run.
    Written,
    /// Written whole on a connection that is gone.
    Unsure,
}

struct Out {
    call: Option<Call>,
    way: Way,
    due: TenthMillis,
    /// Its number in the session, once it is given to a connection.
    sent: Option<u64>,
    gain: u32,
    /// Until then it may wait for credit.
    holds: TenthMillis,
}

impl Out {
    fn turn(&self, number: u64) -> (Reverse<u32>, u64) {
        (Reverse(self.gain), number)
    }
}

/// A smoothed time and its deviation.
#[derive(Clone, Copy, Default)]
struct Delay {
    mean: f64,
    deviation: f64,
}

impl Delay {
    fn add(&mut self, took: TenthMillis) {
        let took = took as f64;
        if self.mean == 0.0 {
            (self.mean, self.deviation) = (took, took / 2.0);
        } else {
            self.deviation += ((took - self.mean).abs() - self.deviation) / 4.0;
            self.mean += (took - self.mean) / 8.0;
        }
    }
}

pub struct Near {
    terms: NearTerms,
    secrets: Secrets,
    chance: Rand64,
    state: State,
    session: u64,
    /// The session's epoch at the far side, once it is known; 0 before.
    epoch: u64,
    /// Hellos said: one that comes late must not be taken for the newest.
    attempts: u64,
    nonce: Nonce,
    /// The far side's list as last told.
    revision: u64,
    /// The number of the last call that was given out, and of the last one given to a connection.
    numbers: u64,
    /// Numbers as the session counts them: each call gets one as it is first sent.
    last_sent: u64,
    sent_bytes: u64,
    out: BTreeMap<u64, Out>,
    /// Calls by their number in the session.
    by_sent: BTreeMap<u64, u64>,
    /// Numbers in the session that were withdrawn while the far side could not be told.
    given_up: BTreeSet<u64>,
    /// Calls that wait for credit, those of the most gain first.
    waiting: BTreeSet<(Reverse<u32>, u64)>,
    waiting_bytes: u64,
    credit: (u64, u64),
    draining: bool,
    /// What was last said of it, and since when that is no longer so.
    said_up: bool,
    down_since: Option<TenthMillis>,
    failures: u32,
    delay: Delay,
    heard: TenthMillis,
    pinged: TenthMillis,
    pings: BTreeMap<u64, TenthMillis>,
    probes: BTreeSet<u64>,
    /// When the session is given up.
    lost_since: Option<TenthMillis>,
}

impl Near {
    pub fn new(terms: NearTerms, secrets: Secrets, seed: u64) -> Near {
        let mut chance = Rand64::new(u128::from(seed));
        let session = chance.rand_u64();
        Near {
            terms,
            secrets,
            chance,
            state: State::Down { again: 0 },
            session,
            epoch: 0,
            attempts: 0,
            nonce: Nonce::default(),
            revision: 0,
            numbers: 0,
            last_sent: 0,
            sent_bytes: 0,
            out: BTreeMap::new(),
            by_sent: BTreeMap::new(),
            given_up: BTreeSet::new(),
            waiting: BTreeSet::new(),
            waiting_bytes: 0,
            credit: (0, 0),
            draining: false,
            said_up: false,
            down_since: None,
            failures: 0,
            delay: Delay::default(),
            heard: 0,
            pinged: 0,
            pings: BTreeMap::new(),
            probes: BTreeSet::new(),
            lost_since: None,
        }
    }

    /// Bytes of calls that wait to be sent.
    pub fn waiting_bytes(&self) -> u64 {
        self.waiting_bytes
    }

    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up { .. }) && !self.draining
    }

    /// Calls are taken: it is up, or was a moment ago.
    pub fn is_usable(&self) -> bool {
        self.said_up && !self.draining
    }

    fn say(&mut self, up: bool, to: &mut Vec<NearDo>) {
        self.down_since = None;
        if std::mem::replace(&mut self.said_up, up) != up {
            to.push(NearDo::Up(up));
        }
    }

    /// Calls that have not ended.
    pub fn out(&self) -> usize {
        self.out.len()
    }

    /// How long a frame takes one way, as far as is known.
    pub fn one_way(&self) -> TenthMillis {
        (self.delay.mean / 2.0) as TenthMillis
    }

    /// How the link stands, for the choice among several.
    pub fn standing(&self) -> Standing {
        let room = (self.credit.0.saturating_sub(self.last_sent) + self.by_sent.len() as u64)
            .min(self.terms.most_out as u64);
        // One that is to come back is taken where no other is up.
        let (one_way, room) = match self.is_up() {
            true => (self.one_way(), room),
            false => (self.one_way() + self.terms.hold, self.terms.most_out as u64),
        };
        Standing {
            up: self.is_usable(),
            one_way,
            out: self.out.len() as u64,
            room,
        }
    }

    /// After so long without a word the connection is taken for dead: two beats and what answers take.
    pub fn patience(&self) -> TenthMillis {
        2 * self.terms.beat + (self.delay.mean + 4.0 * self.delay.deviation) as TenthMillis
    }

    /// When it is to be woken.
    pub fn wake_at(&self) -> TenthMillis {
        let state = match self.state {
            State::Down { again } => again,
            State::Connecting => TenthMillis::MAX,
            State::Greeting { since } => since + self.patience(),
            State::Up { .. } => (self.pinged + self.terms.beat).min(self.heard + self.patience()),
        };
        let given_up = self
            .lost_since
            .map_or(TenthMillis::MAX, |since| since + self.terms.keep);
        let due = self
            .waiting
            .iter()
            .filter_map(|(_, n)| self.out.get(n))
            .map(|o| o.holds)
            .min();
        let down = self
            .down_since
            .map_or(TenthMillis::MAX, |since| since + self.terms.hold);
        state
            .min(given_up)
            .min(down)
            .min(due.unwrap_or(TenthMillis::MAX))
    }

    /// Takes a part call that must be answered by `due`; its number, by which it is ended. Where credit is short
    /// those of the most gain (in any unit) go first.
    pub fn call(
        &mut self,
        now: TenthMillis,
        call: Call,
        due: TenthMillis,
        gain: u32,
        to: &mut Vec<NearDo>,
    ) -> u64 {
        self.numbers += 1;
        let number = self.numbers;
        let full = self.out.len() >= self.terms.most_out
            || self.waiting_bytes + call.size() > self.terms.most_waiting;
        if full || !self.is_usable() {
            to.push(ended(number, AttemptOutcome::NotSent));
            return number;
        }
        let holds = due.min(now + self.terms.hold);
        self.waiting_bytes += call.size();
        let out = Out {
            call: Some(call),
            way: Way::Waiting,
            due,
            sent: None,
            gain,
            holds,
        };
        self.waiting.insert(out.turn(number));
        self.out.insert(number, out);
        self.send_waiting(now, to);
        number
    }

    /// A call is no longer waited for; nothing more is heard of it.
    pub fn withdraw(&mut self, number: u64, to: &mut Vec<NearDo>) {
        let Some(out) = self.out.remove(&number) else {
            return;
        };
        self.waiting.remove(&out.turn(number));
        self.waiting_bytes -= out.call.as_ref().map_or(0, Call::size);
        let Some(sent) = out.sent else { return };
        self.by_sent.remove(&sent);
        if matches!(self.state, State::Up { .. }) {
            to.push(NearDo::Send(Frame::Withdraw { number: sent }));
        } else if self.given_up.len() < self.terms.most_out {
            self.given_up.insert(sent);
        }
    }

    /// Asks how a replica behind the link fares; answered by [`NearDo::Probed`], or not at all.
    pub fn probe(&mut self, replica: String, to: &mut Vec<NearDo>) -> u64 {
        self.numbers += 1;
        if self.is_up() && self.probes.len() < self.terms.most_out {
            self.probes.insert(self.numbers);
            to.push(NearDo::Send(Frame::Probe {
                number: self.numbers,
                replica,
            }));
        } else {
            to.push(NearDo::Probed {
                number: self.numbers,
                ending: AttemptOutcome::NotSent,
                queue: None,
            });
        }
        self.numbers
    }

    pub fn connected(&mut self, now: TenthMillis) {
        (self.state, self.heard) = (State::Greeting { since: now }, now);
    }

    /// The last byte of a call's frame, by the number in the frame, is written.
    pub fn written(&mut self, sent: u64) {
        let number = self.by_sent.get(&sent);
        if let Some(out) = number
            .and_then(|n| self.out.get_mut(n))
            .filter(|o| o.way == Way::Sending)
        {
            out.way = Way::Written;
        }
    }

    /// The connection is gone, or could not be had.
    pub fn lost(&mut self, now: TenthMillis, to: &mut Vec<NearDo>) {
        if matches!(self.state, State::Down { .. }) {
            return;
        }
        let was_up = matches!(self.state, State::Up { .. });
        if let State::Up { since } = self.state
            && now - since > self.terms.back_off.1
        {
            // It held for a while: what comes now is a new failure.
            self.failures = 0;
        }
        let (least, most) = self.terms.back_off;
        let wait = (least << self.failures.min(16)).min(most).max(1);
        self.failures += 1;
        let wait = wait / 2 + (self.chance.rand_float() * wait as f64) as TenthMillis;
        self.state = State::Down { again: now + wait };
        self.draining = false;
        (self.delay.deviation, self.pings) =
            (self.delay.mean.max(self.delay.deviation), BTreeMap::new());
        for number in std::mem::take(&mut self.probes) {
            to.push(NearDo::Probed {
                number,
                ending: AttemptOutcome::ConnectionLost,
                queue: None,
            });
        }
        let mut gone = Vec::new();
        for (number, out) in &mut self.out {
            match out.way {
                Way::Waiting => {}
                Way::Sending => gone.push(*number),
                Way::Written | Way::Unsure => out.way = Way::Unsure,
            }
        }
        for number in gone {
            self.end(number, AttemptOutcome::NotSent, None, String::new(), to);
        }
        if was_up {
            self.down_since = Some(now);
        }
        if self.epoch != 0 {
            self.lost_since.get_or_insert(now);
        }
    }

    /// Time has come on.
    pub fn wake(&mut self, now: TenthMillis, to: &mut Vec<NearDo>) {
        if self
            .lost_since
            .is_some_and(|since| now >= since + self.terms.keep)
        {
            if matches!(self.state, State::Greeting { .. }) {
                // The hello that is out names the session that is given up.
                self.break_off(
                    now,
                    "the session has been without a connection for too long".into(),
                    to,
                );
            }
            self.begin_anew(to);
            self.session = self.chance.rand_u64();
        }
        if self
            .down_since
            .is_some_and(|since| now >= since + self.terms.hold)
        {
            self.say(false, to);
        }
        let late = |n: &u64| self.out.get(n).is_none_or(|out| out.holds <= now);
        let late: Vec<u64> = self.waiting.iter().map(|(_, n)| *n).filter(late).collect();
        for number in late {
            self.end(number, AttemptOutcome::NotSent, None, String::new(), to);
        }
        match self.state {
            State::Down { again } if again <= now => {
                self.state = State::Connecting;
                to.push(NearDo::Connect);
            }
            State::Greeting { since } if now >= since + self.patience() => {
                to.push(NearDo::Close("no welcome in time".into()));
                self.lost(now, to);
            }
            State::Up { .. } if now >= self.heard + self.patience() => {
                to.push(NearDo::Close("nothing heard".into()));
                self.lost(now, to);
            }
            State::Up { .. } if now >= self.pinged + self.terms.beat => {
                self.numbers += 1;
                self.pinged = now;
                self.pings.insert(self.numbers, now);
                if self.pings.len() > 16 {
                    self.pings.pop_first();
                }
                to.push(NearDo::Send(Frame::Ping {
                    number: self.numbers,
                }));
            }
            _ => {}
        }
    }

    /// A frame came.
    pub fn received(&mut self, now: TenthMillis, frame: Frame, to: &mut Vec<NearDo>) {
        self.heard = now;
        match (self.state, frame) {
            (
                State::Greeting { .. },
                Frame::Challenge {
                    least, most, nonce, ..
                },
            ) => {
                if !(least..=most).contains(&VERSION) {
                    return self.break_off(
                        now,
                        format!("it speaks {least} to {most}, not {VERSION}"),
                        to,
                    );
                }
                self.nonce
                    .iter_mut()
                    .for_each(|b| *b = self.chance.rand_u64() as u8);
                self.attempts += 1;
                let mut hello = Frame::Hello {
                    version: VERSION,
                    name: self.terms.name.clone(),
                    nonce: self.nonce,
                    session: self.session,
                    attempt: self.attempts,
                    epoch: self.epoch,
                    proof: [0; 32],
                };
                let proven = self.secrets.prove(0, NEAR, &nonce, &hello.said());
                if let Frame::Hello { proof, .. } = &mut hello {
                    *proof = proven;
                }
                to.push(NearDo::Send(hello));
            }
            (State::Greeting { since }, welcome @ Frame::Welcome { .. }) => {
                self.welcome(now, since, &welcome, to);
            }
            (_, Frame::Refuse { why }) => self.break_off(now, format!("refused: {why}"), to),
            (
                State::Up { .. },
                Frame::Outcome {
                    number,
                    ending,
                    queue,
                    value,
                },
            ) => {
                to.push(NearDo::Send(Frame::Ack {
                    numbers: vec![number],
                }));
                // It is of use: what goes wrong next is a new failure.
                self.failures = 0;
                if let Some(known) = self.by_sent.get(&number).copied() {
                    self.end(known, ending, queue, value, to);
                }
            }
            (State::Up { .. }, Frame::Credit { number, bytes }) => {
                self.credit = (self.credit.0.max(number), self.credit.1.max(bytes));
                self.send_waiting(now, to);
            }
            (State::Up { .. }, Frame::Pong { number }) => {
                if let Some(at) = self.pings.remove(&number) {
                    self.delay.add((now - at).max(1));
                }
            }
            (State::Up { .. }, Frame::Ping { number }) => {
                to.push(NearDo::Send(Frame::Pong { number }));
            }
            (
                State::Up { .. },
                Frame::Members {
                    revision,
                    whole,
                    members,
                },
            ) => {
                if !whole && revision <= self.revision {
                    return; // Told a second time.
                }
                if !whole && revision != self.revision + 1 {
                    // Something was left out: the whole list comes with the next connection.
                    return self.break_off(now, "a change of its list is missing".into(), to);
                }
                self.revision = revision;
                to.push(NearDo::Members { whole, members });
            }
            (
                State::Up { .. },
                Frame::Probed {
                    number,
                    ending,
                    queue,
                },
            ) => {
                if self.probes.remove(&number) {
                    to.push(NearDo::Probed {
                        number,
                        ending,
                        queue,
                    });
                }
            }
            (State::Up { .. }, Frame::Goodbye) => {
                self.draining = true;
                self.say(false, to);
            }
            (State::Down { .. } | State::Connecting, _) => {}
            _ => self.break_off(now, "a frame that has no place here".into(), to),
        }
    }

    fn break_off(&mut self, now: TenthMillis, why: String, to: &mut Vec<NearDo>) {
        to.push(NearDo::Close(why));
        self.lost(now, to);
    }

    fn welcome(
        &mut self,
        now: TenthMillis,
        since: TenthMillis,
        welcome: &Frame,
        to: &mut Vec<NearDo>,
    ) {
        let Frame::Welcome {
            epoch,
            resumed,
            received,
            bytes,
            proof,
        } = welcome
        else {
            return;
        };
        if self
            .secrets
            .proven_by(FAR, &self.nonce, &welcome.said(), proof)
            .is_none()
        {
            return self.break_off(now, "it does not prove that it knows the secret".into(), to);
        }
        let resumed = *resumed && *epoch == self.epoch && *received <= self.last_sent;
        if !resumed {
            // Another process, or one that gave the session up: nothing that was written can be proven.
            self.begin_anew(to);
        }
        (self.epoch, self.state, self.lost_since) = (*epoch, State::Up { since: now }, None);
        (self.pinged, self.draining) = (now - self.terms.beat, false);
        self.delay.add((now - since).max(1));
        if resumed {
            // What the far side has not got by now it never gets: the old connection is closed there.
            let never: Vec<u64> = self
                .by_sent
                .range(received + 1..)
                .map(|(_, number)| *number)
                .collect();
            for number in never {
                self.end(number, AttemptOutcome::NotSent, None, String::new(), to);
            }
            self.out
                .values_mut()
                .filter(|o| o.way == Way::Unsure)
                .for_each(|o| o.way = Way::Written);
            (self.last_sent, self.sent_bytes) = (*received, *bytes);
            let given_up = std::mem::take(&mut self.given_up)
                .into_iter()
                .filter(|sent| sent <= received);
            to.extend(given_up.map(|number| NearDo::Send(Frame::Withdraw { number })));
        }
        self.say(true, to);
        self.send_waiting(now, to);
    }

    /// Gives the session up: what may have run is said to, and all is counted from 0.
    fn begin_anew(&mut self, to: &mut Vec<NearDo>) {
        // What still waits was never sent, and goes with the next.
        let all = self.out.iter().filter(|(_, out)| out.way != Way::Waiting);
        let all: Vec<u64> = all.map(|(number, _)| *number).collect();
        for number in all {
            let written = matches!(self.out[&number].way, Way::Written | Way::Unsure);
            let ending = if written {
                AttemptOutcome::ConnectionLost
            } else {
                AttemptOutcome::NotSent
            };
            self.end(number, ending, None, String::new(), to);
        }
        (self.epoch, self.lost_since) = (0, None);
        (self.last_sent, self.sent_bytes, self.credit) = (0, 0, (0, 0));
        self.by_sent.clear();
        self.given_up.clear();
    }

    /// The one place where a call ends.
    fn end(
        &mut self,
        number: u64,
        ending: AttemptOutcome,
        queue: Option<f64>,
        value: String,
        to: &mut Vec<NearDo>,
    ) {
        if let Some(out) = self.out.remove(&number) {
            self.waiting.remove(&out.turn(number));
            self.waiting_bytes -= out.call.as_ref().map_or(0, Call::size);
            out.sent.map(|sent| self.by_sent.remove(&sent));
            to.push(NearDo::Ended {
                number,
                ending,
                queue,
                value,
            });
        }
    }

    /// Sends what credit allows, in the order it came; what would come too late is not sent at all.
    fn send_waiting(&mut self, now: TenthMillis, to: &mut Vec<NearDo>) {
        while let (true, Some(turn)) = (self.is_up(), self.waiting.first().copied()) {
            let number = turn.1;
            let one_way = self.one_way();
            let Some(out) = self.out.get_mut(&number) else {
                self.waiting.remove(&turn);
                continue;
            };
            let remaining = out.due - now - one_way;
            if remaining <= 0 {
                self.end(number, AttemptOutcome::NotSent, None, String::new(), to);
                continue;
            }
            let size = out.call.as_ref().map_or(0, Call::size);
            if self.last_sent >= self.credit.0 || self.sent_bytes + size > self.credit.1 {
                return;
            }
            let Some(call) = out.call.take() else { return };
            self.waiting_bytes -= size;
            self.last_sent += 1;
            self.sent_bytes += size;
            (out.way, out.sent) = (Way::Sending, Some(self.last_sent));
            self.waiting.remove(&turn);
            self.by_sent.insert(self.last_sent, number);
            let remaining_ms = (remaining as u64).div_ceil(10).min(u64::from(u32::MAX)) as u32;
            to.push(NearDo::Send(Frame::Call {
                number: self.last_sent,
                remaining_ms,
                call,
            }));
        }
    }
}

fn ended(number: u64, ending: AttemptOutcome) -> NearDo {
    NearDo::Ended {
        number,
        ending,
        queue: None,
        value: String::new(),
    }
}
