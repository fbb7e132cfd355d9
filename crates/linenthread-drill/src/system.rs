//! The system's control in simulated time: hubs with disks that forget what was not synced, links that lose,
//! delay and hang, fronts that ask for shares, operators that race; judged by what was acknowledged and what
//! each had in hand.
//!
//! Rules judged: *one-value-a-number*, *acked-lasts* (each acknowledged configuration is in the chain),
//! *one-a-base* (no two acknowledged on top of the same), *reads-are-newest*, *nothing-goes-back*,
//! *drains-are-known* (more than half of the counted know of an acknowledged drain),
//! *one-holder-an-epoch* (at no moment two hold the duty, and no epoch is held by two lives),
//! *shares-within-the-whole*, *all-comes-back* (after the troubles a change is acknowledged, read back, and
//! in force at every front).

use std::collections::{BTreeMap, BTreeSet};

use linenthread_consensus::{DurableState, document_digest, genesis_id};
use linenthread_control::{Answer, Beat, Control, Effect, Local};
use linenthread_messages::{Heartbeat, Hello, PeerMessage, Record, VERSION, Value, Voter};
use oorandom::Rand64;

const WHOLE: f64 = 50.0;
const WINDOW: u64 = 4_000;
const DAY: u64 = 40_000;
const SETTLE: u64 = 25_000;
const FRONTS: usize = 4;

#[derive(Clone, Debug)]
pub struct Drill {
    pub schedules: usize,
    pub seed: u64,
    pub core: usize,
    pub told: bool,
}

#[derive(Clone)]
enum Event {
    Opened {
        to: usize,
        life: u64,
        link: u64,
    },
    PeerMessage {
        to: usize,
        life: u64,
        link: u64,
        word: PeerMessage,
    },
    Closed {
        to: usize,
        life: u64,
        link: u64,
    },
    Unreached {
        to: usize,
        life: u64,
        address: String,
    },
    Synced {
        to: usize,
        life: u64,
        upto: usize,
        then: Vec<(u64, PeerMessage)>,
    },
    Start {
        node: usize,
    },
    Front {
        front: usize,
    },
    Operator {
        operator: usize,
    },
    Replica,
    Trouble,
    Heal {
        a: usize,
        b: usize,
    },
    Disk {
        node: usize,
    },
    /// Right after it acknowledged something its disk is lost; another may end as well, with its disk.
    Wipe {
        node: usize,
    },
}

struct Node {
    address: String,
    control: Option<Control>,
    life: u64,
    /// What a loss of power leaves, and what was written since.
    disk: Vec<Record>,
    unsynced: Vec<Record>,
    synced: usize,
    initial: bool,
    began: u64,
    removed: bool,
    frozen: u64,
    sync_ms: u64,
    /// Its steady clock: where it began, and by how many parts of a million it runs ahead.
    clock: (u64, i64),
    /// Lost, or had lost its disk, until then.
    lost_until: u64,
    wiped_until: u64,
    seen: u64,
}

struct Wire {
    ends: [(usize, u64); 2],
    /// Words on their way in each direction arrive in order.
    last: [u64; 2],
    stuck: bool,
}

struct Front {
    life: u64,
    link: Option<u64>,
    hub: usize,
    log: u64,
    place: u64,
    asked: u64,
    said: BTreeMap<u64, u64>,
    share: f64,
    until: u64,
    /// Shares held of late: how much, until when.
    held: Vec<(f64, u64)>,
    revision: u64,
    confirmed: bool,
    heard: u64,
    outside: u32,
    epoch: u64,
}

#[derive(Clone)]
struct Change {
    base: u64,
    revision: u64,
    document: Vec<u8>,
}

enum Call {
    Replace(usize, Change),
    Read { operator: usize, floor: u64 },
    Drain(String),
    Beat,
}

struct Operator {
    current: u64,
    change: Option<Change>,
    waits: Option<(u64, u64)>,
}

struct World {
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    order: u64,
    chance: Rand64,
    nodes: Vec<Node>,
    genesis: Value,
    bootstrap: Vec<String>,
    wires: BTreeMap<u64, Wire>,
    next: u64,
    cuts: BTreeSet<(usize, usize)>,
    fronts: Vec<Front>,
    /// Shares of lives that have ended, life by life.
    past: Vec<Vec<(f64, u64)>>,
    operators: Vec<Operator>,
    calls: BTreeMap<u64, (usize, u64, Call)>,
    values: BTreeMap<u64, Value>,
    /// Which life held the duty under which epoch.
    holders: BTreeMap<u64, u64>,
    acked: BTreeMap<u64, Change>,
    counts: BTreeMap<String, u64>,
    draining: BTreeSet<String>,
    calm: bool,
    breaches: Vec<String>,
    acks: usize,
    reads: usize,
    drains: usize,
    budget: usize,
    /// What a sync takes on a disk in no trouble.
    sync_ms: u64,
}

fn hub_of_front(front: usize) -> usize {
    1_000 + front
}

impl World {
    fn new(core: usize, seed: u64) -> World {
        let address = |n: usize| format!("10.0.0.{}:80", n + 1);
        let bootstrap: Vec<String> = (0..core.min(3)).map(address).collect();
        let voters = bootstrap.iter().map(|a| Voter { id: genesis_id(a), address: a.clone() }).collect();
        let mut world = World {
            now: 1_000_000,
            events: BTreeMap::new(),
            order: 0,
            chance: Rand64::new(u128::from(seed)),
            nodes: Vec::new(),
            genesis: Value { voters, ..Value::default() },
            bootstrap,
            wires: BTreeMap::new(),
            next: 0,
            cuts: BTreeSet::new(),
            fronts: Vec::new(),
            past: Vec::new(),
            operators: Vec::new(),
            calls: BTreeMap::new(),
            values: BTreeMap::new(),
            holders: BTreeMap::new(),
            acked: BTreeMap::new(),
            counts: BTreeMap::new(),
            draining: BTreeSet::new(),
            calm: false,
            breaches: Vec::new(),
            acks: 0,
            reads: 0,
            drains: 0,
            budget: (core - 1) / 2,
            sync_ms: 2,
        };
        // On some days all disks are slow, and a loss of power finds much that is not synced.
        if world.up_to(4) == 0 {
            world.sync_ms = 20 + world.up_to(100);
        }
        for n in 0..core {
            world.add_node(address(n), true);
            let at = world.now + world.up_to(300);
            world.push(at, Event::Start { node: n });
        }
        for f in 0..FRONTS {
            let life = world.chance.rand_u64();
            world.fronts.push(Front::new(life));
            let at = world.now + 500 + world.up_to(500);
            world.push(at, Event::Front { front: f });
        }
        for o in 0..2 {
            world.operators.push(Operator { current: 0, change: None, waits: None });
            let at = world.now + 1_500 + world.up_to(2_000);
            world.push(at, Event::Operator { operator: o });
        }
        world.push(world.now + 2_000, Event::Replica);
        world.push(world.now + 3_000, Event::Trouble);
        world
    }

    fn add_node(&mut self, address: String, initial: bool) {
        let clock = (self.up_to(1 << 40), self.up_to(401) as i64 - 200);
        self.nodes.push(Node {
            clock,
            address,
            control: None,
            life: 0,
            disk: Vec::new(),
            unsynced: Vec::new(),
            synced: 0,
            initial,
            began: 0,
            removed: false,
            frozen: 0,
            sync_ms: self.sync_ms,
            lost_until: 0,
            wiped_until: 0,
            seen: 0,
        });
    }

    fn up_to(&mut self, n: u64) -> u64 {
        self.chance.rand_range(0..n.max(1))
    }

    /// What a machine's own steady clock shows: no two agree, and none runs true.
    fn clock(&self, n: usize) -> u64 {
        let (offset, ahead) = self.nodes[n].clock;
        (offset + self.now).saturating_add_signed((self.now - 1_000_000) as i64 * ahead / 1_000_000)
    }

    fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    fn breach(&mut self, what: String) {
        if self.breaches.len() < 5 {
            self.breaches.push(format!("at {} ms: {what}", self.now - 1_000_000));
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains(&(a, b))
    }

    fn delay(&mut self) -> u64 {
        match self.up_to(50) {
            0 if !self.calm => 30 + self.up_to(300),
            _ => 1 + self.up_to(3),
        }
    }

    fn start(&mut self, n: usize) {
        if self.nodes[n].removed || self.nodes[n].control.is_some() {
            return;
        }
        let (life, clock) = (self.chance.rand_u64() | 1, self.clock(n));
        let mut kept = DurableState::default();
        self.nodes[n].disk.iter().for_each(|r| kept.add(r.clone()));
        let node = &self.nodes[n];
        let own = node.address.clone();
        let first = kept.id.is_none() && node.initial && self.bootstrap.contains(&own);
        let id = kept.id.unwrap_or(if first { genesis_id(&own) } else { life });
        let genesis = node.initial.then(|| self.genesis.clone());
        let local = Local {
            name: format!("hub-{n}"),
            zone: format!("z{}", n % 3),
            life,
            control: own,
            counts: true,
            least: 2 * self.budget + 1,
            heartbeat: 1_000,
            bootstrap: self.bootstrap.clone(),
            first_of_all: node.initial && kept.id.is_none(),
            retry_allowance: WHOLE,
            retry_window: WINDOW,
        };
        let empty = kept.id.is_none();
        let control = Control::new(local, id, kept, genesis.clone(), clock);
        let node = &mut self.nodes[n];
        (node.control, node.life, node.seen, node.frozen) = (Some(control), life, 0, 0);
        node.began = self.now;
        node.initial = false;
        if empty {
            node.unsynced.push(Record { id: Some(id), decided: genesis, ..Record::default() });
            let upto = node.synced + node.unsynced.len();
            let at = self.now + self.nodes[n].sync_ms;
            self.push(at, Event::Synced { to: n, life, upto, then: Vec::new() });
        }
    }

    /// The process ends; what was not synced is there or not, from the front on.
    fn crash(&mut self, n: usize, back_in: Option<u64>) {
        let kept = self.up_to(self.nodes[n].unsynced.len() as u64 + 1) as usize;
        let node = &mut self.nodes[n];
        let rest: Vec<Record> = node.unsynced.drain(..).take(kept).collect();
        node.synced += rest.len();
        node.disk.extend(rest);
        node.control = None;
        node.life = 0;
        let links: Vec<u64> =
            self.wires.iter().filter(|(_, w)| w.ends.iter().any(|e| e.0 == n)).map(|(l, _)| *l).collect();
        for link in links {
            self.end_link(link, n);
        }
        self.calls.retain(|_, call| call.0 != n);
        if let Some(wait) = back_in {
            let until = self.now + wait + 4_000;
            self.nodes[n].lost_until = self.nodes[n].lost_until.max(until);
            self.push(self.now + wait, Event::Start { node: n });
        }
    }

    /// One side is through with a link: the other learns of it, unless it is cut off.
    fn end_link(&mut self, link: u64, by: usize) {
        let Some(wire) = self.wires.remove(&link) else { return };
        let other = if wire.ends[0].0 == by { wire.ends[1] } else { wire.ends[0] };
        if !self.is_cut(by, other.0) && !wire.stuck {
            let at = self.now + self.delay();
            self.push(at, Event::Closed { to: other.0, life: other.1, link });
        }
    }

    fn send(&mut self, from: usize, link: u64, word: PeerMessage) {
        let delay = self.delay();
        let now = self.now;
        let cut = |w: &World, to: usize| w.is_cut(from, to);
        let Some(wire) = self.wires.get(&link) else { return };
        let side = usize::from(wire.ends[0].0 != from);
        let to = wire.ends[1 - side];
        let lost = cut(self, to.0);
        let wire = self.wires.get_mut(&link).expect("is there");
        wire.stuck |= lost;
        if wire.stuck {
            return;
        }
        let at = wire.last[side].max(now + delay);
        wire.last[side] = at;
        self.push(at, Event::PeerMessage { to: to.0, life: to.1, link, word });
    }

    fn open(&mut self, from: usize, life: u64, to: usize, to_life: u64) -> u64 {
        self.next += 1;
        let link = self.next;
        let ends = [(from, life), (to, to_life)];
        self.wires.insert(link, Wire { ends, last: [self.now, self.now], stuck: false });
        link
    }

    /// Runs something at a hub and carries out what it says.
    fn at(&mut self, n: usize, run: impl FnOnce(&mut Control, u64, &mut Vec<Effect>)) {
        let (now, clock) = (self.now, self.clock(n));
        let mut out = Vec::new();
        let Some(control) = self.nodes[n].control.as_mut() else { return };
        run(control, clock, &mut out);
        if let Some(decided) = control.register().decided().cloned() {
            let seen = self.nodes[n].seen;
            if decided.number < seen {
                self.breach(format!("nothing-goes-back: hub {n} had {seen}, now {}", decided.number));
            }
            self.nodes[n].seen = decided.number;
            match self.values.get(&decided.number) {
                Some(other) if *other != decided => {
                    let number = decided.number;
                    self.breach(format!("one-value-a-number: two values of number {number}, at hub {n}"));
                }
                Some(_) => {}
                None => drop(self.values.insert(decided.number, decided)),
            }
        }
        let life = self.nodes[n].life;
        self.judge_holders();
        for o in out {
            match o {
                Effect::Send { link, word } => self.send(n, link, word),
                Effect::Keep { record, then } => {
                    let node = &mut self.nodes[n];
                    node.unsynced.push(record);
                    let upto = node.synced + node.unsynced.len();
                    let (ms, jitter) = (node.sync_ms, self.up_to(4));
                    self.push(now + ms + jitter, Event::Synced { to: n, life, upto, then });
                }
                Effect::Answer { token, answer } => self.answered(n, token, answer),
                Effect::Dial(address) => {
                    let to = self.nodes.iter().position(|o| o.address == address && !o.removed);
                    let up = to.filter(|&t| {
                        self.nodes[t].control.is_some() && !self.is_cut(n, t) && !self.is_cut(t, n)
                    });
                    match up {
                        Some(t) => {
                            let (to_life, delay) = (self.nodes[t].life, self.delay());
                            let link = self.open(n, life, t, to_life);
                            self.push(now + delay, Event::Opened { to: n, life, link });
                            self.push(now + delay, Event::Opened { to: t, life: to_life, link });
                        }
                        None => {
                            let wait = if to.is_some() { 700 } else { 5 };
                            self.push(now + wait, Event::Unreached { to: n, life, address });
                        }
                    }
                }
                Effect::Drop(link) => self.end_link(link, n),
                Effect::Note(_) => {}
            }
        }
    }

    /// At no moment two machines hold the duty, and an epoch belongs to one life.
    fn judge_holders(&mut self) {
        let held = |n: usize| self.nodes[n].control.as_ref()?.holds_lease(self.clock(n));
        let holders: Vec<(usize, u64)> =
            (0..self.nodes.len()).filter_map(|n| held(n).map(|e| (n, e))).collect();
        if holders.len() > 1 {
            self.breach(format!("one-holder-an-epoch: hubs and their epochs {holders:?} at once"));
        }
        for (n, epoch) in holders {
            let life = self.nodes[n].life;
            if *self.holders.entry(epoch).or_insert(life) != life {
                self.breach(format!("one-holder-an-epoch: {epoch} is held by a second life, of hub {n}"));
            }
        }
    }

    fn call(&mut self, n: usize, call: Call) -> Option<u64> {
        self.nodes[n].control.as_ref()?;
        self.next += 1;
        let token = self.next;
        self.calls.insert(token, (n, self.now, call));
        Some(token)
    }

    fn answered(&mut self, n: usize, token: u64, answer: Answer) {
        let Some((_, _, call)) = self.calls.remove(&token) else { return };
        match (call, answer) {
            (Call::Replace(o, change), Answer::Taken(_)) => {
                self.acks += 1;
                let twin =
                    self.acked.values().find(|c| c.base == change.base && c.revision != change.revision);
                if let Some(twin) = twin.cloned() {
                    let (base, one, other) = (change.base, twin.revision, change.revision);
                    self.breach(format!(
                        "one-a-base: {one} and {other} are both acknowledged on top of {base}"
                    ));
                }
                self.operators[o].current = change.revision;
                (self.operators[o].change, self.operators[o].waits) = (None, None);
                self.acked.insert(change.revision, change);
                if !self.calm && self.up_to(12) == 0 {
                    self.push(self.now + 1, Event::Wipe { node: n });
                }
            }
            (Call::Replace(o, _), Answer::Conflict(revision)) => {
                self.operators[o].current = revision;
                (self.operators[o].change, self.operators[o].waits) = (None, None);
            }
            (Call::Replace(o, _), _) => self.operators[o].waits = None,
            (Call::Read { operator, floor }, Answer::Document(value)) => {
                self.reads += 1;
                if value.revision < floor {
                    self.breach(format!(
                        "reads-are-newest: {} was read, {floor} was acknowledged",
                        value.revision
                    ));
                }
                let sent = self.acked.get(&value.revision);
                if sent.is_some_and(|c| c.document != value.document) {
                    self.breach(format!("acked-lasts: {} reads back as another", value.revision));
                }
                self.operators[operator].current = value.revision;
            }
            (Call::Drain(ident), Answer::Heard(_)) => {
                self.drains += 1;
                let voters = self.nodes[n].control.as_ref().map_or(0, |c| c.register().voters().len());
                let voters_of = self.nodes[n].control.as_ref().map(|c| c.register().voters().to_vec());
                let knows = |v: &Voter| {
                    self.nodes.iter().filter_map(|o| o.control.as_ref()).any(|c| {
                        let told = c.registry().get(&ident).map(|k| &k.told);
                        c.register().id() == v.id && told.is_some_and(|t| t.draining || t.ended)
                    })
                };
                // One that knew and died since, even if it is back, counts as knowing.
                let known = voters_of.iter().flatten().filter(|v| knows(v)).count();
                let old = |o: &Node| o.began + 1_500 < self.now;
                let is = |o: &Node, v: &Voter| o.control.as_ref().is_some_and(|c| c.register().id() == v.id);
                let lasts = |v: &&Voter| !self.nodes.iter().any(|o| is(o, v) && old(o));
                let down = voters_of.iter().flatten().filter(lasts);
                if (known + down.count()) * 2 <= voters {
                    self.breach(format!("drains-are-known: {known} of {voters} know of {ident}"));
                }
            }
            _ => {}
        }
    }

    // --- fronts ---

    fn front(&mut self, f: usize) {
        let me = hub_of_front(f);
        let now = self.now;
        let again = now + 500;
        self.push(again, Event::Front { front: f });
        self.count_shares();
        if let Some(link) = self.fronts[f].link {
            let silent = now > self.fronts[f].heard + 1_600 || self.fronts[f].outside >= 2;
            if silent || !self.wires.contains_key(&link) {
                self.end_link(link, me);
                self.fronts[f].link = None;
            }
        }
        match self.fronts[f].link {
            Some(link) => {
                let front = &mut self.fronts[f];
                front.asked += 1;
                front.said.insert(front.asked, now);
                let tick = Heartbeat { asked: front.asked, revision: front.revision, ..Heartbeat::default() };
                self.send(me, link, PeerMessage::Heartbeat(tick));
            }
            None => {
                let n = self.up_to(self.nodes.len() as u64) as usize;
                let cut = self.is_cut(me, n) || self.is_cut(n, me);
                if self.nodes[n].control.is_none() || cut || self.nodes[n].removed {
                    return;
                }
                let (life, to_life) = (self.fronts[f].life, self.nodes[n].life);
                let link = self.open(me, life, n, to_life);
                let front = &mut self.fronts[f];
                (front.link, front.hub, front.heard, front.outside) = (Some(link), n, now, 0);
                let hello = Hello {
                    version: VERSION,
                    name: format!("front-{f}"),
                    zone: "z0".into(),
                    life,
                    log: front.log,
                    place: front.place,
                    value: front.revision,
                    ..Hello::default()
                };
                let at = now + self.delay();
                self.push(at, Event::Opened { to: n, life: to_life, link });
                self.wires.get_mut(&link).expect("just made").last = [at, at];
                self.send(me, link, PeerMessage::Hello(hello));
            }
        }
    }

    fn front_hears(&mut self, f: usize, word: PeerMessage) {
        let now = self.now;
        let mut breach = None;
        let front = &mut self.fronts[f];
        front.heard = now;
        match word {
            PeerMessage::Heartbeat(tick) => front.outside = if tick.whole { 0 } else { front.outside + 1 },
            PeerMessage::FrontUpdate(news) => {
                (front.log, front.place) = (news.log, news.place);
                if let Some(value) = news.value {
                    if value.revision < front.revision {
                        breach = Some(format!("nothing-goes-back: front {f} is told {}", value.revision));
                    }
                    front.revision = value.revision;
                }
                front.confirmed |= news.confirmed;
            }
            PeerMessage::Allotments(grants) => {
                for grant in grants.grants {
                    let said = front.said.get(&grant.asked).copied();
                    if let (Some(said), true) = (said, grant.life == front.life && grant.epoch >= front.epoch)
                    {
                        let until = said + u64::from(grant.lease_ms);
                        (front.share, front.until, front.epoch) = (grant.share, until, grant.epoch);
                        if until > now {
                            front.held.push((grant.share, until));
                        }
                    }
                }
            }
            _ => {}
        }
        if let Some(what) = breach {
            self.breach(what);
        }
        self.count_shares();
    }

    /// What may have been used within any window by all lives is within the whole.
    fn count_shares(&mut self) {
        let now = self.now;
        let mut sum = 0.0;
        for front in &mut self.fronts {
            front.held.retain(|h| h.1 + WINDOW > now);
            sum += front.held.iter().map(|h| h.0).fold(0.0, f64::max);
        }
        self.past.iter_mut().for_each(|life| life.retain(|h| h.1 + WINDOW > now));
        self.past.retain(|life| !life.is_empty());
        sum += self.past.iter().map(|life| life.iter().map(|h| h.0).fold(0.0, f64::max)).sum::<f64>();
        if sum > WHOLE + 1e-6 {
            self.breach(format!("shares-within-the-whole: {sum} of {WHOLE} may be in use"));
        }
    }

    // --- operators and replicas ---

    fn operator(&mut self, o: usize) {
        let now = self.now;
        let wait = 150 + self.up_to(700);
        self.push(now + wait, Event::Operator { operator: o });
        let n = self.up_to(self.nodes.len() as u64) as usize;
        if self.operators[o].waits.is_some_and(|(_, at)| now < at + 1_000) {
            return;
        }
        if let Some((token, _)) = self.operators[o].waits.take() {
            self.calls.remove(&token); // It hears no answer any more.
        }
        if self.nodes[n].control.is_none() || self.nodes[n].frozen > now {
            return;
        }
        if self.operators[o].change.is_none() && self.up_to(3) == 0 {
            let floor = self.acked.keys().last().copied().unwrap_or(0);
            if let Some(token) = self.call(n, Call::Read { operator: o, floor }) {
                self.operators[o].waits = Some((token, now));
                self.at(n, |c, now, out| c.read(now, token, out));
            }
            return;
        }
        if self.operators[o].change.is_none() {
            let base = self.operators[o].current;
            // Two operators never send the same.
            let revision = base + 1 + 2 * self.up_to(3) + o as u64;
            let document = format!("{{\"by\":{o},\"revision\":{revision},\"at\":{now}}}").into_bytes();
            self.operators[o].change = Some(Change { base, revision, document });
        }
        let change = self.operators[o].change.clone().expect("was made");
        let (base, revision, document) = (change.base, change.revision, change.document.clone());
        if let Some(token) = self.call(n, Call::Replace(o, change)) {
            self.operators[o].waits = Some((token, now));
            self.at(n, |c, now, out| c.replace(now, token, base, revision, document, out));
        }
    }

    fn replica(&mut self) {
        let wait = 40 + self.up_to(100);
        self.push(self.now + wait, Event::Replica);
        let n = self.up_to(self.nodes.len() as u64) as usize;
        if self.nodes[n].control.is_none() || self.nodes[n].frozen > self.now {
            return;
        }
        let r = self.up_to(12);
        let fresh = self.up_to(10) == 0;
        let ident = format!("i-{r}-{}", (self.now - 1_000_000) / 9_000);
        // One that drains goes on draining.
        if fresh {
            self.draining.insert(ident.clone());
        }
        let drains = self.draining.contains(&ident);
        let count = self.counts.entry(ident.clone()).or_default();
        *count += 1;
        let text = format!(
            "{{\"backend\":\"b{}\",\"address\":\"10.9.0.{r}:1\",\"zone\":\"z{}\",\"phase\":\"{}\",\"call_count\":{count}}}",
            r % 3,
            r % 3,
            if drains { "draining" } else { "available" }
        );
        let beat: Beat = serde_json::from_str(&text).expect("a beat");
        let call = if drains { Call::Drain(ident.clone()) } else { Call::Beat };
        if let Some(token) = self.call(n, call) {
            self.at(n, |c, now, out| c.beat(now, token, &ident, beat, out));
        }
    }

    // --- troubles ---

    /// How many that count are lost now, or came back just now.
    fn lost(&self) -> usize {
        let now = self.now;
        let lost = |n: &Node| !n.removed && (n.control.is_none() || n.frozen > now || n.lost_until > now);
        self.nodes.iter().filter(|n| lost(n)).count()
    }

    /// Each machine that is there counts, by its disk's name, and more than half have that on disk: the budget
    /// holds from then on.
    fn all_count(&self) -> bool {
        let Some((_, newest)) = self.values.last_key_value() else { return false };
        let live = || self.nodes.iter().filter(|n| !n.removed);
        let ids: Vec<Option<u64>> = live().map(|n| n.disk.iter().find_map(|r| r.id)).collect();
        let has = |r: &Record| r.decided.as_ref().is_some_and(|d| d.voters == newest.voters);
        let have = live().filter(|n| n.disk.iter().any(has)).count();
        newest.voters.len() == ids.len()
            && newest.voters.iter().all(|v| ids.contains(&Some(v.id)))
            && have * 2 > ids.len()
    }

    fn trouble(&mut self) {
        if self.calm {
            return;
        }
        let wait = 300 + self.up_to(4_000);
        self.push(self.now + wait, Event::Trouble);
        let n = self.up_to(self.nodes.len() as u64) as usize;
        let now = self.now;
        match self.up_to(13) {
            0 | 1 if self.nodes[n].control.is_some() => {
                let back = 50 + self.up_to(3_500);
                self.crash(n, Some(back));
            }
            // An empty disk, at the old address or at a new one: only as many as may be lost together.
            2..=4 if self.nodes[n].control.is_some() && self.lost() < self.budget && self.all_count() => {
                let back = 200 + self.up_to(2_000);
                let elsewhere = self.up_to(2) == 0;
                self.crash(n, if elsewhere { None } else { Some(back) });
                let node = &mut self.nodes[n];
                (node.disk, node.synced, node.initial) = (Vec::new(), 0, false);
                node.wiped_until = now + back + 4_000;
                if elsewhere {
                    node.removed = true;
                    let address = format!("10.0.1.{}:80", self.nodes.len() + 1);
                    self.add_node(address, false);
                    let new = self.nodes.len() - 1;
                    self.nodes[new].lost_until = now + back + 4_000;
                    self.push(now + back, Event::Start { node: new });
                }
            }
            5 => {
                for n in 0..self.nodes.len() {
                    if self.nodes[n].control.is_some() {
                        let back = 100 + self.up_to(800);
                        self.crash(n, Some(back));
                    }
                }
            }
            6 | 7 => {
                // One is cut off from the others, or from one; both ways or one.
                let (both, all) = (self.up_to(3) > 0, self.up_to(2) == 0);
                let other = self.up_to(self.nodes.len() as u64) as usize;
                let heal = 300 + self.up_to(6_000);
                for o in (0..self.nodes.len()).filter(|&o| o != n && (all || o == other)).collect::<Vec<_>>()
                {
                    self.cuts.insert((n, o));
                    if both {
                        self.cuts.insert((o, n));
                    }
                    self.push(now + heal, Event::Heal { a: n, b: o });
                    let node = &mut self.nodes[o];
                    node.lost_until = node.lost_until.max(now + heal + 4_000);
                }
                self.nodes[n].lost_until = self.nodes[n].lost_until.max(now + heal + 4_000);
            }
            8 => {
                let f = hub_of_front(self.up_to(FRONTS as u64) as usize);
                let heal = 300 + self.up_to(9_000);
                self.cuts.extend([(f, n), (n, f)]);
                self.push(now + heal, Event::Heal { a: f, b: n });
            }
            9 => {
                let wakes = now + 300 + self.up_to(7_000);
                let node = &mut self.nodes[n];
                (node.frozen, node.lost_until) = (wakes, node.lost_until.max(wakes + 4_000));
            }
            10 => {
                let ends = now + 500 + self.up_to(6_000);
                let ms = [120, 900, 4_000][self.up_to(3) as usize];
                let node = &mut self.nodes[n];
                (node.sync_ms, node.lost_until) = (ms, node.lost_until.max(ends + 4_000 + ms));
                self.push(ends, Event::Disk { node: n });
            }
            11 => {
                let f = self.up_to(FRONTS as u64) as usize;
                let life = self.chance.rand_u64();
                let old = std::mem::replace(&mut self.fronts[f], Front::new(life));
                self.past.push(old.held.iter().map(|h| (h.0, h.1.min(now))).collect());
                if let Some(link) = old.link {
                    self.end_link(link, hub_of_front(f));
                }
            }
            _ => {}
        }
    }

    /// Slow disks and ways are no loss: those that have not yet heard of what was acknowledged are there.
    fn wipe_after_ack(&mut self, n: usize) {
        if self.calm || self.nodes[n].control.is_none() || !self.all_count() {
            return;
        }
        let gone = |n: &Node| !n.removed && (n.control.is_none() || n.wiped_until > self.now);
        if self.nodes.iter().filter(|n| gone(n)).count() >= self.budget {
            return;
        }
        let others: Vec<usize> =
            (0..self.nodes.len()).filter(|&o| o != n && self.nodes[o].control.is_some()).collect();
        let wiped = if self.up_to(2) == 0 { n } else { others[self.up_to(others.len() as u64) as usize] };
        let back = 20 + self.up_to(600);
        self.crash(wiped, Some(back));
        let node = &mut self.nodes[wiped];
        (node.disk, node.synced, node.initial) = (Vec::new(), 0, false);
        node.wiped_until = self.now + back + 4_000;
        let other = others[self.up_to(others.len() as u64) as usize];
        if other != wiped && self.up_to(2) == 0 {
            let back = 500 + self.up_to(3_000);
            self.crash(other, Some(back));
        }
    }

    fn heal_all(&mut self) {
        self.calm = true;
        self.cuts.clear();
        let stuck: Vec<u64> = self.wires.iter().filter(|(_, w)| w.stuck).map(|(l, _)| *l).collect();
        for link in stuck {
            let ends = self.wires[&link].ends;
            self.wires.remove(&link);
            for (to, life) in ends {
                self.push(self.now + 1, Event::Closed { to, life, link });
            }
        }
        for n in 0..self.nodes.len() {
            self.nodes[n].sync_ms = self.sync_ms;
            self.nodes[n].frozen = 0;
            self.push(self.now + 100, Event::Start { node: n });
        }
    }

    fn take(&mut self, event: Event) {
        let frozen = |w: &World, n: usize| n < 1_000 && w.nodes[n].frozen > w.now;
        let lives = |w: &World, n: usize, life: u64| match n {
            f if f >= 1_000 => w.fronts[f - 1_000].life == life,
            n => w.nodes[n].control.is_some() && w.nodes[n].life == life,
        };
        let to = match &event {
            Event::Opened { to, life, .. }
            | Event::PeerMessage { to, life, .. }
            | Event::Closed { to, life, .. }
            | Event::Unreached { to, life, .. } => Some((*to, *life)),
            _ => None,
        };
        if let Some((to, life)) = to {
            if !lives(self, to, life) {
                return;
            }
            // A frozen process takes what has come when it wakes.
            if frozen(self, to) {
                let at = self.nodes[to].frozen;
                self.push(at, event);
                return;
            }
        }
        match event {
            Event::Opened { to, link, .. } => {
                if to < 1_000 && self.wires.contains_key(&link) {
                    self.at(to, |c, _, out| c.opened(link, out));
                }
            }
            Event::PeerMessage { to, link, word, .. } => {
                if to >= 1_000 {
                    if self.fronts[to - 1_000].link == Some(link) {
                        self.front_hears(to - 1_000, word);
                    }
                } else if self.wires.contains_key(&link) {
                    self.at(to, |c, now, out| c.on_message(now, link, word, out));
                }
            }
            Event::Closed { to, link, .. } => {
                if to < 1_000 {
                    self.at(to, |c, now, out| c.closed(now, link, out));
                } else if self.fronts[to - 1_000].link == Some(link) {
                    self.fronts[to - 1_000].link = None;
                }
            }
            Event::Unreached { to, address, .. } => self.at(to, |c, now, _| c.unreached(now, &address)),
            Event::Synced { to, life, upto, then } => {
                if self.nodes[to].life != life {
                    return;
                }
                let node = &mut self.nodes[to];
                let n = upto.saturating_sub(node.synced).min(node.unsynced.len());
                let done: Vec<Record> = node.unsynced.drain(..n).collect();
                node.synced += done.len();
                node.disk.extend(done);
                if frozen(self, to) {
                    let at = self.nodes[to].frozen;
                    self.push(at, Event::Synced { to, life, upto, then });
                    return;
                }
                self.at(to, |c, now, out| c.synced(now, then, out));
            }
            Event::Start { node } => self.start(node),
            Event::Front { front } => self.front(front),
            Event::Operator { operator } => self.operator(operator),
            Event::Replica => self.replica(),
            Event::Trouble => self.trouble(),
            Event::Disk { node } => self.nodes[node].sync_ms = self.sync_ms,
            Event::Wipe { node } => self.wipe_after_ack(node),
            Event::Heal { a, b } => {
                self.cuts.remove(&(a, b));
                self.cuts.remove(&(b, a));
            }
        }
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            let next = self.events.first_key_value().map_or(u64::MAX, |(k, _)| k.0);
            // Hubs tick by themselves.
            let tick = self.now + 10;
            if next > tick {
                self.now = tick.min(end);
                for n in 0..self.nodes.len() {
                    let clock = self.clock(n);
                    let due = self.nodes[n].control.as_ref().is_some_and(|c| clock >= c.due(clock));
                    if due && self.nodes[n].frozen <= self.now {
                        self.at(n, |c, now, out| c.tick(now, out));
                    }
                }
                continue;
            }
            let ((at, _), event) = self.events.pop_first().expect("was seen");
            self.now = self.now.max(at);
            self.take(event);
        }
    }

    fn run(mut self) -> (Vec<String>, [usize; 3]) {
        let start = self.now;
        self.run_until(start + DAY);
        self.heal_all();
        let acks = self.acks;
        let calm_from = self.now;
        self.run_until(calm_from + SETTLE);
        if self.acks == acks {
            self.breach("all-comes-back: no change was acknowledged after the troubles".into());
        }
        let newest = self.values.last_key_value().map(|(_, v)| v.clone()).unwrap_or_default();
        for (revision, change) in self.acked.clone() {
            let digest = document_digest(&change.document);
            let order = linenthread_messages::OrderIdentity { revision, base: change.base, digest };
            let there = self.values.values().any(|v| v.revision == revision && v.document == change.document);
            // Each node that has got so far knows the order, replaced disks too.
            let known = |n: &Node| {
                let register = n.control.as_ref().map(|control| control.register());
                let behind = register.is_none_or(|r| r.decided().is_none_or(|d| d.revision < revision));
                behind || register.is_some_and(|r| r.ledger().contains(&order))
            };
            if !there || !self.nodes.iter().filter(|n| !n.removed).all(known) {
                self.breach(format!("acked-lasts: {revision} is not in the chain"));
            }
        }
        // The last changes may be on their way: what fronts have is one of the last moments' values.
        let behind = self.acked.keys().rev().nth(3).copied().unwrap_or(0);
        for f in 0..FRONTS {
            let (revision, confirmed) = (self.fronts[f].revision, self.fronts[f].confirmed);
            if revision < behind || !confirmed {
                let what =
                    format!("all-comes-back: front {f} has {revision}, confirmed {confirmed}, of {behind}");
                self.breach(what);
            }
        }
        let live = self.nodes.iter().filter(|n| !n.removed).count();
        if newest.voters.len() != live {
            self.breach(format!(
                "all-comes-back: {} disks count, {live} machines are there",
                newest.voters.len()
            ));
        }
        (self.breaches, [self.acks, self.reads, self.drains])
    }
}

impl Front {
    fn new(life: u64) -> Front {
        Front {
            life,
            link: None,
            hub: 0,
            log: 0,
            place: 0,
            asked: 0,
            said: BTreeMap::new(),
            share: 0.0,
            until: 0,
            held: Vec::new(),
            revision: 0,
            confirmed: false,
            heard: 0,
            outside: 0,
            epoch: 0,
        }
    }
}

impl Drill {
    pub fn run(&self) -> (usize, usize) {
        let mut breaches = 0;
        let mut sums = [0; 3];
        for seed in self.seed..self.seed + self.schedules as u64 {
            let (found, counts) = World::new(self.core, seed).run();
            breaches += found.len();
            sums.iter_mut().zip(counts).for_each(|(s, c)| *s += c);
            for breach in found {
                println!("seed {seed}, core {}: {breach}", self.core);
            }
        }
        if self.told {
            println!("{} changes acknowledged, {} reads, {} drains", sums[0], sums[1], sums[2]);
        }
        (self.schedules, breaches)
    }
}
