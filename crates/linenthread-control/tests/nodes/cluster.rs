//! A few control nodes stepped by hand in one clock: messages take a millisecond, disks forget what they have
//! not synced, links can be cut in one direction, nodes can be frozen.

use std::collections::{BTreeMap, BTreeSet};

use linenthread_consensus::{DurableState, genesis_id};
use linenthread_control::{ControlNode, Effect, NodeConfig, Response};
use linenthread_messages::{PeerMessage, Record, Value, Voter};

const STEP: u64 = 5;

enum Event {
    Opened {
        link: u64,
    },
    Message {
        link: u64,
        message: PeerMessage,
    },
    Closed {
        link: u64,
    },
    Unreached {
        address: String,
    },
    Synced {
        life: u64,
        count: usize,
        then: Vec<(u64, PeerMessage)>,
    },
}

#[derive(Default)]
pub(crate) struct Node {
    pub control: Option<ControlNode>,
    address: String,
    life: u64,
    disk: Vec<Record>,
    unsynced: Vec<Record>,
    pub sync_ms: u64,
    pub frozen: bool,
    backlog: Vec<Event>,
    pub answers: BTreeMap<u64, Response>,
    pub notes: Vec<String>,
}

pub(crate) struct Cluster {
    pub now: u64,
    pub nodes: Vec<Node>,
    genesis: Value,
    links: BTreeMap<u64, (usize, usize)>,
    events: BTreeMap<(u64, u64), (usize, Event)>,
    pub cut: BTreeSet<(usize, usize)>,
    numbers: u64,
    /// Never fewer voters: what may be lost at once is borne by so many.
    least: usize,
}

pub(crate) fn address(n: usize) -> String {
    format!("10.0.0.{n}:80")
}

impl Cluster {
    /// So many nodes, the first `voters` of which vote from the start, and 4 s to find each other.
    pub(crate) fn new(nodes: usize, voters: usize) -> Cluster {
        let voter = |n: usize| Voter {
            id: genesis_id(&address(n)),
            address: address(n),
        };
        let genesis = Value {
            voters: (0..voters).map(voter).collect(),
            ..Value::default()
        };
        let mut cluster = Cluster {
            now: 10_000,
            nodes: Vec::new(),
            genesis,
            links: BTreeMap::new(),
            events: BTreeMap::new(),
            cut: BTreeSet::new(),
            numbers: 0,
            least: voters,
        };
        for n in 0..nodes {
            cluster.nodes.push(Node {
                address: address(n),
                sync_ms: 2,
                ..Node::default()
            });
        }
        (0..voters).for_each(|n| cluster.start(n));
        cluster.run(4_000);
        cluster
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    pub(crate) fn control(&self, n: usize) -> &ControlNode {
        self.nodes[n].control.as_ref().expect("runs")
    }

    /// Starts a node from what its disk holds.
    pub(crate) fn start(&mut self, n: usize) {
        let life = self.number() * 1_000 + 1;
        let mut state = DurableState::default();
        self.nodes[n]
            .disk
            .iter()
            .for_each(|record| state.add(record.clone()));
        let first = state.id.is_none() && self.now == 10_000;
        let id = state
            .id
            .unwrap_or(if first { genesis_id(&address(n)) } else { life });
        let genesis = first.then(|| self.genesis.clone());
        let local = NodeConfig {
            name: format!("node-{n}"),
            zone: "z".into(),
            incarnation: life,
            control_address: address(n),
            may_vote: true,
            min_voters: self.least,
            heartbeat_interval: 1_000,
            bootstrap: (0..3).map(address).collect(),
            is_genesis: first,
            retry_allowance: 10.0,
            retry_window: 10_000,
        };
        let empty = state.id.is_none();
        let control = ControlNode::new(local, id, state, genesis.clone(), self.now);
        let node = &mut self.nodes[n];
        (node.control, node.life, node.frozen) = (Some(control), life, false);
        if empty {
            node.disk.push(Record {
                id: Some(id),
                decided: genesis,
                ..Record::default()
            });
        }
    }

    /// Ends a node without a word; what its disk has not synced is gone.
    pub(crate) fn crash(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        (node.control, node.life) = (None, 0);
        node.unsynced.clear();
        node.backlog.clear();
        let links: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, ends)| ends.0 == n || ends.1 == n)
            .map(|(l, _)| *l)
            .collect();
        links.into_iter().for_each(|link| self.end_link(link, n));
    }

    pub(crate) fn wipe(&mut self, n: usize) {
        self.crash(n);
        self.nodes[n].disk.clear();
    }

    fn push(&mut self, after: u64, to: usize, event: Event) {
        let key = (self.now + after, self.number());
        self.events.insert(key, (to, event));
    }

    fn end_link(&mut self, link: u64, by: usize) {
        let Some((a, b)) = self.links.remove(&link) else {
            return;
        };
        self.push(1, if a == by { b } else { a }, Event::Closed { link });
    }

    /// Runs something at a node and carries out its effects.
    pub(crate) fn at(
        &mut self,
        n: usize,
        run: impl FnOnce(&mut ControlNode, u64, &mut Vec<Effect>),
    ) {
        let now = self.now;
        let mut effects = Vec::new();
        let Some(control) = self.nodes[n].control.as_mut() else {
            return;
        };
        run(control, now, &mut effects);
        for effect in effects {
            self.carry_out(n, effect);
        }
    }

    fn carry_out(&mut self, n: usize, effect: Effect) {
        match effect {
            Effect::Send {
                session: link,
                message: word,
            } => {
                let Some(&(a, b)) = self.links.get(&link) else {
                    return;
                };
                let to = if a == n { b } else { a };
                if !self.cut.contains(&(n, to)) {
                    self.push(
                        1,
                        to,
                        Event::Message {
                            link,
                            message: word,
                        },
                    );
                }
            }
            Effect::Persist { record, then } => {
                let node = &mut self.nodes[n];
                node.unsynced.push(record);
                let (life, after) = (node.life, node.sync_ms);
                self.push(
                    after,
                    n,
                    Event::Synced {
                        life,
                        count: 1,
                        then,
                    },
                );
            }
            Effect::Respond {
                call: token,
                response: answer,
            } => drop(self.nodes[n].answers.insert(token, answer)),
            Effect::Dial(to) => {
                let other = self
                    .nodes
                    .iter()
                    .position(|o| o.address == to && o.control.is_some());
                match other.filter(|&o| !self.cut.contains(&(n, o)) && !self.cut.contains(&(o, n)))
                {
                    Some(other) => {
                        let link = self.number();
                        self.links.insert(link, (n, other));
                        self.push(1, n, Event::Opened { link });
                        self.push(1, other, Event::Opened { link });
                    }
                    None => self.push(1, n, Event::Unreached { address: to }),
                }
            }
            Effect::Close(link) => self.end_link(link, n),
            Effect::Log(line) => self.nodes[n].notes.push(line),
        }
    }

    fn take(&mut self, to: usize, event: Event) {
        if self.nodes[to].frozen {
            self.nodes[to].backlog.push(event);
            return;
        }
        match event {
            Event::Opened { link } if self.links.contains_key(&link) => {
                self.at(to, |c, _, effects| c.opened(link, effects));
            }
            Event::Message { link, message } if self.links.contains_key(&link) => {
                self.at(to, |c, now, effects| {
                    c.on_message(now, link, message, effects);
                });
            }
            Event::Closed { link } => self.at(to, |c, now, effects| c.closed(now, link, effects)),
            Event::Unreached { address } => self.at(to, |c, now, _| c.unreached(now, &address)),
            Event::Synced { life, count, then } if self.nodes[to].life == life => {
                let done: Vec<Record> = self.nodes[to].unsynced.drain(..count).collect();
                self.nodes[to].disk.extend(done);
                self.at(to, |c, now, effects| c.synced(now, then, effects));
            }
            _ => {}
        }
    }

    /// A frozen node goes on: `before` comes to it first, then what has waited.
    pub(crate) fn thaw(
        &mut self,
        n: usize,
        before: impl FnOnce(&mut ControlNode, u64, &mut Vec<Effect>),
    ) {
        self.nodes[n].frozen = false;
        self.at(n, before);
        for event in std::mem::take(&mut self.nodes[n].backlog) {
            self.take(n, event);
        }
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP;
            while let Some((key, _)) = self
                .events
                .first_key_value()
                .filter(|(key, _)| key.0 <= self.now)
            {
                let key = *key;
                let (to, event) = self.events.remove(&key).expect("was seen");
                self.take(to, event);
            }
            for n in 0..self.nodes.len() {
                let now = self.now;
                let due = self.nodes[n]
                    .control
                    .as_ref()
                    .is_some_and(|c| now >= c.next_tick_at(now));
                if due && !self.nodes[n].frozen {
                    self.at(n, linenthread_control::ControlNode::tick);
                }
            }
        }
    }

    /// Runs until it holds, at most so long; whether it came to hold.
    pub(crate) fn run_until(&mut self, ms: u64, holds: impl Fn(&Cluster) -> bool) -> bool {
        let end = self.now + ms;
        while self.now < end && !holds(self) {
            self.run(STEP);
        }
        holds(self)
    }

    /// Sends an order to a node, and tells its token.
    pub(crate) fn order(&mut self, n: usize, base: u64, revision: u64) -> u64 {
        let token = self.number();
        let document = format!("document {revision}").into_bytes();
        self.at(n, |c, now, effects| {
            c.replace(now, token, base, revision, document, effects);
        });
        token
    }

    /// Sends an order until some node acknowledges it, at most so long; the last clear answer.
    pub(crate) fn order_until_answered(
        &mut self,
        ms: u64,
        base: u64,
        revision: u64,
    ) -> Option<Response> {
        let end = self.now + ms;
        let mut n = 0;
        while self.now < end {
            n = (n + 1) % self.nodes.len();
            if self.nodes[n].control.is_none() {
                continue;
            }
            let token = self.order(n, base, revision);
            self.run_until(1_000, |c| c.nodes[n].answers.contains_key(&token));
            match self.nodes[n].answers.get(&token) {
                Some(answer @ (Response::Committed(_) | Response::Conflict(_))) => {
                    return Some(answer.clone());
                }
                _ => self.run(20),
            }
        }
        None
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| {
            n.control
                .as_ref()
                .is_some_and(|c| c.holds_lease(self.now).is_some())
        };
        self.nodes.iter().position(leads)
    }

    /// Addresses of the voters as a node knows them.
    pub(crate) fn voters(&self, n: usize) -> Vec<String> {
        self.control(n)
            .register()
            .voters()
            .iter()
            .map(|v| v.address.clone())
            .collect()
    }

    pub(crate) fn may_leave(&self, n: usize) -> bool {
        self.nodes[n]
            .control
            .as_ref()
            .is_some_and(|c| c.may_leave(self.now))
    }
}
