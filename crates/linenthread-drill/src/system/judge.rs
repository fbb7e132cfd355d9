//! The named rules, each judged where it can be seen.

use linenthread_control::Answer;
use linenthread_messages::Voter;

use super::fronts::{WHOLE, WINDOW};
use super::machines::Node;
use super::operators::Call;
use super::world::{Event, START, World};

impl World {
    pub(super) fn breach(&mut self, what: String) {
        if self.breaches.len() < 5 {
            self.breaches.push(format!("at {} ms: {what}", self.now - START));
        }
    }

    /// At no moment two machines hold the duty, and an epoch belongs to one life.
    pub(super) fn judge_holders(&mut self) {
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

    /// What may have been used within any window by all lives is within the whole.
    pub(super) fn count_shares(&mut self) {
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

    pub(super) fn answered(&mut self, n: usize, token: u64, answer: Answer) {
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
}
