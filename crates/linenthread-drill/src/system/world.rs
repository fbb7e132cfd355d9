//! All that there is in one simulated day, and the queue of events.

use std::collections::{BTreeMap, BTreeSet};

use linenthread_consensus::genesis_id;
use linenthread_messages::{PeerMessage, Record, Value, Voter};
use oorandom::Rand64;

use super::fronts::{FRONTS, Front};
use super::machines::Node;
use super::network::Wire;
use super::operators::{Call, Change, Operator};

/// When a day begins, in milliseconds of simulated time.
pub(super) const START: u64 = 1_000_000;

#[derive(Clone)]
pub(super) enum Event {
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

pub(super) struct World {
    pub(super) now: u64,
    pub(super) events: BTreeMap<(u64, u64), Event>,
    pub(super) order: u64,
    pub(super) chance: Rand64,
    pub(super) nodes: Vec<Node>,
    pub(super) genesis: Value,
    pub(super) bootstrap: Vec<String>,
    pub(super) wires: BTreeMap<u64, Wire>,
    pub(super) next: u64,
    pub(super) cuts: BTreeSet<(usize, usize)>,
    pub(super) fronts: Vec<Front>,
    /// Shares of lives that have ended, life by life.
    pub(super) past: Vec<Vec<(f64, u64)>>,
    pub(super) operators: Vec<Operator>,
    pub(super) calls: BTreeMap<u64, (usize, u64, Call)>,
    pub(super) values: BTreeMap<u64, Value>,
    /// Which life held the duty under which epoch.
    pub(super) holders: BTreeMap<u64, u64>,
    pub(super) acked: BTreeMap<u64, Change>,
    pub(super) counts: BTreeMap<String, u64>,
    pub(super) draining: BTreeSet<String>,
    pub(super) calm: bool,
    pub(super) breaches: Vec<String>,
    pub(super) acks: usize,
    pub(super) reads: usize,
    pub(super) drains: usize,
    pub(super) budget: usize,
    /// What a sync takes on a disk in no trouble.
    pub(super) sync_ms: u64,
}

impl World {
    pub(super) fn new(core: usize, seed: u64) -> World {
        let address = |n: usize| format!("10.0.0.{}:80", n + 1);
        let bootstrap: Vec<String> = (0..core.min(3)).map(address).collect();
        let voters = bootstrap.iter().map(|a| Voter { id: genesis_id(a), address: a.clone() }).collect();
        let mut world = World {
            now: START,
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

    pub(super) fn up_to(&mut self, n: u64) -> u64 {
        self.chance.rand_range(0..n.max(1))
    }

    pub(super) fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    pub(super) fn take(&mut self, event: Event) {
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

    pub(super) fn run_until(&mut self, end: u64) {
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
}
