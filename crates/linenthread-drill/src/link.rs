//! The link: both ends in one simulated run, through cuts, one-way loss, slowness, doubled frames, restarts
//! and drains, judged by a record of what truly ran.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use linenthread_core::interface::{AttemptOutcome, TenthMillis};
use linenthread_link::{Call, Far, FarDo, FarTerms, Frame, Near, NearDo, NearTerms, Secrets};
use oorandom::Rand64;

const MS: TenthMillis = 10;
/// Calls a schedule makes, and how long troubles go on.
const TROUBLES: TenthMillis = 3_000 * MS;
/// After the troubles the link must be whole again within so long.
const RECOVERY: TenthMillis = 4_000 * MS;
const END: TenthMillis = TROUBLES + RECOVERY + 3_000 * MS;
const MOST_OUT: usize = 64;
const MOST_WAITING: u64 = 1_000;
const WINDOW: u64 = 16;
const PRINTED: usize = 10;

#[derive(Clone, Debug)]
pub(crate) struct Drill {
    pub schedules: usize,
    pub seed: u64,
    pub no_resume: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Event {
    NearWake,
    FarWake,
    /// A connection that was asked for is there, or not to be had.
    Connected(u64, bool),
    /// The last byte of a frame is written; it arrives after that.
    Written(u64, Frame),
    ToFar(u64, Frame),
    ToNear(u64, Frame),
    /// An end learns that the connection is gone.
    NearLost(u64),
    FarLost(u64),
    Ran(u64, u64, u64, AttemptOutcome, String),
    Ask,
    Due(u64),
    Trouble,
}

struct Connection {
    /// Frames still get through, each way.
    to_far: bool,
    to_near: bool,
    /// Since when frames are lost, said to nobody.
    silent: Option<TenthMillis>,
    /// When the last frame of each way arrives: they keep their order.
    last: [TenthMillis; 2],
}

#[derive(Default, Debug)]
struct Record {
    ran: usize,
    ended: Option<AttemptOutcome>,
    made: TenthMillis,
    due: TenthMillis,
}

#[derive(Default)]
pub(crate) struct Counts {
    /// Connections given up for silence while frames got through, and how long it took where they did not.
    false_alarms: usize,
    detected: Vec<TenthMillis>,
    calls: usize,
    answered: usize,
    unsent: usize,
    may_have: usize,
    timed_out: usize,
}

struct Play {
    now: TenthMillis,
    chance: Rand64,
    events: BinaryHeap<Reverse<(TenthMillis, u64)>>,
    what: BTreeMap<u64, Event>,
    numbers: u64,
    near: Near,
    far: Far,
    /// How many times the far machine was started: endings of an earlier one count for nothing.
    life: u64,
    connections: BTreeMap<u64, Connection>,
    /// The one that the near side uses.
    current: Option<u64>,
    records: BTreeMap<u64, Record>,
    /// Calls by the near side's number.
    by_number: BTreeMap<u64, u64>,
    delay: TenthMillis,
    slow: f64,
    doubled: f64,
    seeds: u64,
    breach: Option<String>,
    false_alarms: usize,
    detected: Vec<TenthMillis>,
}

fn secrets() -> Secrets {
    Secrets::new(vec![b"a secret of the drill".to_vec()]).expect("long enough")
}

fn far(seed: u64, keep: TenthMillis) -> Far {
    let terms = FarTerms {
        name: "far".into(),
        window: WINDOW,
        window_bytes: 4_096,
        keep,
        most_sessions: 4,
        greeting: 500 * MS,
        silence: 900 * MS,
    };
    Far::new(terms, secrets(), seed)
}

impl Play {
    fn new(seed: u64, resume: bool) -> Play {
        let mut chance = Rand64::new(u128::from(seed));
        let terms = NearTerms {
            name: "near".into(),
            most_out: MOST_OUT,
            most_waiting: MOST_WAITING,
            keep: if resume { 1_500 * MS } else { 0 },
            beat: 100 * MS,
            hold: 300 * MS,
            back_off: (20 * MS, 400 * MS),
        };
        let (near_seed, far_seed) = (chance.rand_u64(), chance.rand_u64());
        let mut play = Play {
            now: 1_000 * MS,
            delay: 1 + chance.rand_range(0..300) as TenthMillis,
            slow: chance.rand_float() * 0.05,
            doubled: chance.rand_float() * 0.02,
            chance,
            events: BinaryHeap::new(),
            what: BTreeMap::new(),
            numbers: 0,
            near: Near::new(terms, secrets(), near_seed),
            far: far(far_seed, 2_000 * MS),
            life: 0,
            connections: BTreeMap::new(),
            current: None,
            records: BTreeMap::new(),
            by_number: BTreeMap::new(),
            seeds: far_seed,
            breach: None,
            false_alarms: 0,
            detected: Vec::new(),
        };
        play.schedule(0, Event::NearWake);
        play.schedule(0, Event::FarWake);
        play.schedule(0, Event::Ask);
        play.schedule(200 * MS, Event::Trouble);
        play
    }

    fn schedule(&mut self, after: TenthMillis, event: Event) {
        self.numbers += 1;
        self.events.push(Reverse((self.now + after, self.numbers)));
        self.what.insert(self.numbers, event);
    }

    fn below(&mut self, n: TenthMillis) -> TenthMillis {
        self.chance.rand_range(0..n.max(1) as u64) as TenthMillis
    }

    fn wrong(&mut self, why: String) {
        self.breach.get_or_insert(why);
    }

    /// How long a frame is on its way; now and then much longer.
    fn travel(&mut self) -> TenthMillis {
        let usual = self.delay + self.below(self.delay / 2 + 1);
        if self.chance.rand_float() < self.slow {
            usual + self.below(600 * MS)
        } else {
            usual
        }
    }

    fn send(&mut self, id: u64, way: usize, frame: Frame) {
        let travel = self.travel();
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let at = (self.now + travel).max(connection.last[way] + 1);
        connection.last[way] = at;
        let times = 1 + usize::from(self.chance.rand_float() < self.doubled);
        for _ in 0..times {
            let frame = frame.clone();
            let event = if way == 0 {
                Event::ToFar(id, frame)
            } else {
                Event::ToNear(id, frame)
            };
            self.schedule(at - self.now, event);
        }
    }

    fn near_does(&mut self, all: Vec<NearDo>) {
        for one in all {
            match one {
                NearDo::Connect => {
                    let id = self.numbers + 1;
                    let (after, there) = (1 + self.travel(), self.chance.rand_range(0..10) > 0);
                    self.schedule(after, Event::Connected(id, there));
                    self.current = Some(id);
                }
                NearDo::Close(why) => {
                    if let Some(id) = self.current.take() {
                        let silent = self.connections.get(&id).and_then(|c| c.silent);
                        match silent {
                            Some(since) => self.detected.push(self.now - since),
                            None if why == "nothing heard" => self.false_alarms += 1,
                            None => {}
                        }
                        let after = self.travel();
                        self.schedule(after, Event::FarLost(id));
                    }
                }
                NearDo::Send(frame) => {
                    // A frame is written a moment after it is given out; a cut may come between.
                    if let Some(id) = self.current {
                        let after = self.below(3);
                        let at = self.connections.get_mut(&id).map_or(self.now, |c| {
                            c.last[0] = c.last[0].max(self.now + after);
                            c.last[0]
                        });
                        self.schedule(at - self.now, Event::Written(id, frame));
                    }
                }
                NearDo::Ended {
                    number,
                    ending,
                    value,
                    ..
                } => self.ended(number, ending, &value),
                NearDo::Probed { .. } | NearDo::Members { .. } | NearDo::Up(_) => {}
            }
        }
        let at = self.near.wake_at();
        if at < TenthMillis::MAX {
            self.schedule((at - self.now).max(1), Event::NearWake);
        }
    }

    fn ended(&mut self, number: u64, ending: AttemptOutcome, value: &str) {
        let Some(id) = self.by_number.get(&number).copied() else {
            return;
        };
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        let twice = record.ended.replace(ending);
        let ran = record.ran;
        if let Some(first) = twice {
            self.wrong(format!(
                "call {id} ended as {first:?} and then as {ending:?}"
            ));
        }
        if ending == AttemptOutcome::Success && (ran != 1 || value != id.to_string()) {
            self.wrong(format!(
                "call {id} is answered with {value}, and ran {ran} times"
            ));
        }
    }

    fn far_does(&mut self, all: Vec<FarDo>) {
        for one in all {
            match one {
                FarDo::Send { connection, frame } => self.send(connection, 1, frame),
                FarDo::Close { connection, .. } => {
                    let after = self.travel();
                    self.schedule(after, Event::NearLost(connection));
                }
                FarDo::Start {
                    session,
                    number,
                    call,
                    ..
                } => {
                    let id: u64 = call.text.parse().unwrap_or_default();
                    let ending = match self.below(12) {
                        0 => AttemptOutcome::Rejected,
                        1 => AttemptOutcome::Error,
                        _ => AttemptOutcome::Success,
                    };
                    if !ending.never_ran()
                        && let Some(record) = self.records.get_mut(&id)
                    {
                        record.ran += 1;
                        if record.ran > 1 {
                            self.wrong(format!("call {id} ran twice"));
                        }
                    }
                    let after = 1 + self.below(60 * MS);
                    let life = self.life;
                    self.schedule(
                        after,
                        Event::Ran(life, session, number, ending, id.to_string()),
                    );
                }
                FarDo::Stop { .. } | FarDo::Probe { .. } => {}
            }
        }
        let at = self.far.wake_at();
        if at < TenthMillis::MAX {
            self.schedule((at - self.now).max(1), Event::FarWake);
        }
    }

    /// Cuts the connection: at once or one way first, said to both ends, to one, or to none.
    fn trouble(&mut self, begun: TenthMillis) {
        if self.now > begun + TROUBLES {
            (self.slow, self.doubled) = (0.0, 0.0);
            return;
        }
        let after = 20 * MS + self.below(700 * MS);
        self.schedule(after, Event::Trouble);
        let kind = self.below(7);
        let (near_hears, far_hears) = (self.below(50 * MS), self.below(50 * MS));
        if let Some(id) = self.current
            && let Some(connection) = self.connections.get_mut(&id)
        {
            match kind {
                0 | 1 => {
                    (connection.to_far, connection.to_near) = (false, false);
                    self.schedule(near_hears, Event::NearLost(id));
                    self.schedule(far_hears, Event::FarLost(id));
                }
                2..=4 => {
                    connection.to_far &= kind == 3;
                    connection.to_near &= kind == 2;
                    connection.silent.get_or_insert(self.now);
                }
                _ => {}
            }
        }
        if kind == 5 {
            // Another machine at the far end: nothing that the first knew is known there.
            self.seeds = self.seeds.wrapping_add(1);
            self.far = far(self.seeds, 2_000 * MS);
            self.life += 1;
            let open: Vec<u64> = self.connections.keys().copied().collect();
            for id in open {
                if let Some(connection) = self.connections.get_mut(&id) {
                    (connection.to_far, connection.to_near) = (false, false);
                }
                let after = self.below(30 * MS);
                self.schedule(after, Event::NearLost(id));
            }
        }
    }

    fn event(&mut self, event: Event, begun: TenthMillis) {
        let (now, mut near, mut far) = (self.now, Vec::new(), Vec::new());
        match event {
            Event::NearWake if self.near.wake_at() > now => return,
            Event::FarWake if self.far.wake_at() > now => return,
            Event::NearWake => self.near.wake(now, &mut near),
            Event::FarWake => self.far.wake(now, &mut far),
            Event::Connected(id, there) if self.current == Some(id) => {
                if there {
                    let new = Connection {
                        to_far: true,
                        to_near: true,
                        silent: None,
                        last: [now; 2],
                    };
                    self.connections.insert(id, new);
                    self.near.connected(now);
                    self.far.accepted(now, id, &mut far);
                } else {
                    self.current = None;
                    self.near.lost(now, &mut near);
                }
            }
            // What is not written when the near side has lost its connection never is.
            Event::Written(id, frame) if self.current == Some(id) => {
                if let Frame::Call { number, .. } = &frame {
                    self.near.written(*number);
                }
                self.send(id, 0, frame);
            }
            Event::ToFar(id, frame) if self.connections.get(&id).is_some_and(|c| c.to_far) => {
                self.far.received(now, id, frame, &mut far);
            }
            Event::ToNear(id, frame) => {
                let gets_through = self.connections.get(&id).is_some_and(|c| c.to_near);
                if self.current == Some(id) && gets_through {
                    self.near.received(now, frame, &mut near);
                }
            }
            Event::NearLost(id) if self.current == Some(id) => {
                self.current = None;
                self.near.lost(now, &mut near);
            }
            Event::FarLost(id) => {
                // Frames that were on their way before the end come before it.
                self.far.lost(now, id);
            }
            Event::Ran(life, session, number, ending, value) if life == self.life => {
                self.far
                    .ended(session, number, ending, None, value, &mut far);
            }
            Event::Ask if now < begun + END - 1_000 * MS => {
                let id = self.records.len() as u64;
                let due = now + 100 * MS + self.below(900 * MS);
                self.records.insert(
                    id,
                    Record {
                        made: now,
                        due,
                        ..Record::default()
                    },
                );
                let call = Call {
                    replica: "r".into(),
                    lookup: format!("l{id}"),
                    shard: 0,
                    round: 0,
                    text: id.to_string(),
                };
                // Its number is known before it can end.
                let mut does = Vec::new();
                let number = self.near.call(now, call, due, (id % 3) as u32, &mut does);
                self.by_number.insert(number, id);
                near.append(&mut does);
                self.schedule(due - now, Event::Due(number));
                let after = 1 + self.below(60 * MS);
                self.schedule(after, Event::Ask);
            }
            Event::Due(number) => {
                let id = self.by_number.get(&number).copied().unwrap_or_default();
                if let Some(record) = self.records.get_mut(&id).filter(|r| r.ended.is_none()) {
                    record.ended = Some(AttemptOutcome::TimedOut);
                    self.near.withdraw(number, &mut near);
                }
            }
            Event::Trouble => self.trouble(begun),
            _ => {}
        }
        self.near_does(near);
        self.far_does(far);
        if self.near.out() > MOST_OUT
            || self.near.waiting_bytes() > MOST_WAITING
            || self.far.held() as u64 > 4 * WINDOW
        {
            self.wrong("more is held than may be".into());
        }
    }

    fn run(mut self, counts: &mut Counts) -> Option<String> {
        let begun = self.now;
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > begun + END || self.breach.is_some() {
                break;
            }
            self.now = at;
            if let Some(event) = self.what.remove(&number) {
                self.event(event, begun);
            }
        }
        counts.false_alarms += self.false_alarms;
        counts.detected.append(&mut self.detected);
        if self.near.out() == 0 && self.near.waiting_bytes() > 0 {
            self.wrong("bytes are counted of calls that have ended".into());
        }
        let settled = begun + TROUBLES + RECOVERY;
        for (
            id,
            Record {
                ran,
                ended,
                made,
                due,
            },
        ) in &self.records
        {
            counts.calls += 1;
            let wrong = match ended {
                None => Some(format!("call {id} has not ended")),
                Some(ending) if ending.never_ran() && *ran > 0 => {
                    Some(format!("call {id} ended as {ending:?}, and ran"))
                }
                // Time enough for both ways, the queue before it and its own run.
                Some(
                    AttemptOutcome::NotSent
                    | AttemptOutcome::ConnectionLost
                    | AttemptOutcome::TimedOut,
                ) if *made > settled && due - made > 500 * MS => Some(format!(
                    "call {id} ended as {ended:?} with the link whole again"
                )),
                _ => None,
            };
            match ended {
                Some(AttemptOutcome::Success) => counts.answered += 1,
                Some(AttemptOutcome::TimedOut) => counts.timed_out += 1,
                Some(ending) if ending.never_ran() => counts.unsent += 1,
                _ => counts.may_have += 1,
            }
            if self.breach.is_none() {
                self.breach = wrong;
            }
        }
        self.breach
    }
}

impl Drill {
    pub(crate) fn run(&self) -> (usize, usize) {
        let (mut counts, mut breaches) = (Counts::default(), 0);
        for n in 0..self.schedules as u64 {
            let seed = self.seed.wrapping_add(n);
            if let Some(why) = Play::new(seed, !self.no_resume).run(&mut counts) {
                breaches += 1;
                if breaches <= PRINTED {
                    println!("breach: {why}");
                    let no_resume = if self.no_resume { " --no-resume" } else { "" };
                    println!(
                        "  again: linenthread-drill link --schedules 1 --seed {seed}{no_resume}"
                    );
                }
            }
        }
        let Counts {
            calls,
            answered,
            unsent,
            may_have,
            timed_out,
            false_alarms,
            mut detected,
        } = counts;
        detected.sort_unstable();
        let at = |share: f64| {
            detected
                .get((detected.len() as f64 * share) as usize)
                .map_or(0, |t| t / MS)
        };
        let share = |n: usize| 100.0 * n as f64 / calls.max(1) as f64;
        println!(
            "{calls} calls: {:.1}% answered, {:.1}% never ran, {:.1}% may have run, {:.1}% timed out",
            share(answered),
            share(unsent),
            share(may_have),
            share(timed_out)
        );
        println!(
            "{} silent links noticed after {} ms (median), {} ms (99%); {false_alarms} false alarms in {} schedules",
            detected.len(),
            at(0.5),
            at(0.99),
            self.schedules
        );
        (self.schedules, breaches)
    }
}
