//! Core machines: start and end of their processes, and what a control state machine asks for, carried out.

use std::collections::BTreeMap;
use std::time::Duration;

use linenthread_consensus::genesis_id;
use linenthread_control::{ControlNode, Effect, NodeConfig, SessionId};
use linenthread_messages::{PeerMessage, Record};

use super::catch_up::CatchUp;
use super::disk::Disk;
use super::fronts::{WHOLE, WINDOW};
use super::leaving::Leaving;
use super::world::{Event, World};
use linenthread_time::Instant;

pub(super) struct Node {
    pub(super) address: String,
    pub(super) control: Option<ControlNode>,
    pub(super) life: u64,
    pub(super) disk: Disk,
    /// The addresses that its settings name.
    pub(super) bootstrap: Vec<String>,
    pub(super) initial: bool,
    pub(super) began: u64,
    pub(super) removed: bool,
    pub(super) frozen: u64,
    pub(super) leaving: Option<Leaving>,
    /// Its steady clock: where it began, and by how many parts of a million it runs ahead.
    pub(super) clock: (u64, i64),
    /// Counts as lost until then, see `budget`.
    pub(super) lost_until: u64,
    /// Had lost its disk, until then.
    pub(super) wiped_until: u64,
    pub(super) seen: u64,
    /// By disk: when the newest word from it was sent that arrived here, and the newest one of ours that
    /// arrived there.
    pub(super) heard: BTreeMap<u64, u64>,
    pub(super) reached: BTreeMap<u64, u64>,
    pub(super) catch_up: Option<CatchUp>,
}

/// How a process ends.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum End {
    /// The machine runs on: what was written is there.
    Kill,
    Power,
}

impl World {
    pub(super) fn add_node(&mut self, address: String, initial: bool) -> usize {
        let clock = (self.up_to(1 << 40), self.up_to(401) as i64 - 200);
        self.nodes.push(Node {
            clock,
            address,
            control: None,
            life: 0,
            disk: Disk::new(self.sync_ms),
            bootstrap: self.bootstrap.clone(),
            initial,
            began: 0,
            removed: false,
            frozen: 0,
            leaving: None,
            lost_until: 0,
            wiped_until: 0,
            seen: 0,
            heard: BTreeMap::new(),
            reached: BTreeMap::new(),
            catch_up: None,
        });
        self.nodes.len() - 1
    }

    pub(super) fn is_up(&self, n: usize) -> bool {
        self.nodes[n].control.is_some()
    }

    /// Runs, and is not frozen.
    pub(super) fn is_running(&self, n: usize) -> bool {
        self.is_up(n) && self.nodes[n].frozen <= self.now
    }

    pub(super) fn start(&mut self, n: usize) {
        if self.nodes[n].removed || self.nodes[n].control.is_some() {
            return;
        }
        let Some(kept) = self.open_disk(n) else {
            return;
        };
        let (life, clock) = (self.chance.rand_u64() | 1, self.clock(n));
        let node = &self.nodes[n];
        let own = node.address.clone();
        let first = kept.id.is_none() && node.initial && self.bootstrap.contains(&own);
        let id = kept
            .id
            .unwrap_or(if first { genesis_id(&own) } else { life });
        let genesis = node.initial.then(|| self.genesis.clone());
        let local = NodeConfig {
            name: format!("hub-{n}"),
            zone: format!("z{}", n % 3),
            incarnation: life,
            control_address: own,
            may_vote: true,
            min_voters: 2 * self.budget + 1,
            heartbeat_interval: Duration::from_millis(1_000),
            bootstrap: node.bootstrap.clone(),
            is_genesis: node.initial && kept.id.is_none(),
            retry_allowance: WHOLE,
            retry_window: Duration::from_millis(WINDOW),
        };
        let empty = kept.id.is_none();
        let control = ControlNode::new(
            local,
            id,
            kept,
            genesis.clone(),
            Instant::from_millis(clock),
        );
        self.trace(&format!("{n} starts"));
        let goal = self.newest_number();
        let node = &mut self.nodes[n];
        (node.control, node.life, node.seen, node.frozen) = (Some(control), life, 0, 0);
        (node.began, node.initial, node.leaving) = (self.now, false, None);
        (node.heard, node.reached) = (BTreeMap::new(), BTreeMap::new());
        node.catch_up = Some(CatchUp::new(goal, self.now));
        if empty {
            self.keep(
                n,
                Record {
                    id: Some(id),
                    decided: genesis,
                    ..Record::default()
                },
                Vec::new(),
            );
        }
    }

    /// The process ends, and is started again after so long.
    pub(super) fn crash(&mut self, n: usize, end: End, back_in: Option<u64>) {
        self.trace(&format!("{n} ends, back in {back_in:?}"));
        self.close_disk(n, end == End::Power);
        let node = &mut self.nodes[n];
        (node.control, node.life, node.leaving, node.catch_up) = (None, 0, None, None);
        let links: Vec<u64> = self
            .wires
            .iter()
            .filter(|(_, w)| w.ends.iter().any(|e| e.0 == n))
            .map(|(l, _)| *l)
            .collect();
        for link in links {
            self.end_link(link, n);
        }
        self.calls.retain(|_, call| call.node != n);
        if let Some(wait) = back_in {
            self.count_lost(n, self.now + wait);
            self.push(self.now + wait, Event::Start { node: n });
        }
    }

    /// The process ends and its disk is lost; it comes back empty, at the same address.
    pub(super) fn lose_disk(&mut self, n: usize, back_in: u64) {
        self.crash(n, End::Power, Some(back_in));
        let until = self.now + back_in + super::budget::SYNC;
        let node = &mut self.nodes[n];
        node.disk.lose_all();
        (node.initial, node.wiped_until) = (false, until);
    }

    /// A word arrives at a core machine: it has proof of contact with who sent it.
    pub(super) fn deliver(
        &mut self,
        from: usize,
        sent: u64,
        to: usize,
        link: u64,
        word: PeerMessage,
    ) {
        if let Some(catch_up) = &mut self.nodes[to].catch_up {
            catch_up.count(&word);
        }
        if from < super::fronts::FIRST_FRONT {
            let id = |w: &World, n: usize| w.nodes[n].control.as_ref().map(|c| c.register().id());
            if let (Some(there), Some(here)) = (id(self, from), id(self, to)) {
                newest(&mut self.nodes[to].heard, there, sent);
                // Not what an earlier life had sent.
                if self.nodes[from].began <= sent {
                    newest(&mut self.nodes[from].reached, here, sent);
                }
            }
        }
        self.at(to, |c, now, out| {
            c.on_message(now, SessionId(link), word, out);
        });
    }

    /// Runs something at a core machine and carries out what it says.
    pub(super) fn at(
        &mut self,
        n: usize,
        run: impl FnOnce(&mut ControlNode, Instant, &mut Vec<Effect>),
    ) {
        let clock = Instant::from_millis(self.clock(n));
        let mut out = Vec::new();
        let Some(control) = self.nodes[n].control.as_mut() else {
            return;
        };
        run(control, clock, &mut out);
        self.judge_decided(n);
        self.judge_holders();
        for effect in out {
            self.carry_out(n, effect);
        }
    }

    fn carry_out(&mut self, n: usize, effect: Effect) {
        match effect {
            Effect::Send { session, message } => self.send(n, session.0, message),
            Effect::Persist { record, after_sync } => self.keep(n, record, after_sync),
            Effect::Respond { call, response } => self.answered(n, call.0, response),
            Effect::Dial(address) => self.dial(n, address),
            Effect::Close(session) => self.end_link(session.0, n),
            Effect::Log(event) => self.trace(&format!("{n}: {event}")),
        }
    }

    fn dial(&mut self, n: usize, address: String) {
        let (now, life) = (self.now, self.nodes[n].life);
        let to = self
            .nodes
            .iter()
            .position(|o| o.address == address && !o.removed);
        if let Some(t) = to.filter(|&t| self.is_up(t) && !self.is_cut_either_way(n, t)) {
            let (to_life, delay) = (self.nodes[t].life, self.delay());
            let link = self.open(n, life, t, to_life);
            self.push(now + delay, Event::Opened { to: n, life, link });
            self.push(
                now + delay,
                Event::Opened {
                    to: t,
                    life: to_life,
                    link,
                },
            );
        } else {
            let wait = if to.is_some() { 700 } else { 5 };
            self.push(
                now + wait,
                Event::Unreached {
                    to: n,
                    life,
                    address,
                },
            );
        }
    }
}

fn newest(times: &mut BTreeMap<u64, u64>, disk: u64, sent: u64) {
    let time = times.entry(disk).or_default();
    *time = sent.max(*time);
}
