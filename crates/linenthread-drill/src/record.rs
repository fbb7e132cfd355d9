//! Fleets in simulated time: members and the agreed record through loss, cuts, crashes with and without disk,
//! pauses, failing disks and clocks that run apart, judged by what was truly agreed on.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::rc::Rc;

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::{
    CommittedValue, Fleet, FleetAction, FleetConfig, FleetEvent, NodeIdentity, Stage,
};
use linenthread_frames::Secrets;
use linenthread_store::SimulatedDisk;
use oorandom::Rand64;

type Disk = Rc<RefCell<SimulatedDisk>>;

const SECOND: TenthMillis = 10_000;
/// Troubles come for so long, then all is mended, and within so long all must be one again.
const TROUBLES: TenthMillis = 40 * SECOND;
const MENDED_WITHIN: TenthMillis = 25 * SECOND;
const TOPICS: [&str; 2] = ["table", "orders"];

#[derive(Clone, Debug)]
pub(crate) struct Drill {
    pub schedules: usize,
    pub seed: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize, u64),
    Connect {
        from: usize,
        number: u64,
        to: usize,
    },
    Bytes {
        wire: u64,
        side: usize,
        bytes: Vec<u8>,
    },
    Ended {
        wire: u64,
        side: usize,
    },
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Start(usize),
    Go(usize),
    /// One starts anew at once.
    Restart,
    Heal,
    Trouble,
    Propose,
}

/// A connection: at each side which process and under which number; bytes arrive in their order.
struct Wire {
    ends: [(usize, u64); 2],
    last: [TenthMillis; 2],
    /// What goes that way is lost from now on: it was sent into a cut.
    dead: [bool; 2],
    open: bool,
}

struct Process {
    fleet: Option<Fleet<Disk>>,
    disk: Disk,
    rate: f64,
    offset: TenthMillis,
    /// It is stopped, and what comes waits.
    paused: bool,
    waits: Vec<Event>,
    wake: u64,
    woken_at: TenthMillis,
    starts: u64,
    /// Its self before its disk was lost, where it had taken part.
    former: Option<u64>,
}

struct World {
    now: TenthMillis,
    chance: Rand64,
    events: BinaryHeap<Reverse<(TenthMillis, u64, Event)>>,
    numbers: u64,
    wires: BTreeMap<u64, Wire>,
    at: BTreeMap<(usize, u64), u64>,
    processes: Vec<Process>,
    voters: usize,
    /// Ways that are cut.
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    slow: TenthMillis,
    seed: u64,
    // What is true.
    agreed: BTreeMap<(String, u64), Vec<u8>>,
    proposals: u64,
    breaches: Vec<String>,
    pub counts: Counts,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub agreed: u64,
    pub leaders: u64,
    pub replaced: u64,
    pub whole_after: TenthMillis,
}

fn name(at: usize) -> String {
    format!("m{at:02}")
}

fn address(at: usize) -> SocketAddr {
    ([127, 0, 0, 1], 7_000 + at as u16).into()
}

fn secrets() -> Secrets {
    Secrets::new(vec![b"a secret of some length".to_vec()]).expect("long enough")
}

impl World {
    fn new(seed: u64) -> World {
        let mut chance = Rand64::new(u128::from(seed));
        let voters = [3, 3, 5][chance.rand_range(0..3) as usize];
        let count = voters + chance.rand_range(0..4) as usize;
        let process = |chance: &mut Rand64| Process {
            fleet: None,
            disk: Rc::default(),
            rate: 0.95 + 0.1 * chance.rand_float(),
            offset: chance.rand_range(1_000_000..9_000_000) as TenthMillis,
            paused: false,
            waits: Vec::new(),
            wake: 0,
            woken_at: TenthMillis::MAX,
            starts: 0,
            former: None,
        };
        let processes = (0..count).map(|_| process(&mut chance)).collect();
        World {
            now: 0,
            chance,
            events: BinaryHeap::new(),
            numbers: 0,
            wires: BTreeMap::new(),
            at: BTreeMap::new(),
            processes,
            voters,
            cut: BTreeSet::new(),
            loss: 0.0,
            slow: 0,
            seed,
            agreed: BTreeMap::new(),
            proposals: 0,
            breaches: Vec::new(),
            counts: Counts::default(),
        }
    }

    fn breach(&mut self, why: String) {
        self.breaches.push(format!(
            "schedule {}, {:.1} s: {why}",
            self.seed,
            self.now as f64 / 1e4
        ));
    }

    fn after(&mut self, wait: TenthMillis, event: Event) {
        self.numbers += 1;
        self.events
            .push(Reverse((self.now + wait.max(0), self.numbers, event)));
    }

    fn local(&self, at: usize) -> TenthMillis {
        let process = &self.processes[at];
        process.offset + (self.now as f64 * process.rate) as TenthMillis
    }

    /// How long a way takes now.
    fn way(&mut self) -> TenthMillis {
        let usual = 5 + self.chance.rand_range(0..20) as TenthMillis;
        let slow = self.slow.max(1) as u64;
        usual
            + if self.slow > 0 {
                self.chance.rand_range(0..slow) as TenthMillis
            } else {
                0
            }
    }

    fn start(&mut self, at: usize) {
        if self.processes[at].fleet.is_some() {
            return;
        }
        let now = self.local(at);
        let seed = self.chance.rand_u64();
        self.processes[at].starts += 1;
        let voters = (0..self.voters).map(|n| (name(n), address(n))).collect();
        let own = NodeIdentity {
            machine: name(at),
            zone: format!("z{}", at % 3),
            region: "r".into(),
            version: 1,
            weight: 1_000,
            incarnation: 1_000_000 * self.processes[at].starts,
            ..NodeIdentity::unknown(&name(at), address(at))
        };
        let terms = FleetConfig {
            local: own,
            voters,
            expected_members: self.processes.len() as u32,
            probe_interval: 5_000,
        };
        let mut to = Vec::new();
        let disk = self.processes[at].disk.clone();
        match Fleet::new(terms, Some(disk), secrets(), seed, now, &mut to) {
            Ok(fleet) => self.processes[at].fleet = Some(fleet),
            Err(why) => self.breach(format!("{} does not start: {why}", name(at))),
        }
        self.obey(at, to);
    }

    fn crash(&mut self, at: usize, with_disk: bool) {
        let process = &mut self.processes[at];
        let Some(fleet) = process.fleet.take() else {
            return;
        };
        let life = fleet
            .voter()
            .filter(|v| v.stage() == Stage::Active)
            .and_then(linenthread_fleet::Voter::incarnation);
        drop(fleet);
        (process.paused, process.woken_at) = (false, TenthMillis::MAX);
        process.waits.clear();
        if with_disk {
            process.disk = Rc::default();
            process.former = life.or(process.former);
        } else {
            process.disk.borrow_mut().crash(&mut self.chance);
        }
        let wires: Vec<u64> = self
            .wires
            .iter()
            .filter(|(_, w)| w.ends.iter().any(|e| e.0 == at))
            .map(|(n, _)| *n)
            .collect();
        wires.into_iter().for_each(|wire| self.hang_up(wire, at));
    }

    /// One side's end of a connection: the other side hears of it, if anything reaches it.
    fn hang_up(&mut self, wire: u64, by: usize) {
        let Some(w) = self.wires.get_mut(&wire) else {
            return;
        };
        let side = usize::from(w.ends[0].0 != by);
        let (own, other) = (w.ends[side], w.ends[1 - side]);
        w.open = false;
        self.at.remove(&own);
        if !self.cut.contains(&(by, other.0)) {
            let wait = self.way();
            self.after(
                wait,
                Event::Ended {
                    wire,
                    side: 1 - side,
                },
            );
        }
    }

    fn obey(&mut self, at: usize, all: Vec<FleetAction>) {
        for one in all {
            match one {
                FleetAction::Dial {
                    connection,
                    address,
                } => {
                    let to = usize::from(address.port()) - 7_000;
                    let wait = self.way();
                    self.after(
                        wait,
                        Event::Connect {
                            from: at,
                            number: connection,
                            to,
                        },
                    );
                }
                FleetAction::Write { connection, bytes } => {
                    let Some(&wire) = self.at.get(&(at, connection)) else {
                        continue;
                    };
                    let wait = self.way();
                    let Some(w) = self.wires.get_mut(&wire) else {
                        continue;
                    };
                    let side = usize::from(w.ends[0] != (at, connection));
                    w.dead[side] |= self.cut.contains(&(at, w.ends[1 - side].0));
                    if !w.dead[side] {
                        let when = (self.now + wait).max(w.last[side] + 1);
                        w.last[side] = when;
                        self.after(
                            when - self.now,
                            Event::Bytes {
                                wire,
                                side: 1 - side,
                                bytes,
                            },
                        );
                    }
                }
                FleetAction::Close { connection, .. } => {
                    if let Some(&wire) = self.at.get(&(at, connection)) {
                        self.hang_up(wire, at);
                    }
                    self.tell(at, |fleet, now, to| fleet.on_closed(now, connection, to));
                }
                FleetAction::Datagram { to, bytes } => {
                    let to = usize::from(to.port()) - 7_000;
                    if !self.cut.contains(&(at, to)) && self.chance.rand_float() >= self.loss {
                        let wait = self.way();
                        self.after(
                            wait,
                            Event::Datagram {
                                from: at,
                                to,
                                bytes,
                            },
                        );
                    }
                }
                FleetAction::Committed(CommittedValue {
                    topic,
                    number,
                    value,
                }) => {
                    let known = self
                        .agreed
                        .entry((topic.clone(), number))
                        .or_insert_with(|| value.clone());
                    if *known == value {
                        self.counts.agreed += 1;
                    } else {
                        self.breach(format!(
                            "one-value: {topic} {number} is two things, at {}",
                            name(at)
                        ));
                    }
                }
                FleetAction::Log(event) => {
                    match event {
                        FleetEvent::LeadershipAcquired { .. } => self.counts.leaders += 1,
                        FleetEvent::IdentityReplaced { .. } => self.counts.replaced += 1,
                        _ => {}
                    }
                    if std::env::var_os("SHOW").is_some() {
                        println!("{:8.2} {}: {event}", self.now as f64 / 1e4, name(at));
                    }
                }
                FleetAction::MemberUp(_)
                | FleetAction::MemberDown(_)
                | FleetAction::Report { .. }
                | FleetAction::LogConnection(_) => {}
            }
        }
        // It is to be woken when it says.
        let Some(fleet) = &self.processes[at].fleet else {
            return;
        };
        let wake = fleet.wake_at();
        let process = &mut self.processes[at];
        let when = (((wake - process.offset) as f64 / process.rate).ceil() as TenthMillis)
            .max(self.now + 1);
        if when < process.woken_at || process.woken_at <= self.now {
            process.woken_at = when;
            process.wake += 1;
            let event = Event::Wake(at, process.wake);
            self.after(when - self.now, event);
        }
    }

    fn tell(
        &mut self,
        at: usize,
        call: impl FnOnce(&mut Fleet<Disk>, TenthMillis, &mut Vec<FleetAction>),
    ) {
        let now = self.local(at);
        let mut to = Vec::new();
        if let Some(fleet) = &mut self.processes[at].fleet {
            call(fleet, now, &mut to);
            self.obey(at, to);
            self.judge(at);
        }
    }

    /// What must hold at every moment.
    fn judge(&mut self, at: usize) {
        let leads = |at: usize| {
            let process = &self.processes[at];
            !process.paused
                && process
                    .fleet
                    .as_ref()
                    .is_some_and(|f| f.is_leader(self.local(at)))
        };
        let leaders: Vec<String> = (0..self.voters).filter(|&at| leads(at)).map(name).collect();
        if leaders.len() > 1 {
            self.breach(format!("one-leader: {}", leaders.join(" and ")));
        }
        let process = &self.processes[at];
        let life = process
            .fleet
            .as_ref()
            .and_then(|f| f.voter()?.incarnation());
        if process.former.is_some() && life == process.former {
            self.breach(format!("former-self: {} is {life:?} again", name(at)));
        }
    }

    fn happen(&mut self, event: Event) {
        let to = match &event {
            Event::Wake(at, _) => Some(*at),
            Event::Connect { to, .. } => Some(*to),
            Event::Bytes { wire, side, .. } | Event::Ended { wire, side } => {
                self.wires.get(wire).map(|w| w.ends[*side].0)
            }
            Event::Datagram { to, .. } => Some(*to),
            _ => None,
        };
        if let Some(at) = to.filter(|at| self.processes[*at].paused) {
            self.processes[at].waits.push(event);
            return;
        }
        match event {
            Event::Wake(at, number) => {
                if self.processes[at].wake == number {
                    self.processes[at].woken_at = TenthMillis::MAX;
                    self.tell(at, linenthread_fleet::Fleet::wake);
                }
            }
            Event::Connect { from, number, to } => {
                let cut = self.cut.contains(&(from, to)) || self.cut.contains(&(to, from));
                let alive = self.processes[to].fleet.is_some();
                let mut taken = None;
                if alive && !cut && self.processes[from].fleet.is_some() {
                    self.numbers += 1;
                    let wire = self.numbers;
                    // Its number is known before what is said to it is carried.
                    let now = self.local(to);
                    let mut said = Vec::new();
                    taken = self.processes[to]
                        .fleet
                        .as_mut()
                        .and_then(|f| f.on_accepted(now, &mut said));
                    if let Some(theirs) = taken {
                        let ends = [(from, number), (to, theirs)];
                        self.wires.insert(
                            wire,
                            Wire {
                                ends,
                                last: [0; 2],
                                dead: [false; 2],
                                open: true,
                            },
                        );
                        self.at.extend(ends.map(|end| (end, wire)));
                        self.obey(to, said);
                    }
                }
                if taken.is_none() {
                    let wait = if cut { 10 * SECOND } else { 10 };
                    self.numbers += 1;
                    let wire = self.numbers;
                    let ends = [(from, number), (to, 0)];
                    self.wires.insert(
                        wire,
                        Wire {
                            ends,
                            last: [0; 2],
                            dead: [true; 2],
                            open: false,
                        },
                    );
                    self.at.insert((from, number), wire);
                    self.after(wait, Event::Ended { wire, side: 0 });
                }
            }
            Event::Bytes { wire, side, bytes } => {
                let Some(w) = self.wires.get(&wire) else {
                    return;
                };
                let (at, number) = w.ends[side];
                if self.at.get(&(at, number)) == Some(&wire) {
                    self.tell(at, |fleet, now, to| {
                        fleet.on_received(now, number, &bytes, to);
                    });
                }
            }
            Event::Ended { wire, side } => {
                let Some(w) = self.wires.get(&wire) else {
                    return;
                };
                let (at, number) = w.ends[side];
                if self.at.get(&(at, number)) == Some(&wire) {
                    self.at.remove(&(at, number));
                    self.tell(at, |fleet, now, to| fleet.on_closed(now, number, to));
                }
                if w_is_over(&self.wires[&wire], &self.at, wire) {
                    self.wires.remove(&wire);
                }
            }
            Event::Datagram { from: _, to, bytes } => {
                self.tell(to, |fleet, now, said| fleet.on_datagram(now, &bytes, said));
            }
            Event::Start(at) => self.start(at),
            Event::Go(at) => self.go(at),
            Event::Restart => {
                let at = self.chance.rand_range(0..self.processes.len() as u64) as usize;
                self.crash(at, false);
                let wait = self.chance.rand_range(10..500) as TenthMillis;
                self.after(wait, Event::Start(at));
            }
            Event::Heal => self.cut.clear(),
            Event::Trouble => self.trouble(),
            Event::Propose => self.propose(),
        }
    }

    /// A stopped process goes on: what came meanwhile is all there at once, in its order.
    fn go(&mut self, at: usize) {
        if !self.processes[at].paused {
            return;
        }
        self.processes[at].paused = false;
        self.processes[at].woken_at = TenthMillis::MAX;
        let mut waits = std::mem::take(&mut self.processes[at].waits);
        // Which of its own timers or its sockets it looks at first is for chance.
        if self.chance.rand_range(0..2) == 0 {
            self.tell(at, linenthread_fleet::Fleet::wake);
        }
        waits.retain(|event| !matches!(event, Event::Wake(..)));
        waits.into_iter().for_each(|event| self.happen(event));
        self.tell(at, linenthread_fleet::Fleet::wake);
    }

    fn propose(&mut self) {
        for at in 0..self.voters {
            let now = self.local(at);
            let process = &self.processes[at];
            if process.paused || !process.fleet.as_ref().is_some_and(|f| f.is_leader(now)) {
                continue;
            }
            self.proposals += 1;
            let topic = TOPICS[self.proposals as usize % TOPICS.len()];
            let mut value = self.proposals.to_be_bytes().to_vec();
            value.resize(8 + self.chance.rand_range(0..200) as usize, 7);
            self.tell(at, |fleet, now, to| {
                let number = fleet.table().number(topic);
                fleet.propose(now, topic, number, value, to).ok();
            });
        }
        let wait = 500 + self.chance.rand_range(0..2_000) as TenthMillis;
        self.after(wait, Event::Propose);
    }

    /// Whether a disk may be lost: all other voters vote, so that what was agreed on is on a majority of disks.
    fn may_lose_disk(&self, at: usize) -> bool {
        let votes = |n: usize| {
            let process = &self.processes[n];
            process
                .fleet
                .as_ref()
                .is_some_and(|f| f.voter().is_some_and(linenthread_fleet::Voter::votes))
        };
        (0..self.voters).all(|n| n == at || votes(n))
    }

    fn trouble(&mut self) {
        let count = self.processes.len();
        let at = self.chance.rand_range(0..count as u64) as usize;
        let long = |chance: &mut Rand64| chance.rand_range(1_000..80_000) as TenthMillis;
        match self.chance.rand_range(0..14) {
            0..3 => {
                let disk = self.chance.rand_range(0..3) == 0
                    && (at >= self.voters || self.may_lose_disk(at));
                self.crash(at, disk);
                let wait = long(&mut self.chance);
                self.after(wait, Event::Start(at));
            }
            3..5 => {
                if self.processes[at].fleet.is_some() && !self.processes[at].paused {
                    self.processes[at].paused = true;
                    let wait = long(&mut self.chance) + 20_000;
                    self.after(wait, Event::Go(at));
                }
            }
            5..8 => {
                // Two groups, cut one way or both.
                let group: Vec<bool> = (0..count)
                    .map(|_| self.chance.rand_range(0..2) == 0)
                    .collect();
                let both = self.chance.rand_range(0..2) == 0;
                for a in 0..count {
                    for b in (0..count).filter(|&b| group[a] != group[b]) {
                        if both || group[a] {
                            self.cut.insert((a, b));
                        }
                    }
                }
                let wait = long(&mut self.chance);
                self.after(wait, Event::Heal);
            }
            8 => {
                let b = self.chance.rand_range(0..count as u64) as usize;
                self.cut.insert((at, b));
                let wait = long(&mut self.chance);
                self.after(wait, Event::Heal);
            }
            12 => {
                // One pair, both ways; and one that starts anew at once meanwhile.
                let b = self.chance.rand_range(0..count as u64) as usize;
                self.cut.extend([(at, b), (b, at)]);
                let wait = long(&mut self.chance);
                self.after(wait, Event::Heal);
                let wait = self.chance.rand_range(5_000..30_000) as TenthMillis;
                self.after(wait, Event::Restart);
            }
            13 => self.happen(Event::Restart),
            9 => {
                let left = self.chance.rand_range(0..5) as usize;
                self.processes[at].disk.borrow_mut().syncs_until_failure = Some(left);
            }
            10 => {
                let room = self.chance.rand_range(200..6_000) as usize;
                self.processes[at].disk.borrow_mut().capacity = Some(room);
            }
            _ => {
                self.loss = self.chance.rand_float() * 0.3;
                self.slow = self.chance.rand_range(0..3_000) as TenthMillis;
            }
        }
        let wait = self.chance.rand_range(500..40_000) as TenthMillis;
        self.after(wait, Event::Trouble);
    }

    fn run_until(&mut self, end: TenthMillis, mut stop: impl FnMut(&World) -> bool) -> bool {
        let mut looked = self.now;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                self.events.push(Reverse((at, 0, event)));
                break;
            }
            self.now = at;
            self.happen(event);
            if self.breaches.len() > 3 {
                return false;
            }
            if self.now >= looked + 1_000 {
                looked = self.now;
                if stop(self) {
                    return true;
                }
            }
        }
        false
    }

    /// Why the fleet is not whole: one leader, one board at all, and all know all.
    fn lacks(&self) -> Option<String> {
        let fleets: Vec<_> = self.processes.iter().map(|p| p.fleet.as_ref()).collect();
        let leaders = (0..self.voters)
            .filter(|&at| fleets[at].is_some_and(|f| f.is_leader(self.local(at))))
            .count();
        if leaders != 1 {
            return Some(format!("{leaders} lead"));
        }
        for (at, fleet) in fleets.iter().enumerate() {
            let Some(fleet) = fleet else {
                return Some(format!("{} does not run", name(at)));
            };
            if at < self.voters && !fleet.voter().is_some_and(linenthread_fleet::Voter::votes) {
                return Some(format!("{} does not vote: {:?}", name(at), fleet.stage()));
            }
            let others = fleet.alive().count();
            if others + 1 != fleets.len() {
                let known: BTreeSet<&str> = fleet.alive().map(|who| who.name.as_str()).collect();
                let unknown =
                    (0..fleets.len()).filter(|&n| n != at && !known.contains(name(n).as_str()));
                let unknown: Vec<String> = unknown.map(name).collect();
                return Some(format!(
                    "{} knows {others} others, not {}",
                    name(at),
                    unknown.join(" ")
                ));
            }
            for topic in TOPICS {
                let newest = self
                    .agreed
                    .keys()
                    .filter(|(t, _)| t == topic)
                    .map(|(_, n)| *n)
                    .max()
                    .unwrap_or(0);
                // One more may be on its way while proposals go on.
                if fleet.table().number(topic) + 2 < newest {
                    return Some(format!(
                        "{} has {topic} {} of {newest}",
                        name(at),
                        fleet.table().number(topic)
                    ));
                }
            }
        }
        None
    }

    /// Mends all there is.
    fn mend(&mut self) {
        self.cut.clear();
        (self.loss, self.slow) = (0.0, 0);
        self.events.retain(|Reverse((_, _, event))| {
            !matches!(event, Event::Trouble | Event::Heal | Event::Restart)
        });
        for at in 0..self.processes.len() {
            let mut disk = self.processes[at].disk.borrow_mut();
            (disk.capacity, disk.syncs_until_failure) = (None, None);
            drop(disk);
            self.go(at);
            if self.processes[at]
                .fleet
                .as_ref()
                .is_some_and(Fleet::is_stopped)
            {
                // Opened anew, as the program does once the disk takes bytes again.
                self.processes[at].disk.borrow_mut().crash(&mut self.chance);
                let disk = self.processes[at].disk.clone();
                self.tell(at, |fleet, now, to| {
                    fleet.open_voter(disk, now, to).expect("a sound disk");
                });
            }
            self.start(at);
        }
    }

    fn play(mut self) -> (Vec<String>, Counts) {
        for at in 0..self.processes.len() {
            let wait = self.chance.rand_range(0..20_000) as TenthMillis;
            self.after(wait, Event::Start(at));
        }
        self.after(SECOND, Event::Propose);
        // Troubles may come while it is founded.
        let first = self.chance.rand_range(0..100_000) as TenthMillis;
        self.after(first, Event::Trouble);
        self.run_until(TROUBLES, |_| false);
        self.mend();
        let (mended, end) = (self.now, self.now + MENDED_WITHIN);
        let mut whole_since = None;
        // Whole, and for a second on.
        let whole = self.run_until(end, |world| {
            match world.lacks() {
                None => whole_since = whole_since.or(Some(world.now)),
                Some(_) => whole_since = None,
            }
            whole_since.is_some_and(|since| world.now >= since + SECOND)
        });
        self.counts.whole_after = self.now - mended;
        if !whole && self.breaches.is_empty() {
            let why = self.lacks().unwrap_or_else(|| "it does not last".into());
            self.breach(format!(
                "not whole {} s after all was mended: {why}",
                MENDED_WITHIN / SECOND
            ));
        }
        if self.proposals > 0 && self.agreed.is_empty() {
            self.breach("nothing was ever agreed on".into());
        }
        (self.breaches, self.counts)
    }
}

fn w_is_over(wire: &Wire, at: &BTreeMap<(usize, u64), u64>, number: u64) -> bool {
    !wire.open && wire.ends.iter().all(|end| at.get(end) != Some(&number))
}

impl Drill {
    pub(crate) fn run(&self) -> (usize, usize) {
        let threads = std::thread::available_parallelism().map_or(1, std::num::NonZero::get) as u64;
        let one = |seed: u64| World::new(seed).play();
        let all: Vec<(Vec<String>, Counts)> = std::thread::scope(|scope| {
            let part = |thread: u64| {
                let seeds = (self.seed..self.seed + self.schedules as u64)
                    .filter(move |s| s % threads == thread);
                scope.spawn(move || seeds.map(one).collect::<Vec<_>>())
            };
            let parts: Vec<_> = (0..threads).map(part).collect();
            parts
                .into_iter()
                .flat_map(|p| p.join().expect("a schedule ends"))
                .collect()
        });
        let mut breaches: Vec<&String> = all.iter().flat_map(|(b, _)| b).collect();
        breaches.sort_unstable();
        breaches
            .iter()
            .take(20)
            .for_each(|why| println!("breach: {why}"));
        let sum = |of: fn(&Counts) -> u64| all.iter().map(|(_, c)| of(c)).sum::<u64>();
        let mut whole: Vec<TenthMillis> = all.iter().map(|(_, c)| c.whole_after - SECOND).collect();
        whole.sort_unstable();
        let at = |share: usize| {
            whole
                .get(whole.len() * share / 100)
                .map_or(0.0, |t| *t as f64 / 1e4)
        };
        println!(
            "{} values told as agreed, {} times one began to lead, {} selves replaced; whole again after {:.1} s \
             in the median, {:.1} s at the 99th",
            sum(|c| c.agreed),
            sum(|c| c.leaders),
            sum(|c| c.replaced),
            at(50),
            at(99),
        );
        (self.schedules, breaches.len())
    }
}
