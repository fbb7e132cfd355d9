//! All that there is in one simulated day, and the queue of events.

use std::collections::{BTreeMap, BTreeSet};

use linenthread_consensus::genesis_id;
use linenthread_control::{DeferredMessage, SessionId};
use linenthread_messages::{PeerMessage, Value, Voter};
use linenthread_time::Instant;
use oorandom::Rand64;

use super::fronts::{FIRST_FRONT, FRONTS, Front};
use super::machines::Node;
use super::network::Wire;
use super::operators::{Call, Change, Operator};
use super::schedule::Told;

/// When a day begins, in milliseconds of simulated time.
pub(super) const START: u64 = 1_000_000;
const OPERATORS: usize = 2;

/// What happens at a moment. `to` and `life` name a process; what comes for one that has ended is lost.
#[derive(Clone)]
pub(super) enum Event {
    Opened {
        to: usize,
        life: u64,
        link: u64,
    },
    PeerMessage {
        from: usize,
        sent: u64,
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
    /// A write has come to its end, and what waited on it may be sent.
    Written {
        to: usize,
        life: u64,
    },
    Synced {
        to: usize,
        life: u64,
        then: Vec<DeferredMessage>,
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
    LateOrder,
    AskOnWaking {
        node: usize,
    },
    AskAllAgain,
    Replica,
    Look,
    Trouble,
    DiskIsWell {
        node: usize,
    },
    /// Right after it acknowledged something its disk is lost, or another's.
    LossAfterAck {
        node: usize,
    },
    SecondLoss,
    Leave {
        node: usize,
        successor: usize,
    },
    MayEnd {
        node: usize,
        life: u64,
    },
    Roll {
        node: usize,
    },
    StartOneAnew,
}

pub(super) struct World {
    pub(super) now: u64,
    events: BTreeMap<(u64, u64), Event>,
    order: u64,
    pub(super) chance: Rand64,
    pub(super) nodes: Vec<Node>,
    pub(super) genesis: Value,
    pub(super) bootstrap: Vec<String>,
    pub(super) wires: BTreeMap<u64, Wire>,
    /// The last number that a link or a call was given.
    pub(super) next: u64,
    /// Nothing gets from the first to the second until then.
    pub(super) cuts: BTreeMap<(usize, usize), u64>,
    pub(super) fronts: Vec<Front>,
    /// Shares of lives that have ended, life by life.
    pub(super) past: Vec<Vec<(f64, u64)>>,
    pub(super) operators: Vec<Operator>,
    pub(super) calls: BTreeMap<u64, Call>,
    pub(super) values: BTreeMap<u64, Value>,
    /// What is taken under each number, by the decided values; the same orders as they were sent, oldest
    /// first.
    pub(super) taken: BTreeMap<u64, Vec<u8>>,
    pub(super) history: Vec<Change>,
    /// All orders that were ever sent, and those that were refused.
    pub(super) sent: Vec<Change>,
    pub(super) refused: BTreeSet<(u64, Vec<u8>)>,
    /// Which life held the lease under which epoch.
    pub(super) holders: BTreeMap<u64, u64>,
    pub(super) acked: BTreeMap<u64, Change>,
    /// What was acknowledged on top of which version.
    pub(super) acked_bases: BTreeMap<u64, u64>,
    pub(super) heartbeats: BTreeMap<String, u64>,
    pub(super) draining: BTreeSet<String>,
    pub(super) calm: bool,
    pub(super) calm_from: Option<u64>,
    pub(super) breaches: Vec<String>,
    pub(super) told: Told,
    pub(super) budget: usize,
    /// What a sync takes on a disk in no trouble.
    pub(super) sync_ms: u64,
    /// How many changes a day of many brings.
    pub(super) changes: Option<usize>,
    /// Operators pick the same numbers for different changes.
    pub(super) same_numbers: bool,
    /// A day of replacements, one after another, and little else.
    pub(super) replacements: bool,
    pub(super) traced: bool,
    /// Troubles come so far apart at the most.
    pub(super) trouble_gap: u64,
}

impl World {
    pub(super) fn new(core: usize, seed: u64, traced: bool) -> World {
        let address = |n: usize| format!("10.0.0.{}:80", n + 1);
        let bootstrap: Vec<String> = (0..core.min(3)).map(address).collect();
        let voters = bootstrap
            .iter()
            .map(|a| Voter {
                id: genesis_id(a),
                address: a.clone(),
            })
            .collect();
        let mut world = World {
            now: START,
            events: BTreeMap::new(),
            order: 0,
            chance: Rand64::new(u128::from(seed)),
            nodes: Vec::new(),
            genesis: Value {
                voters,
                ..Value::default()
            },
            bootstrap,
            wires: BTreeMap::new(),
            next: 0,
            cuts: BTreeMap::new(),
            fronts: Vec::new(),
            past: Vec::new(),
            operators: Vec::new(),
            calls: BTreeMap::new(),
            values: BTreeMap::new(),
            taken: BTreeMap::new(),
            history: Vec::new(),
            sent: Vec::new(),
            refused: BTreeSet::new(),
            holders: BTreeMap::new(),
            acked: BTreeMap::new(),
            acked_bases: BTreeMap::new(),
            heartbeats: BTreeMap::new(),
            draining: BTreeSet::new(),
            calm: false,
            calm_from: None,
            breaches: Vec::new(),
            told: Told::default(),
            budget: (core - 1) / 2,
            sync_ms: 2,
            changes: None,
            same_numbers: false,
            replacements: false,
            traced,
            trouble_gap: 4_000,
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
        for o in 0..OPERATORS {
            world.operators.push(Operator::default());
            let at = world.now + 1_500 + world.up_to(2_000);
            world.push(at, Event::Operator { operator: o });
        }
        world.push(world.now + 2_000, Event::Replica);
        world.push(world.now + 2_000, Event::Look);
        world.push(world.now + 3_000, Event::Trouble);
        world.push(world.now + 4_000, Event::LateOrder);
        world
    }

    pub(super) fn up_to(&mut self, n: u64) -> u64 {
        self.chance.rand_range(0..n.max(1))
    }

    pub(super) fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    /// Whether this very life of a process is there still.
    fn lives(&self, to: usize, life: u64) -> bool {
        match to.checked_sub(FIRST_FRONT) {
            Some(front) => self.fronts[front].life == life,
            None => self.is_up(to) && self.nodes[to].life == life,
        }
    }

    /// What comes for a process: lost with its end, taken when it wakes where it is frozen.
    fn take(&mut self, event: Event) {
        let to = match &event {
            Event::Opened { to, life, .. }
            | Event::PeerMessage { to, life, .. }
            | Event::Closed { to, life, .. }
            | Event::Unreached { to, life, .. }
            | Event::Synced { to, life, .. } => Some((*to, *life)),
            _ => None,
        };
        if let Some((to, life)) = to {
            if !self.lives(to, life) {
                return;
            }
            if to < FIRST_FRONT && self.nodes[to].frozen > self.now {
                let at = self.nodes[to].frozen;
                self.push(at, event);
                return;
            }
        }
        self.take_now(event);
    }

    fn take_now(&mut self, event: Event) {
        match event {
            Event::Opened { to, link, .. } => {
                if to < FIRST_FRONT && self.wires.contains_key(&link) {
                    self.at(to, |c, _, out| c.on_session_opened(SessionId(link), out));
                }
            }
            Event::PeerMessage {
                from,
                sent,
                to,
                link,
                word,
                ..
            } => match to.checked_sub(FIRST_FRONT) {
                Some(front) if self.fronts[front].link == Some(link) => {
                    self.front_hears(front, word);
                }
                None if self.wires.contains_key(&link) => self.deliver(from, sent, to, link, word),
                _ => {}
            },
            Event::Closed { to, link, .. } => match to.checked_sub(FIRST_FRONT) {
                Some(front) if self.fronts[front].link == Some(link) => self.front_is_closed(front),
                Some(_) => {}
                None => self.at(to, |c, now, out| {
                    c.on_session_closed(now, SessionId(link), out);
                }),
            },
            Event::Unreached { to, address, .. } => {
                self.at(to, |c, now, _| c.on_dial_failed(now, &address));
            }
            Event::Written { to, life } => self.written(to, life),
            Event::Synced { to, then, .. } => {
                self.at(to, |c, now, out| c.on_synced(now, then, out));
            }
            Event::Start { node } => self.start(node),
            Event::Front { front } => self.front(front),
            Event::Operator { operator } => self.operator(operator),
            Event::LateOrder => self.late_order(),
            Event::AskOnWaking { node } => self.ask_on_waking(node),
            Event::AskAllAgain => self.ask_all_again(),
            Event::Replica => self.replica(),
            Event::Look => self.look_at_fronts(),
            Event::Trouble => self.trouble(),
            Event::DiskIsWell { node } => self.disk_is_well(node),
            Event::LossAfterAck { node } => self.loss_after_ack(node),
            Event::SecondLoss => self.second_loss(),
            Event::Leave { node, successor } => self.leave_for_good(node, successor),
            Event::MayEnd { node, life } => self.may_end(node, life),
            Event::Roll { node } => self.roll(node),
            Event::StartOneAnew => self.start_one_anew(),
        }
    }

    pub(super) fn run_until(&mut self, end: u64) {
        while self.now < end {
            let next = self.events.first_key_value().map_or(u64::MAX, |(k, _)| k.0);
            // Control nodes tick by themselves.
            let tick = self.now + 10;
            if next > tick {
                self.now = tick.min(end);
                for n in 0..self.nodes.len() {
                    let clock = Instant::from_millis(self.clock(n));
                    let due = self.nodes[n]
                        .control
                        .as_ref()
                        .is_some_and(|c| clock >= c.next_tick_at(clock));
                    if due && self.nodes[n].frozen <= self.now {
                        self.at(n, linenthread_control::ControlNode::tick);
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
