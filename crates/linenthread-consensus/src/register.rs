use std::time::Duration;

use linenthread_messages::{
    Accept, AcceptAck, CatchUpRequest, OrderLogEntries, OrderLogRequest, PeerMessage, Prepare,
    Promise, ReadReply, ReadRequest, Record, Rejected, Synced, Value, Voter,
};
use linenthread_time::Instant;

use crate::acceptor::Acceptor;
use crate::decided_state::DecidedState;
use crate::durability::Durability;
use crate::durable_state::DurableState;
use crate::effects::{Effect, JobId, Outcome};
use crate::order::Change;
use crate::order_log::OrderLog;
use crate::order_log_catch_up::OrderLogCatchUp;
use crate::proposer::{LearnedFrom, Proposer};
use crate::reader::{ReadStep, Reader};

/// A message that got no answer is sent again after so long.
pub(crate) const RESEND_AFTER: Duration = Duration::from_millis(150);
/// A round or question that comes to nothing is begun anew after so long.
pub(crate) const ROUND_TIMEOUT: Duration = Duration::from_millis(450);
/// Jobs that may wait, of each kind.
pub(crate) const WAITING_JOBS: usize = 64;

/// One node's part in the agreement: acceptor, if its disk counts, proposer and reader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Register {
    id: u64,
    decided: DecidedState,
    acceptor: Acceptor,
    proposer: Proposer,
    reader: Reader,
    catch_up: OrderLogCatchUp,
    durability: Durability,
}

impl Register {
    /// From what the disk holds; `genesis` is value 0 where all start for the first time. `incarnation` is the same in no
    /// other incarnation of any node.
    pub fn new(id: u64, kept: DurableState, genesis: Option<Value>, incarnation: u64) -> Register {
        let durability = Durability::new(id, kept.decided_number());
        let (value, order_log, acceptor) = kept.into_parts(genesis);
        Register {
            id,
            decided: DecidedState::new(value, order_log),
            acceptor,
            proposer: Proposer::new(incarnation),
            reader: Reader::new(incarnation),
            catch_up: OrderLogCatchUp::new(id),
            durability,
        }
    }

    /// The name of this node's disk.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The newest value that this node knows to be decided.
    pub fn decided(&self) -> Option<&Value> {
        self.decided.value()
    }

    /// Those whose disks decide the next value.
    pub fn voters(&self) -> &[Voter] {
        self.decided.voters()
    }

    /// Whether these are more than half of the counted disks.
    pub fn is_majority(&self, ids: impl IntoIterator<Item = u64>) -> bool {
        self.decided.is_majority(ids)
    }

    /// Its disk took part in a value that, as far as it knows, is not decided.
    pub fn has_undecided(&self) -> bool {
        self.acceptor.has_undecided()
    }

    /// Sees to it that what is in doubt is decided.
    pub fn complete(&mut self) {
        if self.acceptor.has_undecided() {
            self.proposer.complete();
        }
    }

    /// Something waits for messages that may be lost.
    pub fn is_busy(&self) -> bool {
        self.proposer.is_busy() || self.reader.is_busy()
    }

    /// The orders that were taken, as far as this node knows them.
    pub fn order_log(&self) -> &OrderLog {
        self.decided.order_log()
    }

    /// Number of the newest decided value that is synced on this node's disk; 0 if none.
    pub fn durable_number(&self) -> u64 {
        self.durability.number()
    }

    /// The ledger lacks nothing that others have, within its bound.
    pub fn order_log_complete(&self) -> bool {
        self.decided.value().is_some() && self.decided.order_log().is_complete()
    }

    /// The ledger is complete, and all of it that came apart from values is synced on this node's disk.
    pub fn order_log_durable(&self) -> bool {
        self.order_log_complete() && self.durability.holds_order_log()
    }

    /// The newest decided value that this node knows and all of the ledger are synced on its disk: only then may
    /// it begin to count.
    pub fn holds_all_durably(&self) -> bool {
        self.order_log_durable() && self.durability.holds(self.decided.number())
    }

    /// Wants a change by then.
    pub fn propose(
        &mut self,
        now: Instant,
        job: JobId,
        change: Change,
        until: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if self.decided.value().is_none() || !self.proposer.add(job, change, until) {
            effects.push(Effect::Reply {
                job,
                outcome: Outcome::Unknown,
            });
            return;
        }
        self.tick(now, effects);
    }

    /// Wants the newest value by then.
    pub fn read(&mut self, now: Instant, job: JobId, until: Instant, effects: &mut Vec<Effect>) {
        if self.decided.value().is_none() || !self.reader.add(job, until) {
            effects.push(Effect::Reply {
                job,
                outcome: Outcome::Unknown,
            });
            return;
        }
        self.tick(now, effects);
    }

    /// Ends what took too long, sends again what got no answer, begins what waits.
    pub fn tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.expire(now, effects);
        self.reader.tick(now, &self.decided, effects);
        self.proposer.tick(now, &self.decided, effects);
        self.catch_up.tick(now, &mut self.decided, effects);
        self.persist_again(now, effects);
    }

    fn expire(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.proposer.expire(now, effects);
        self.reader.expire(now, effects);
    }

    /// The disk drops records when too many wait: they are handed over again.
    fn persist_again(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if !self.durability.is_overdue(now, self.decided.number()) {
            return;
        }
        if let Some(value) = self.decided.value() {
            self.durability.persist_value(now, value, effects);
        }
        let orders = self.decided.order_log().iter().collect();
        self.durability
            .persist_complete_order_log(now, orders, effects);
    }

    /// A message from the node of a disk; what is not for the register is passed over. What is too old by `now` ends
    /// first, so that no message that waited while this node was frozen brings it to an end of another kind.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: u64,
        message: PeerMessage,
        effects: &mut Vec<Effect>,
    ) {
        self.expire(now, effects);
        match message {
            PeerMessage::Prepare(request) => self.on_prepare(now, from, &request, effects),
            PeerMessage::Accept(request) => self.on_accept(from, request, effects),
            PeerMessage::Promise(promise) => self.on_promise(now, from, promise, effects),
            PeerMessage::AcceptAck(acknowledgement) => {
                self.on_accept_ack(now, from, &acknowledgement, effects);
            }
            PeerMessage::Rejected(rejected) => self.on_rejected(now, &rejected),
            PeerMessage::CatchUpRequest(request) => {
                self.on_catch_up_request(from, &request, effects);
            }
            PeerMessage::Decided(value) => {
                self.adopt(now, value, LearnedFrom::AnotherNode, effects);
            }
            PeerMessage::ReadRequest(request) => self.on_read_request(from, &request, effects),
            PeerMessage::ReadReply(reply) => self.on_read_reply(now, from, &reply, effects),
            PeerMessage::OrderLogRequest(request) => {
                self.on_ledger_request(from, &request, effects);
            }
            PeerMessage::OrderLogEntries(entries) => {
                self.on_ledger_entries(now, from, entries, effects);
            }
            PeerMessage::Synced(synced) if from == self.id => self.on_synced(&synced),
            _ => {}
        }
    }

    // --- acceptor ---

    /// Whether this disk may say anything on a number; otherwise the other side is told what it lacks, or this
    /// one asks for it.
    fn takes_part(&self, from: u64, number: u64, effects: &mut Vec<Effect>) -> bool {
        let Some(value) = self.decided.value() else {
            effects.push(ask_to_catch_up(from, 0));
            return false;
        };
        if number <= value.number {
            effects.push(Effect::Send {
                to: from,
                message: PeerMessage::Decided(value.clone()),
            });
            return false;
        }
        if number > value.number + 1 {
            effects.push(ask_to_catch_up(from, value.number));
            return false;
        }
        // Its disk may hold acceptances for a later number: this one is decided then, and another node says what.
        number >= self.acceptor.number() && self.decided.counts(self.id)
    }

    fn on_prepare(
        &mut self,
        now: Instant,
        from: u64,
        request: &Prepare,
        effects: &mut Vec<Effect>,
    ) {
        if !self.takes_part(from, request.number, effects) {
            return;
        }
        let result = self.acceptor.on_prepare(request);
        if from != self.id && result.is_ok() {
            self.proposer.on_round_of_another(now);
        }
        answer(
            from,
            result.map(|(record, promise)| (record, PeerMessage::Promise(promise))),
            effects,
        );
    }

    fn on_accept(&mut self, from: u64, request: Accept, effects: &mut Vec<Effect>) {
        if !self.takes_part(from, request.value.number, effects) {
            return;
        }
        let result = self.acceptor.on_accept(request);
        answer(
            from,
            result.map(|(record, accepted)| (record, PeerMessage::AcceptAck(accepted))),
            effects,
        );
    }

    // --- proposer ---

    fn on_promise(&mut self, now: Instant, from: u64, promise: Promise, effects: &mut Vec<Effect>) {
        self.proposer
            .on_promise(now, from, promise, &self.decided, effects);
        self.tick(now, effects);
    }

    fn on_accept_ack(
        &mut self,
        now: Instant,
        from: u64,
        acknowledgement: &AcceptAck,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(value) = self
            .proposer
            .on_accept_ack(from, acknowledgement, &self.decided)
        {
            self.adopt(now, value, LearnedFrom::OwnRound, effects);
        }
    }

    fn on_rejected(&mut self, now: Instant, rejected: &Rejected) {
        self.proposer.on_rejected(now, rejected, &self.decided);
    }

    // --- decided values ---

    /// Another node has less than this one: it gets what it lacks, and the request on hand again.
    fn on_catch_up_request(
        &mut self,
        from: u64,
        request: &CatchUpRequest,
        effects: &mut Vec<Effect>,
    ) {
        let Some(value) = self.decided.value() else {
            return;
        };
        if request.number >= value.number && value.number > 0 {
            return;
        }
        effects.push(Effect::Send {
            to: from,
            message: PeerMessage::Decided(value.clone()),
        });
        effects.extend(
            self.proposer
                .request()
                .map(|message| Effect::Send { to: from, message }),
        );
    }

    /// Learns a value that is decided.
    fn adopt(
        &mut self,
        now: Instant,
        value: Value,
        learned: LearnedFrom,
        effects: &mut Vec<Effect>,
    ) {
        if self
            .decided
            .value()
            .is_some_and(|decided| value.number <= decided.number)
        {
            return;
        }
        self.decided.adopt(value.clone());
        self.acceptor.advance_to(value.number + 1);
        self.durability.persist_value(now, &value, effects);
        effects.push(Effect::Decided(value));
        // What was asked before this is asked anew, and changes see whether they are done.
        self.reader.on_decided();
        self.proposer.on_decided(&self.decided, learned, effects);
        self.tick(now, effects);
    }

    // --- reader ---

    fn on_read_request(&self, from: u64, request: &ReadRequest, effects: &mut Vec<Effect>) {
        let Some(value) = self.decided.value() else {
            return;
        };
        let pending = self.acceptor.has_undecided();
        let reply = ReadReply {
            read_id: request.read_id,
            decided: value.number,
            pending,
        };
        effects.push(Effect::Send {
            to: from,
            message: PeerMessage::ReadReply(reply),
        });
    }

    fn on_read_reply(
        &mut self,
        now: Instant,
        from: u64,
        reply: &ReadReply,
        effects: &mut Vec<Effect>,
    ) {
        if self.decided.value().is_none() {
            return;
        }
        match self
            .reader
            .on_reply(now, from, reply, &self.decided, effects)
        {
            ReadStep::Nothing => {}
            ReadStep::Behind => effects.push(ask_to_catch_up(from, self.decided.number())),
            ReadStep::HalfDone => {
                self.proposer.complete();
                self.tick(now, effects);
            }
            ReadStep::Answered => self.tick(now, effects),
        }
    }

    // --- ledger ---

    fn on_ledger_request(&self, from: u64, request: &OrderLogRequest, effects: &mut Vec<Effect>) {
        let entries = self.decided.order_log().answer(request);
        effects.push(Effect::Send {
            to: from,
            message: PeerMessage::OrderLogEntries(entries),
        });
    }

    fn on_ledger_entries(
        &mut self,
        now: Instant,
        from: u64,
        entries: OrderLogEntries,
        effects: &mut Vec<Effect>,
    ) {
        if self.catch_up.on_entries(from, &entries, &mut self.decided) {
            self.durability.persist_orders(now, entries.orders, effects);
        }
        self.tick(now, effects);
    }

    fn on_synced(&mut self, synced: &Synced) {
        self.durability.on_synced(synced);
    }
}

fn ask_to_catch_up(to: u64, number: u64) -> Effect {
    Effect::Send {
        to,
        message: PeerMessage::CatchUpRequest(CatchUpRequest { number }),
    }
}

/// What an acceptor says goes out when its record is synced; a refusal at once.
fn answer(to: u64, result: Result<(Record, PeerMessage), Rejected>, effects: &mut Vec<Effect>) {
    effects.push(match result {
        Ok((record, message)) => Effect::Persist {
            record,
            then: vec![(to, message)],
        },
        Err(rejected) => Effect::Send {
            to,
            message: PeerMessage::Rejected(rejected),
        },
    });
}

/// Sends a message to all that count, this node too if it does.
pub(crate) fn send_to_voters(
    decided: &DecidedState,
    message: &PeerMessage,
    effects: &mut Vec<Effect>,
) {
    effects.extend(decided.voters().iter().map(|voter| Effect::Send {
        to: voter.id,
        message: message.clone(),
    }));
}
