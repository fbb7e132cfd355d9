//! Core machines: process, disk, start and crash, and what a control state machine asks for, carried out.

use linenthread_consensus::{DurableState, genesis_id};
use linenthread_control::{Control, Effect, Local};
use linenthread_messages::Record;

use super::fronts::{WHOLE, WINDOW};
use super::world::{Event, World};

pub(super) struct Node {
    pub(super) address: String,
    pub(super) control: Option<Control>,
    pub(super) life: u64,
    /// What a loss of power leaves, and what was written since.
    pub(super) disk: Vec<Record>,
    pub(super) unsynced: Vec<Record>,
    pub(super) synced: usize,
    pub(super) initial: bool,
    pub(super) began: u64,
    pub(super) removed: bool,
    pub(super) frozen: u64,
    pub(super) sync_ms: u64,
    /// Its steady clock: where it began, and by how many parts of a million it runs ahead.
    pub(super) clock: (u64, i64),
    /// Lost, or had lost its disk, until then.
    pub(super) lost_until: u64,
    pub(super) wiped_until: u64,
    pub(super) seen: u64,
}

impl World {
    pub(super) fn add_node(&mut self, address: String, initial: bool) {
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

    pub(super) fn start(&mut self, n: usize) {
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
    pub(super) fn crash(&mut self, n: usize, back_in: Option<u64>) {
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

    /// Runs something at a hub and carries out what it says.
    pub(super) fn at(&mut self, n: usize, run: impl FnOnce(&mut Control, u64, &mut Vec<Effect>)) {
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
}
