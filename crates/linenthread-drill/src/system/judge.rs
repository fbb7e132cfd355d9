//! The named rules, each judged where it can be seen.

use linenthread_consensus::{Register, document_digest};
use linenthread_control::{ControlNode, Response};
use linenthread_messages::{OrderIdentity, Value, Voter};
use linenthread_time::Instant;

use super::contact::CONTACT_BOUND;
use super::disk::COMPACT_ABOVE;
use super::fronts::{FRONTS, WHOLE, WINDOW};
use super::machines::Node;
use super::operators::{Change, Request};
use super::world::{Event, START, World};

/// Breaches of one day that are told; more say little.
const TOLD: usize = 5;
/// Bytes of a log beside what it holds: the last records before it is compacted.
const LOG_SLACK: u64 = 64 << 10;
/// Bytes of a durable state beside those that go with the number of changes.
const STATE_BYTES: usize = 64 << 10;

impl World {
    pub(super) fn breach(&mut self, what: String) {
        self.trace(&what);
        if self.breaches.len() < TOLD {
            self.breaches
                .push(format!("at {} ms: {what}", self.now - START));
        }
    }

    /// *nothing-goes-back*, *one-value-a-number*: what this machine has decided by now.
    pub(super) fn judge_decided(&mut self, n: usize) {
        let decided = |c: &ControlNode| c.register().decided().cloned();
        let Some(decided) = self.nodes[n].control.as_ref().and_then(decided) else {
            return;
        };
        let (seen, number) = (self.nodes[n].seen, decided.number);
        if number < seen {
            self.breach(format!(
                "nothing-goes-back: hub {n} had {seen}, now {number}"
            ));
        }
        self.nodes[n].seen = number;
        match self.values.get(&number) {
            Some(other) if *other != decided => {
                self.breach(format!(
                    "one-value-a-number: two values of number {number}, at hub {n}"
                ));
            }
            Some(_) => {}
            None => self.note_value(decided),
        }
        self.judge_catch_up(n, number);
    }

    /// A value is decided: so the drill knows what is taken, whoever has an answer.
    fn note_value(&mut self, value: Value) {
        let is_order = value.revision > 0 && !self.taken.contains_key(&value.revision);
        if is_order {
            self.taken.insert(value.revision, value.document.to_vec());
            let is =
                |c: &&Change| c.revision == value.revision && c.document[..] == value.document[..];
            let sent = self.sent.iter().rev().find(is).cloned();
            if let Some(change) = sent {
                if self
                    .refused
                    .contains(&(change.revision, change.document.clone()))
                {
                    let revision = change.revision;
                    self.breach(format!(
                        "taken-is-never-refused: {revision} was refused, and is taken now"
                    ));
                }
                self.history.push(change);
            }
        } else if value.revision > 0 && self.taken[&value.revision][..] != value.document[..] {
            self.breach(format!(
                "one-a-number: two configurations are decided under {}",
                value.revision
            ));
        }
        self.values.insert(value.number, value);
    }

    pub(super) fn newest_number(&self) -> u64 {
        self.values
            .last_key_value()
            .map_or(0, |(number, _)| *number)
    }

    fn is_taken(&self, change: &Change) -> bool {
        self.taken
            .get(&change.revision)
            .is_some_and(|document| *document == change.document)
    }

    /// *one-holder-an-epoch*: at no moment two machines hold the lease, and an epoch belongs to one life.
    pub(super) fn judge_holders(&mut self) {
        let held = |n: usize| {
            self.nodes[n]
                .control
                .as_ref()?
                .lease_epoch(Instant::from_millis(self.clock(n)))
        };
        let holders: Vec<(usize, u64)> = (0..self.nodes.len())
            .filter_map(|n| held(n).map(|e| (n, e)))
            .collect();
        if holders.len() > 1 {
            self.breach(format!(
                "one-holder-an-epoch: hubs and their epochs {holders:?} at once"
            ));
        }
        for (n, epoch) in holders {
            let life = self.nodes[n].life;
            if *self.holders.entry(epoch).or_insert(life) != life {
                self.breach(format!(
                    "one-holder-an-epoch: {epoch} is held by a second life, of hub {n}"
                ));
            }
        }
    }

    /// *shares-within-the-whole*: what may have been used within any window by all lives.
    pub(super) fn count_shares(&mut self) {
        let now = self.now;
        let mut sum = 0.0;
        for front in &mut self.fronts {
            front.held.retain(|h| h.1 + WINDOW > now);
            sum += front.held.iter().map(|h| h.0).fold(0.0, f64::max);
        }
        self.past
            .iter_mut()
            .for_each(|life| life.retain(|h| h.1 + WINDOW > now));
        self.past.retain(|life| !life.is_empty());
        sum += self
            .past
            .iter()
            .map(|life| life.iter().map(|h| h.0).fold(0.0, f64::max))
            .sum::<f64>();
        if sum > WHOLE + 1e-6 {
            self.breach(format!(
                "shares-within-the-whole: {sum} of {WHOLE} may be in use"
            ));
        }
    }

    // --- answers ---

    pub(super) fn answered(&mut self, n: usize, token: u64, answer: Response) {
        let Some(call) = self.calls.remove(&token) else {
            return;
        };
        match &answer {
            // Only what is decided is acknowledged, see `acknowledged`: a machine that has just started may tell
            // so by the word of one other, which has no contact to have lost.
            Response::Committed(_) if self.now < self.nodes[n].began + CONTACT_BOUND => {}
            Response::Committed(revision) => self.judge_contact(n, &format!("Taken {revision}")),
            Response::Conflict(revision) => self.judge_contact(n, &format!("Conflict {revision}")),
            Response::Document(value) => {
                self.judge_contact(n, &format!("Document {}", value.revision));
            }
            Response::Acknowledged(_) => self.judge_contact(n, "Heard"),
            _ => {}
        }
        match (call.request, answer) {
            (Request::Replace { operator, change }, Response::Committed(_)) => {
                self.acknowledged(n, operator, change);
            }
            (Request::Replace { operator, change }, Response::Conflict(revision)) => {
                self.judge_refusal(n, &change, 0);
                self.refused.insert((change.revision, change.document));
                let operator = &mut self.operators[operator];
                (operator.current, operator.change, operator.waits) = (revision, None, None);
            }
            (Request::Replace { operator, .. }, _) => self.operators[operator].waits = None,
            (Request::Again { change, .. }, Response::Committed(_)) => {
                self.told.again_taken += 1;
                self.judge_acknowledgement(n, &change);
            }
            (Request::Again { change, later }, Response::Conflict(_)) => {
                self.judge_refusal(n, &change, later);
            }
            (Request::Again { .. }, _) => self.told.again_unclear += 1,
            (Request::Rival { change }, Response::Committed(_)) => {
                let revision = change.revision;
                self.breach(format!(
                    "one-a-number: another order under {revision} is acknowledged by {n}"
                ));
            }
            (Request::Rival { .. }, Response::Conflict(_)) => self.told.rivals_refused += 1,
            (Request::Read { operator, floor }, Response::Document(value)) => {
                self.judge_read(operator, floor, &value);
            }
            (Request::Drain(ident), Response::Acknowledged(_)) => self.judge_drain(n, &ident),
            _ => {}
        }
    }

    /// *taken-is-never-refused*.
    fn judge_refusal(&mut self, n: usize, change: &Change, later: usize) {
        if self.is_taken(change) {
            let revision = change.revision;
            self.breach(format!(
                "taken-is-never-refused: {revision} is refused by {n}, {later} orders later"
            ));
        }
    }

    /// *one-a-number*: what is acknowledged is the one decided under its number.
    fn judge_acknowledgement(&mut self, n: usize, change: &Change) {
        if !self.is_taken(change) {
            let revision = change.revision;
            self.breach(format!(
                "one-a-number: {revision} is acknowledged by {n} and is not what is decided"
            ));
        }
    }

    /// *one-a-base*: an order is acknowledged.
    fn acknowledged(&mut self, n: usize, operator: usize, change: Change) {
        self.told.acks += 1;
        let (base, revision) = (change.base, change.revision);
        if !self.is_taken(&change) {
            self.breach(format!(
                "one-a-number: {revision} is acknowledged by {n} and is not what is decided"
            ));
        }
        let twin = self
            .acked_bases
            .insert(base, revision)
            .filter(|other| *other != revision);
        if let Some(other) = twin {
            self.breach(format!(
                "one-a-base: {other} and {revision} are both acknowledged on top of {base}"
            ));
        }
        let state = &mut self.operators[operator];
        (state.current, state.change, state.waits) = (revision, None, None);
        self.acked.insert(revision, change);
        if !self.calm && self.up_to(if self.is_fast() { 120 } else { 12 }) == 0 {
            let wait = 1 + self.up_to(3);
            self.push(self.now + wait, Event::LossAfterAck { node: n });
        }
    }

    /// *reads-are-newest*, *acked-lasts*.
    fn judge_read(&mut self, operator: usize, floor: u64, value: &Value) {
        self.told.reads += 1;
        if value.revision < floor {
            self.breach(format!(
                "reads-are-newest: {} was read, {floor} was acknowledged",
                value.revision
            ));
        }
        let sent = self.acked.get(&value.revision);
        if sent.is_some_and(|c| c.document != value.document) {
            self.breach(format!(
                "acked-lasts: {} reads back as another",
                value.revision
            ));
        }
        self.operators[operator].current = value.revision;
    }

    /// *drains-are-known*: to more than half of those that count.
    fn judge_drain(&mut self, n: usize, ident: &str) {
        self.told.drains += 1;
        let Some(register) = self.nodes[n].control.as_ref().map(ControlNode::register) else {
            return;
        };
        let voters: Vec<Voter> = register.voters().to_vec();
        let known = voters.iter().filter(|v| self.knows_drain(v, ident)).count();
        // One that knew and died since, even if it is back, counts as knowing.
        let down = voters
            .iter()
            .filter(|v| !self.has_run_for_a_while(v))
            .count();
        if (known + down) * 2 <= voters.len() {
            self.breach(format!(
                "drains-are-known: {known} of {} know of {ident}",
                voters.len()
            ));
        }
    }

    fn knows_drain(&self, voter: &Voter, ident: &str) -> bool {
        let knows = |c: &ControlNode| {
            let told = c.registry().get(ident).map(|known| &known.replica);
            told.is_some_and(|t| t.draining || t.removed_for_good)
        };
        let mut controls = self.nodes.iter().filter_map(|o| o.control.as_ref());
        controls.any(|c| c.register().id() == voter.id && knows(c))
    }

    fn has_run_for_a_while(&self, voter: &Voter) -> bool {
        let is = |o: &Node| {
            o.control
                .as_ref()
                .map(ControlNode::register)
                .map(Register::id)
                == Some(voter.id)
        };
        self.nodes
            .iter()
            .any(|o| is(o) && o.began + 1_500 < self.now)
    }

    // --- at the end of a day ---

    /// *all-comes-back*, *acked-lasts*, *bounded-state*.
    pub(super) fn judge_end(&mut self, acks_before_calm: usize) {
        if self.told.acks == acks_before_calm {
            self.breach("all-comes-back: no change was acknowledged after the troubles".into());
        }
        let newest = self
            .values
            .last_key_value()
            .map(|(_, v)| v.clone())
            .unwrap_or_default();
        let lost = |c: &&Change| !self.is_taken(c);
        let lost: Vec<u64> = self
            .acked
            .values()
            .filter(lost)
            .map(|c| c.revision)
            .collect();
        for revision in lost {
            self.breach(format!("acked-lasts: {revision} is not in the chain"));
        }
        for (n, revision) in self.missing_in_ledgers() {
            self.breach(format!(
                "acked-lasts: {revision} is not in the ledger of {n}"
            ));
        }
        let (last_acked, last) = (
            self.acked.keys().last().copied().unwrap_or(0),
            newest.revision,
        );
        if last < last_acked {
            self.breach(format!(
                "acked-lasts: {last_acked} is acknowledged, {last} is the newest"
            ));
        }
        self.judge_fronts_at_the_end();
        let live = self.nodes.iter().filter(|n| !n.removed).count();
        let count = newest.voters.len();
        if count != live && !self.one_stands_by(count, live) {
            self.breach(format!(
                "all-comes-back: {count} disks count, {live} machines are there"
            ));
        }
        self.judge_still_behind();
        self.judge_state_bytes();
    }

    /// Each machine that has got so far knows each acknowledged order, replaced disks too.
    fn missing_in_ledgers(&self) -> Vec<(usize, u64)> {
        let mut missing = Vec::new();
        for (n, node) in self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| !node.removed)
        {
            let Some(register) = node.control.as_ref().map(ControlNode::register) else {
                continue;
            };
            let newest = register.decided().map_or(0, |d| d.revision);
            for change in self
                .acked
                .values()
                .filter(|change| change.revision <= newest)
            {
                let digest = document_digest(&change.document);
                let order = OrderIdentity {
                    revision: change.revision,
                    base: change.base,
                    digest,
                };
                if !register.order_log().contains(&order) {
                    missing.push((n, change.revision));
                }
            }
        }
        missing
    }

    /// The last changes may be on their way: what fronts have is one of the last moments' values.
    fn judge_fronts_at_the_end(&mut self) {
        let behind = self.acked.keys().rev().nth(3).copied().unwrap_or(0);
        for f in 0..FRONTS {
            let (revision, confirmed) = (self.fronts[f].revision, self.fronts[f].confirmed);
            if revision < behind || !confirmed {
                self.breach(format!(
                    "all-comes-back: front {f} has {revision}, confirmed {confirmed}, of {behind}"
                ));
            }
        }
    }

    fn judge_state_bytes(&mut self) {
        let most_state =
            (STATE_BYTES + super::catch_up::BYTES_A_CHANGE * self.history.len()) as u64;
        for n in 0..self.nodes.len() {
            let (log, state) = (
                self.nodes[n].disk.log_bytes(),
                self.nodes[n].disk.state_bytes(),
            );
            self.told.most_state_bytes = self.told.most_state_bytes.max(state as usize);
            if state > most_state || log > COMPACT_ABOVE.max(state) + LOG_SLACK {
                self.breach(format!(
                    "bounded-state: {n} keeps {state} bytes, in a log of {log}"
                ));
            }
        }
    }
}
