//! The replicated register: dispatches messages and ticks to the other modules, and adopts decided values.

use linenthread_messages::{
    Accept, AcceptAck, CatchUpRequest, OrderLogEntries, OrderLogRequest, PeerMessage, Prepare,
    Promise, ReadReply, ReadRequest, Record, Rejected, Value, Voter,
};
use linenthread_time::{Instant, WindowNumber};

use crate::acceptor::Acceptor;
use crate::catch_up::OrderLogCatchUp;
use crate::change::Change;
use crate::decided_state::DecidedState;
use crate::durability::Durability;
use crate::durable_state::DurableState;
use crate::effects::{AfterSync, Effect, SyncedRecord};
use crate::incarnation::Incarnation;
use crate::jobs::{JobId, Outcome, UnknownReason};
use crate::node_id::NodeId;
use crate::order_log::OrderLog;
use crate::proposal::LearnedFrom;
use crate::proposer::Proposer;
use crate::reader::{ReadProgress, Reader};
use crate::value_number::ValueNumber;

/// One node's state of a replicated register whose value is decided by a majority of the voters. The node acts as
/// proposer and reader, and as acceptor if it is a voter.
///
/// Methods append their effects to `effects`; the driver executes them in that order. All instants must come from one
/// monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Register {
    id: NodeId,
    decided: DecidedState,
    acceptor: Acceptor,
    proposer: Proposer,
    reader: Reader,
    catch_up: OrderLogCatchUp,
    durability: Durability,
}

impl Register {
    /// Creates the register of a starting node from the state on its disk.
    ///
    /// `genesis` is value 0 on the first start of all nodes. `incarnation` must be unique among all runs of all
    /// nodes.
    pub fn new(
        id: NodeId,
        state: DurableState,
        genesis: Option<Value>,
        incarnation: Incarnation,
    ) -> Register {
        let durability = Durability::new(state.decided_number());
        let (value, order_log, acceptor) = state.into_parts(genesis);
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

    /// Returns this node's identity, which is bound to its disk: a node whose disk was replaced has a new identity.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Returns the newest value that this node knows to be decided.
    pub fn decided(&self) -> Option<&Value> {
        self.decided.value()
    }

    /// Returns the number of the newest decided value known to this node; [`ValueNumber::FIRST`] also if there is
    /// none.
    pub fn value_number(&self) -> ValueNumber {
        self.decided.number()
    }

    /// Returns the newest window whose usage report this node knows to be decided.
    pub fn newest_usage_window(&self) -> Option<WindowNumber> {
        self.decided.newest_usage_window()
    }

    /// Returns the nodes that decide the next value, according to the newest decided value known to this node.
    pub fn voters(&self) -> &[Voter] {
        self.decided.voters()
    }

    /// Reports whether a node is one of the voters.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.decided.is_voter(id)
    }

    /// Reports whether these nodes include more than half of the voters.
    pub fn is_majority(&self, ids: impl IntoIterator<Item = NodeId>) -> bool {
        self.decided.is_majority(ids)
    }

    /// Reports whether this node has accepted a value that it does not know to be decided.
    pub fn has_undecided_value(&self) -> bool {
        self.acceptor.has_undecided_value()
    }

    /// Requests a round that decides the value that this node has accepted, if it has accepted one that it does not
    /// know to be decided. The round starts at a later [`Register::tick`].
    pub fn complete_undecided_value(&mut self) {
        if self.acceptor.has_undecided_value() {
            self.proposer.request_recovery();
        }
    }

    /// Reports whether a job or round is pending, so that [`Register::tick`] must be called frequently.
    pub fn is_busy(&self) -> bool {
        self.proposer.is_busy() || self.reader.is_busy()
    }

    /// Returns the accepted orders that this node knows.
    pub fn order_log(&self) -> &OrderLog {
        self.decided.order_log()
    }

    /// Returns the number of the newest decided value that is synced to this node's disk; [`ValueNumber::FIRST`] also
    /// if there is none.
    pub fn durable_value_number(&self) -> ValueNumber {
        self.durability.number()
    }

    /// Reports whether this node has a value and its order log is complete, within the log's size limit and apart
    /// from orders that no voter has.
    pub fn is_order_log_complete(&self) -> bool {
        self.decided.value().is_some() && self.decided.order_log().is_complete()
    }

    /// Reports whether the order log is complete and synced to this node's disk.
    pub fn is_order_log_durable(&self) -> bool {
        self.is_order_log_complete() && self.durability.is_order_log_synced()
    }

    /// Reports whether the newest decided value and the complete order log are synced to this node's disk, which is
    /// the precondition for becoming a voter (*orders-known-at-each-node*).
    pub fn is_fully_durable(&self) -> bool {
        self.is_order_log_durable() && self.durability.is_synced(self.decided.number())
    }

    /// Proposes a change. The job is completed by an [`Effect::Reply`]: at `deadline` with [`Outcome::Unknown`], if
    /// not earlier.
    pub fn propose(
        &mut self,
        now: Instant,
        job: JobId,
        change: Change,
        deadline: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let submitted =
            self.decided.value().is_some() && self.proposer.submit(job, change, deadline);
        self.start_or_reject(now, job, submitted, effects);
    }

    /// Reads the newest value. The job is completed by an [`Effect::Reply`]: at `deadline` with [`Outcome::Unknown`],
    /// if not earlier.
    pub fn read(&mut self, now: Instant, job: JobId, deadline: Instant, effects: &mut Vec<Effect>) {
        let submitted = self.decided.value().is_some() && self.reader.submit(job, deadline);
        self.start_or_reject(now, job, submitted, effects);
    }

    fn start_or_reject(
        &mut self,
        now: Instant,
        job: JobId,
        submitted: bool,
        effects: &mut Vec<Effect>,
    ) {
        if submitted {
            self.tick(now, effects);
        } else {
            let reason = match self.decided.value() {
                Some(_) => UnknownReason::TooManyPending,
                None => UnknownReason::NoValue,
            };
            let outcome = Outcome::Unknown(reason);
            effects.push(Effect::Reply { job, outcome });
        }
    }

    /// Handles timers: completes jobs whose deadline has passed, resends requests, starts rounds. Must be called
    /// every few milliseconds while [`Register::is_busy`], and occasionally otherwise.
    pub fn tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.expire(now, effects);
        self.reader.tick(now, &self.decided, effects);
        self.proposer.tick(now, &self.decided, effects);
        self.catch_up.tick(now, &mut self.decided, effects);
        self.rewrite_if_due(now, effects);
    }

    fn expire(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.proposer.expire(now, effects);
        self.reader.expire(now, effects);
    }

    /// Writes the decided state again if the disk has dropped records of it.
    fn rewrite_if_due(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if !self.durability.is_rewrite_due(now, self.decided.number()) {
            return;
        }
        if let Some(value) = self.decided.value() {
            self.durability.persist_value(now, value, effects);
        }
        let orders = self.decided.order_log().iter().collect();
        self.durability
            .persist_complete_order_log(now, orders, effects);
    }

    /// Handles a message from another node or from this node itself. Ignores messages that are not for the register.
    ///
    /// Expires jobs and rounds first, so that a message that was queued while this process was suspended does not
    /// complete them.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: NodeId,
        message: PeerMessage,
        effects: &mut Vec<Effect>,
    ) {
        self.expire(now, effects);
        match message {
            PeerMessage::Prepare(request) => self.on_prepare(now, from, &request, effects),
            PeerMessage::Promise(promise) => self.on_promise(now, from, promise, effects),
            PeerMessage::Accept(request) => self.on_accept(from, request, effects),
            PeerMessage::AcceptAck(ack) => self.on_accept_ack(now, from, &ack, effects),
            PeerMessage::Rejected(rejected) => self.on_rejected(now, &rejected),
            PeerMessage::Decided(value) => self.adopt(now, value, LearnedFrom::Peer, effects),
            PeerMessage::CatchUpRequest(request) => {
                self.on_catch_up_request(from, &request, effects);
            }
            PeerMessage::ReadRequest(request) => self.on_read_request(from, &request, effects),
            PeerMessage::ReadReply(reply) => self.on_read_reply(now, from, &reply, effects),
            PeerMessage::OrderLogRequest(request) => {
                self.on_order_log_request(from, &request, effects);
            }
            PeerMessage::OrderLogEntries(entries) => {
                self.on_order_log_entries(now, from, entries, effects);
            }
            _ => {}
        }
    }

    /// Handles the notification that a record of this register is synced. Expires jobs and rounds first, as for
    /// messages.
    pub fn on_synced(&mut self, now: Instant, synced: SyncedRecord, effects: &mut Vec<Effect>) {
        self.expire(now, effects);
        self.durability.on_synced(synced);
    }

    /// Reports whether this node may vote on a number. If the sender or this node has an older value than the other,
    /// the newer one is sent or requested.
    fn may_vote_on(&self, from: NodeId, number: ValueNumber, effects: &mut Vec<Effect>) -> bool {
        let Some(value) = self.decided.value() else {
            effects.push(catch_up_request(from, ValueNumber::FIRST));
            return false;
        };
        let newest = ValueNumber::of(value);
        if number <= newest {
            effects.push(Effect::Send {
                to: from,
                message: PeerMessage::Decided(value.clone()),
            });
            return false;
        }
        if number > newest.next() {
            effects.push(catch_up_request(from, newest));
            return false;
        }
        // A number below the acceptor's is decided: this node has lost the record of the value, but another has it.
        number >= self.acceptor.number() && self.decided.is_voter(self.id)
    }

    fn on_prepare(
        &mut self,
        now: Instant,
        from: NodeId,
        request: &Prepare,
        effects: &mut Vec<Effect>,
    ) {
        if !self.may_vote_on(from, ValueNumber::new(request.number), effects) {
            return;
        }
        let result = self.acceptor.on_prepare(request);
        if from != self.id && result.is_ok() {
            self.proposer.on_competing_round(now);
        }
        let reply = result.map(|(record, promise)| (record, PeerMessage::Promise(promise)));
        effects.push(acceptor_reply(from, reply));
    }

    fn on_accept(&mut self, from: NodeId, request: Accept, effects: &mut Vec<Effect>) {
        if !self.may_vote_on(from, ValueNumber::of(&request.value), effects) {
            return;
        }
        let result = self.acceptor.on_accept(request);
        let reply = result.map(|(record, ack)| (record, PeerMessage::AcceptAck(ack)));
        effects.push(acceptor_reply(from, reply));
    }

    fn on_promise(
        &mut self,
        now: Instant,
        from: NodeId,
        promise: Promise,
        effects: &mut Vec<Effect>,
    ) {
        self.proposer
            .on_promise(now, from, promise, &self.decided, effects);
        self.tick(now, effects);
    }

    fn on_accept_ack(
        &mut self,
        now: Instant,
        from: NodeId,
        ack: &AcceptAck,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(value) = self.proposer.on_accept_ack(from, ack, &self.decided) {
            self.adopt(now, value, LearnedFrom::LocalRound, effects);
        }
    }

    fn on_rejected(&mut self, now: Instant, rejected: &Rejected) {
        self.proposer.on_rejected(now, rejected, &self.decided);
    }

    /// Sends the newest value to a node that has an older one, and resends the current request, which it could not
    /// handle before.
    fn on_catch_up_request(
        &mut self,
        from: NodeId,
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
        let request = self.proposer.current_request();
        effects.extend(request.map(|message| Effect::Send { to: from, message }));
    }

    /// Adopts a decided value; ignores one that is not newer than the newest known value (*monotonic-state*).
    fn adopt(
        &mut self,
        now: Instant,
        value: Value,
        learned: LearnedFrom,
        effects: &mut Vec<Effect>,
    ) {
        let is_newer = self
            .decided
            .value()
            .is_none_or(|decided| value.number > decided.number);
        if !is_newer {
            return;
        }
        self.decided.adopt(value.clone());
        self.acceptor.advance_to(self.decided.next_number());
        self.durability.persist_value(now, &value, effects);
        effects.push(Effect::Decided(value));
        self.reader.on_decided();
        self.proposer.on_decided(&self.decided, learned, effects);
        self.tick(now, effects);
    }

    fn on_read_request(&self, from: NodeId, request: &ReadRequest, effects: &mut Vec<Effect>) {
        let Some(value) = self.decided.value() else {
            return;
        };
        let reply = ReadReply {
            read_id: request.read_id,
            decided_number: value.number,
            has_undecided_value: self.acceptor.has_undecided_value(),
        };
        effects.push(Effect::Send {
            to: from,
            message: PeerMessage::ReadReply(reply),
        });
    }

    fn on_read_reply(
        &mut self,
        now: Instant,
        from: NodeId,
        reply: &ReadReply,
        effects: &mut Vec<Effect>,
    ) {
        if self.decided.value().is_none() {
            return;
        }
        let progress = self
            .reader
            .on_reply(now, from, reply, &self.decided, effects);
        match progress {
            ReadProgress::Incomplete => {}
            ReadProgress::Lagging => effects.push(catch_up_request(from, self.decided.number())),
            ReadProgress::Undecided => {
                self.proposer.request_recovery();
                self.tick(now, effects);
            }
            ReadProgress::Completed => self.tick(now, effects),
        }
    }

    fn on_order_log_request(
        &self,
        from: NodeId,
        request: &OrderLogRequest,
        effects: &mut Vec<Effect>,
    ) {
        let entries = self.decided.order_log().entries_for(request);
        effects.push(Effect::Send {
            to: from,
            message: PeerMessage::OrderLogEntries(entries),
        });
    }

    fn on_order_log_entries(
        &mut self,
        now: Instant,
        from: NodeId,
        entries: OrderLogEntries,
        effects: &mut Vec<Effect>,
    ) {
        if self.catch_up.on_entries(from, &entries, &mut self.decided) {
            self.durability.persist_orders(now, entries.orders, effects);
        }
        self.tick(now, effects);
    }
}

/// Builds the request to a node for a newer value than the one of this number.
fn catch_up_request(to: NodeId, number: ValueNumber) -> Effect {
    Effect::Send {
        to,
        message: PeerMessage::CatchUpRequest(CatchUpRequest {
            number: number.get(),
        }),
    }
}

/// Sends an acceptor's reply once its record is synced, or a rejection, which has no record, immediately.
fn acceptor_reply(to: NodeId, reply: Result<(Record, PeerMessage), Rejected>) -> Effect {
    match reply {
        Ok((record, message)) => Effect::Persist {
            record,
            after_sync: vec![AfterSync::Send { to, message }],
        },
        Err(rejected) => Effect::Send {
            to,
            message: PeerMessage::Rejected(rejected),
        },
    }
}
