//! Operators that race: each sends a change until it has a clear answer, and reads back.

use super::world::{Event, World};

#[derive(Clone)]
pub(super) struct Change {
    pub(super) base: u64,
    pub(super) revision: u64,
    pub(super) document: Vec<u8>,
}

pub(super) enum Call {
    Replace(usize, Change),
    Read { operator: usize, floor: u64 },
    Drain(String),
    Beat,
}

pub(super) struct Operator {
    pub(super) current: u64,
    pub(super) change: Option<Change>,
    pub(super) waits: Option<(u64, u64)>,
}

impl World {
    pub(super) fn call(&mut self, n: usize, call: Call) -> Option<u64> {
        self.nodes[n].control.as_ref()?;
        self.next += 1;
        let token = self.next;
        self.calls.insert(token, (n, self.now, call));
        Some(token)
    }

    pub(super) fn operator(&mut self, o: usize) {
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
}
