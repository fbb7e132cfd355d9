//! Drives the register: performs its effects and applies the values it decides.

use linenthread_consensus::{
    AfterSync, Effect as RegisterEffect, Epoch, JobId, NodeId, Outcome, Register, Revision,
    SnapshotNumber, SyncedRecord, ValueNumber,
};
use linenthread_messages::{PeerMessage, Record, Value};
use linenthread_time::Instant;

use crate::pending_jobs::JobOwner;
use crate::{ControlEvent, ControlNode, Effect, Response, UnavailableReason};

/// An event from a node to itself. These events are handled in the order in which they were queued.
pub(super) enum LoopbackEvent {
    /// A message from this node to itself as one of the voters.
    Message(PeerMessage),
    /// A register record is durable.
    RecordSynced(SyncedRecord),
    /// A lease epoch is durable.
    EpochSynced(Epoch),
    /// A replica snapshot is durable.
    SnapshotSynced(SnapshotNumber),
}

impl ControlNode {
    /// Handles the completed sync of records to disk. `after_sync` lists the actions that waited for these records.
    pub fn on_synced(
        &mut self,
        now: Instant,
        after_sync: Vec<AfterSync>,
        effects: &mut Vec<Effect>,
    ) {
        self.detect_pause(now, effects);
        for action in after_sync {
            match action {
                AfterSync::Send { to, message } => self.send_to_node(to, message, effects),
                AfterSync::RecordSynced(synced) => {
                    self.loopback.push_back(LoopbackEvent::RecordSynced(synced));
                }
                AfterSync::EpochSynced(epoch) => {
                    self.loopback.push_back(LoopbackEvent::EpochSynced(epoch));
                }
                AfterSync::SnapshotSynced(number) => {
                    self.loopback
                        .push_back(LoopbackEvent::SnapshotSynced(number));
                }
            }
        }
        self.deliver_loopback(now, effects);
    }

    /// Sends a message to the node with this id, which may be this node. Drops the message if there is no session with
    /// that node.
    pub(super) fn send_to_node(
        &mut self,
        to: NodeId,
        message: PeerMessage,
        effects: &mut Vec<Effect>,
    ) {
        if to == self.register.id() {
            self.loopback.push_back(LoopbackEvent::Message(message));
        } else if let Some(session) = self.membership.session_with(to) {
            effects.push(Effect::Send { session, message });
        }
    }

    /// Persists the epoch of a lease that this node grants. Once it is durable the reply is sent and this node is
    /// notified. The register tracks the durability of its own records itself.
    pub(super) fn persist_epoch(epoch: Epoch, reply: AfterSync, effects: &mut Vec<Effect>) {
        let record = Record {
            epoch: epoch.get(),
            ..Record::default()
        };
        effects.push(Effect::Persist {
            record,
            after_sync: vec![reply, AfterSync::EpochSynced(epoch)],
        });
    }

    /// Runs `operation` on the register, then processes its effects and loopback events until there are none left.
    pub(super) fn drive_register(
        &mut self,
        now: Instant,
        operation: impl FnOnce(&mut Register, &mut Vec<RegisterEffect>),
        effects: &mut Vec<Effect>,
    ) {
        let mut register_effects = Vec::new();
        operation(&mut self.register, &mut register_effects);
        loop {
            for effect in std::mem::take(&mut register_effects) {
                self.apply_register_effect(now, effect, effects);
            }
            let Some(event) = self.loopback.pop_front() else {
                break;
            };
            self.on_loopback(now, event, &mut register_effects, effects);
        }
        self.announce_durability(now, effects);
    }

    /// Handles all queued loopback events.
    pub(super) fn deliver_loopback(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.drive_register(now, |_, _| {}, effects);
    }

    fn apply_register_effect(
        &mut self,
        now: Instant,
        effect: RegisterEffect,
        effects: &mut Vec<Effect>,
    ) {
        match effect {
            RegisterEffect::Send { to, message } => self.send_to_node(to, message, effects),
            RegisterEffect::Persist { record, after_sync } => {
                effects.push(Effect::Persist { record, after_sync });
            }
            RegisterEffect::Decided(value) => self.on_decided(now, &value, effects),
            RegisterEffect::Reply { job, outcome } => self.on_outcome(now, job, outcome, effects),
        }
    }

    fn on_loopback(
        &mut self,
        now: Instant,
        event: LoopbackEvent,
        register_effects: &mut Vec<RegisterEffect>,
        effects: &mut Vec<Effect>,
    ) {
        match event {
            LoopbackEvent::Message(message) => {
                self.on_own_message(now, message, register_effects, effects);
            }
            LoopbackEvent::RecordSynced(synced) => {
                self.register.on_synced(now, synced, register_effects);
            }
            LoopbackEvent::EpochSynced(epoch) => self.durability.on_epoch_synced(epoch),
            LoopbackEvent::SnapshotSynced(number) => self.snapshot_writer.on_synced(number),
        }
    }

    fn on_own_message(
        &mut self,
        now: Instant,
        message: PeerMessage,
        register_effects: &mut Vec<RegisterEffect>,
        effects: &mut Vec<Effect>,
    ) {
        let own_id = self.register.id();
        match message {
            PeerMessage::LeaseReply(reply) => self.on_lease_reply(now, own_id, &reply, effects),
            PeerMessage::UpdateAck(ack) => self.on_update_ack(now, own_id, &ack, effects),
            PeerMessage::LeaseRelease(release) => drop(self.lease.on_release(own_id, &release)),
            message => self
                .register
                .on_message(now, own_id, message, register_effects),
        }
    }

    fn on_decided(&mut self, now: Instant, value: &Value, effects: &mut Vec<Effect>) {
        effects.push(Effect::Log(ControlEvent::ValueDecided {
            number: ValueNumber::of(value),
            revision: Revision::of(value),
            voter_count: value.voters.len(),
        }));
        for voter in &value.voters {
            self.address_book.learn(now, &voter.address);
        }
        // Request the lease again from the current voters, before another value becomes undecided.
        self.ticks.expedite();
        let is_voter = value
            .voters
            .iter()
            .any(|voter| NodeId::from(voter) == self.register.id());
        let was_voter = self.voting.set_voter(is_voter);
        if self.voting.on_decided(now, value) {
            self.pending_drains.on_voters_changed();
        }
        let became_voter = is_voter && (!was_voter || self.lease.skips_voter_change(value));
        self.lease.on_decided(value);
        self.lease.observe_epoch(Epoch::new(value.epoch));
        if became_voter {
            self.lease.on_became_voter(now);
        }
        for session in self.membership.sessions() {
            self.send_value(session, effects);
        }
        for session in self.ingress_nodes.sessions() {
            self.update_ingress_node(now, session, effects);
        }
    }

    /// Handles the end of a job. While out of contact with a majority nothing is confirmed and nothing conclusively
    /// rejected, even though a value received from a single peer may be correct and the newest.
    fn on_outcome(
        &mut self,
        now: Instant,
        job: JobId,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let has_quorum = self.has_quorum(now);
        match self.pending_jobs.take(job) {
            Some(JobOwner::Call(call)) => {
                let response = if has_quorum || matches!(outcome, Outcome::Unknown(_)) {
                    outcome.into()
                } else {
                    Response::Unavailable(UnavailableReason::NoQuorum)
                };
                effects.push(Effect::Respond { call, response });
            }
            Some(JobOwner::Confirmation(session)) => {
                if let Some(ingress) = self.ingress_nodes.get_mut(session) {
                    let is_newest = has_quorum && matches!(outcome, Outcome::NewestValue(_));
                    ingress.on_confirmation(is_newest);
                    self.update_ingress_node(now, session, effects);
                }
            }
            Some(JobOwner::VoterChange) => {
                // Nodes that are shutting down wait for this outcome.
                self.ticks.expedite();
                // If an order was decided first, propose the change again immediately, before the next order.
                self.propose_voter_change(now, effects);
            }
            // A report for this window is decided, this one or another: send it to the platform immediately.
            Some(JobOwner::UsageReport) if matches!(outcome, Outcome::Committed(_)) => {
                self.report_usage(now, effects);
            }
            // The report is proposed again at the next tick. An immediate retry could loop forever, because the register
            // may reject each attempt immediately.
            Some(JobOwner::UsageReport) | None => {}
        }
    }

    /// Makes the register complete an undecided value, whichever value that turns out to be.
    pub(super) fn complete_undecided(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.drive_register(
            now,
            |register, register_effects| {
                register.complete_undecided_value();
                register.tick(now, register_effects);
            },
            effects,
        );
    }
}
