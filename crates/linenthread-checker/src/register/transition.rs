//! Applies actions to states.

use std::collections::VecDeque;
use std::time::Duration;

use linenthread_consensus::{
    AfterSync, Change, Effect, Epoch, JobId, NodeId, Outcome, SyncedRecord, ValueNumber,
};
use linenthread_messages::{PeerMessage, Record, Value};
use linenthread_time::Instant;

use crate::node_index::NodeIndex;
use crate::register::action::Action;
use crate::register::obsolete;
use crate::register::scenario::{Call, Scenario};
use crate::register::state::{DeferredEffect, InFlight, SystemState, UnsyncedRecord};

/// Time by which a tick advances the clock of a node; longer than every time-out.
const TICK: Duration = Duration::from_secs(2);

/// Deadline of all jobs: none, because reaching one would only leave the outcome of a job unknown.
const DEADLINE: Instant = Instant::NEVER;

/// Epoch of the leader lease under which the voters are changed.
const LEASE_EPOCH: Epoch = Epoch::FIRST;

/// Returns the state after an enabled action.
pub(crate) fn apply(state: &SystemState, scenario: &Scenario, action: Action) -> SystemState {
    let mut transition = Transition {
        state: state.clone(),
        scenario,
        loopback: VecDeque::new(),
    };
    let node = transition.run(action);
    let mut next = transition.state;
    next.refresh(node);
    obsolete::discard(&mut next, node);
    next
}

struct Transition<'a> {
    state: SystemState,
    scenario: &'a Scenario,
    /// Events that the acting node sends to itself. They are handled within the same action.
    loopback: VecDeque<Loopback>,
}

enum Loopback {
    Message(PeerMessage),
    RecordSynced(SyncedRecord),
}

impl Transition<'_> {
    /// Performs the action and returns the node that acted.
    fn run(&mut self, action: Action) -> NodeIndex {
        match action {
            Action::Deliver(index) => {
                let message = self.state.network.remove(usize::from(index));
                self.deliver(&message)
            }
            Action::DeliverAndDuplicate(index) => {
                self.state.budget.duplicates -= 1;
                let message = self.state.network[usize::from(index)].clone();
                self.deliver(&message)
            }
            Action::MakeCall(call) => self.make_call(call),
            Action::Tick(node) => {
                self.tick(node);
                node
            }
            Action::Sync(node) => {
                self.sync(node);
                node
            }
            Action::Crash(node) => {
                self.state.budget.crashes -= 1;
                self.state.node_mut(node).restart();
                node
            }
            Action::LoseDisk(node) => {
                self.state.budget.lost_disks -= 1;
                self.state.lose_disk(node);
                node
            }
        }
    }

    fn deliver(&mut self, message: &InFlight) -> NodeIndex {
        let receiver = self
            .state
            .find_node(message.to)
            .expect("messages to a lost disk are not in flight");
        let mut effects = Vec::new();
        let node = self.state.node_mut(receiver);
        node.register.on_message(
            node.now,
            message.from,
            message.message.clone(),
            &mut effects,
        );
        self.apply_effects(receiver, effects);
        receiver
    }

    fn make_call(&mut self, call: u8) -> NodeIndex {
        let index = usize::from(call);
        let scheduled = self.scenario.calls[index];
        self.state.clear_pending_call(index);
        let job = JobId(u64::from(call));
        let mut effects = Vec::new();
        if let Some(change) = self.proposed_change(scheduled.call, scheduled.node) {
            let node = self.state.node_mut(scheduled.node);
            node.register
                .propose(node.now, job, change, DEADLINE, &mut effects);
        } else {
            self.state
                .update_history(|history| history.record_read_submitted(job));
            let node = self.state.node_mut(scheduled.node);
            node.register.read(node.now, job, DEADLINE, &mut effects);
        }
        self.apply_effects(scheduled.node, effects);
        scheduled.node
    }

    /// Returns the change that a call proposes at a node; `None` for a read.
    fn proposed_change(&self, call: Call, node: NodeIndex) -> Option<Change> {
        if call != Call::ReplaceVoter {
            return call.change();
        }
        let register = &self.state.node(node).register;
        Some(Change::Voters {
            base_number: register.value_number(),
            voters: self.state.with_replaced_voter(register.voters()),
            epoch: LEASE_EPOCH,
        })
    }

    fn tick(&mut self, node: NodeIndex) {
        self.state.budget.ticks -= 1;
        let mut effects = Vec::new();
        let acting = self.state.node_mut(node);
        acting.now += TICK;
        acting.register.tick(acting.now, &mut effects);
        self.apply_effects(node, effects);
    }

    fn sync(&mut self, node: NodeIndex) {
        let unsynced = self.state.node_mut(node).unsynced.remove(0);
        self.on_synced(node, unsynced);
        self.deliver_loopback(node);
    }

    fn apply_effects(&mut self, node: NodeIndex, effects: Vec<Effect>) {
        self.apply_effects_without_loopback(node, effects);
        self.deliver_loopback(node);
    }

    /// Handles the events that the acting node sends to itself until none are left.
    fn deliver_loopback(&mut self, node: NodeIndex) {
        while let Some(event) = self.loopback.pop_front() {
            let mut effects = Vec::new();
            let acting = self.state.node_mut(node);
            let (now, id, register) = (acting.now, acting.id, &mut acting.register);
            match event {
                Loopback::Message(message) => register.on_message(now, id, message, &mut effects),
                Loopback::RecordSynced(synced) => register.on_synced(now, synced, &mut effects),
            }
            self.apply_effects_without_loopback(node, effects);
        }
    }

    fn apply_effects_without_loopback(&mut self, node: NodeIndex, effects: Vec<Effect>) {
        let from = self.state.node(node).id;
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(from, InFlight::new(from, to, message)),
                Effect::Persist { record, after_sync } => self.persist(node, record, after_sync),
                Effect::Decided(value) => self.on_decided(from, &value),
                Effect::Reply { job, outcome } => self.on_reply(job, &outcome),
            }
        }
    }

    fn send(&mut self, from: NodeId, message: InFlight) {
        if message.to == from {
            self.loopback.push_back(Loopback::Message(message.message));
        } else if self.state.find_node(message.to).is_some() {
            self.state.send(message);
        }
    }

    fn persist(&mut self, node: NodeIndex, record: Record, after_sync: Vec<AfterSync>) {
        let from = self.state.node(node).id;
        let after_sync = after_sync
            .into_iter()
            .filter_map(|next| match next {
                AfterSync::Send { to, message } => Some(DeferredEffect::Message(Box::new(
                    InFlight::new(from, to, message),
                ))),
                AfterSync::RecordSynced(synced) => Some(DeferredEffect::RecordSynced(synced)),
                // The register never requests these.
                AfterSync::EpochSynced(_) | AfterSync::SnapshotSynced(_) => None,
            })
            .collect();
        let unsynced = UnsyncedRecord { record, after_sync };
        if self.scenario.slow_disks {
            self.state.node_mut(node).unsynced.push(unsynced);
        } else {
            self.on_synced(node, unsynced);
        }
    }

    fn on_synced(
        &mut self,
        node: NodeIndex,
        UnsyncedRecord { record, after_sync }: UnsyncedRecord,
    ) {
        let id = self.state.node(node).id;
        let number = ValueNumber::new(record.number);
        if let Some(accepted) = &record.accepted
            && !self.state.history().is_decided(number)
        {
            self.state
                .update_history(|history| history.record_accepted(number, accepted.ballot, id));
        }
        self.state.node_mut(node).disk.add(record);
        for effect in after_sync {
            match effect {
                DeferredEffect::Message(message) => self.send(id, *message),
                DeferredEffect::RecordSynced(synced) => {
                    self.loopback.push_back(Loopback::RecordSynced(synced));
                }
            }
        }
    }

    /// Records that a node considers a value decided, and announces the value to the other nodes, as the control node
    /// does.
    fn on_decided(&mut self, from: NodeId, value: &Value) {
        let others: Vec<NodeId> = self
            .state
            .nodes()
            .map(|node| node.id)
            .filter(|id| *id != from)
            .collect();
        for to in others {
            let message = PeerMessage::Decided(value.clone());
            self.state.send(InFlight::new(from, to, message));
        }
        if !self.state.history().is_decided_value(value) {
            self.state
                .update_history(|history| history.record_decided(value));
        }
    }

    fn on_reply(&mut self, job: JobId, outcome: &Outcome) {
        let index = usize::try_from(job.0).expect("the job id is the index of a call");
        let order = self.scenario.calls[index].call.order();
        self.state.update_history(|history| match (outcome, order) {
            (Outcome::Committed(_), Some(order)) => history.record_acknowledged(order),
            (Outcome::Conflict(_), Some(order)) => history.record_rejected(order),
            (Outcome::NewestValue(value), _) => history.record_read(job, value),
            _ => {}
        });
    }
}
