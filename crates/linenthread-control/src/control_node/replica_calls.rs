//! Replica calls: heartbeats and departures.

use linenthread_consensus::{AfterSync, NodeId};
use linenthread_messages::{ControlUpdate, PeerMessage, UpdateAck};
use linenthread_time::Instant;

use crate::pending_drains::{CompletedCall, UpdateId};
use crate::replica_snapshot::drain_record;
use crate::{
    CallId, ControlEvent, ControlNode, Effect, HeartbeatOutcome, RegisteredReplica,
    ReplicaHeartbeat, Response, UnavailableReason,
};

impl ControlNode {
    /// Handles a heartbeat from a replica. The heartbeat of a draining replica is acknowledged only after a majority of
    /// the voters has acknowledged the drain.
    pub fn on_replica_heartbeat(
        &mut self,
        now: Instant,
        call: CallId,
        replica_id: &str,
        heartbeat: ReplicaHeartbeat,
        effects: &mut Vec<Effect>,
    ) {
        self.detect_pause(now, effects);
        if let Some(response) = self.rejection(now) {
            effects.push(Effect::Respond { call, response });
            return;
        }
        let replica = heartbeat.into_replica(replica_id);
        let observation = self.registry.observe(now, &replica);
        if observation.outcome != HeartbeatOutcome::Stale {
            self.forget_ended_drain(replica_id);
            self.queue_for_peers(replica_id, &observation.superseded);
        }
        if replica.draining && self.needs_majority_ack(replica_id) {
            self.await_majority(now, call, replica_id, effects);
        } else {
            let report_to = self.report_address(now, &replica.zone);
            effects.push(Effect::Respond {
                call,
                response: Response::Acknowledged { report_to },
            });
        }
        if observation.outcome == HeartbeatOutcome::Changed {
            self.flush_changed_replicas(now, effects);
        }
    }

    /// Handles a replica's announcement that it departs. The call is acknowledged only after a majority of the voters has
    /// recorded the departure, also if no heartbeat of the replica has arrived yet.
    pub fn on_replica_departure(
        &mut self,
        now: Instant,
        call: CallId,
        replica_id: &str,
        effects: &mut Vec<Effect>,
    ) {
        self.detect_pause(now, effects);
        if let Some(response) = self.rejection(now) {
            effects.push(Effect::Respond { call, response });
            return;
        }
        if !self.registry.can_record_departure(replica_id) {
            let response = Response::Unavailable(UnavailableReason::TooManyDepartures);
            effects.push(Effect::Respond { call, response });
            return;
        }
        if self.registry.mark_departed(now, replica_id) {
            self.pending_drains.forget(replica_id);
            self.queue_for_peers(replica_id, &[]);
        }
        // The replica may have departed earlier without an acknowledgement by a majority so far.
        if self.needs_majority_ack(replica_id) {
            self.await_majority(now, call, replica_id, effects);
            self.flush_changed_replicas(now, effects);
        } else {
            effects.push(Effect::Respond {
                call,
                response: Response::Acknowledged { report_to: None },
            });
        }
    }

    /// Reports whether a replica is draining or has ended, and a majority of the voters has not acknowledged that yet.
    fn needs_majority_ack(&self, replica_id: &str) -> bool {
        let is_draining_or_ended = self
            .registry
            .get(replica_id)
            .is_some_and(RegisteredReplica::is_draining_or_ended);
        is_draining_or_ended && !self.pending_drains.is_known_by_majority(replica_id)
    }

    /// Sends the replica's state to the other control nodes, and delays the response to the call until more than half of
    /// the voters have it on their disks.
    fn await_majority(
        &mut self,
        now: Instant,
        call: CallId,
        replica_id: &str,
        effects: &mut Vec<Effect>,
    ) {
        let update_id = self.pending_drains.begin(now, call, replica_id);
        let own_id = self.register.id();
        self.persist_drains(now, [replica_id].into_iter(), own_id, update_id, effects);
        let replicas = self
            .registry
            .get(replica_id)
            .iter()
            .map(|known| known.snapshot(now))
            .collect();
        let update = ControlUpdate {
            replicas,
            update_id: update_id.get(),
            ..ControlUpdate::default()
        };
        for (session, _) in self.membership.iter() {
            effects.push(Effect::Send {
                session,
                message: PeerMessage::ControlUpdate(update.clone()),
            });
        }
        self.complete_drains(now, effects);
    }

    /// Persists which of these replicas drain or have ended, and acknowledges the update to `to` once that is durable.
    /// Replicas that this node knows to be available again need no record.
    pub(super) fn persist_drains<'a>(
        &mut self,
        now: Instant,
        replica_ids: impl Iterator<Item = &'a str>,
        to: NodeId,
        update_id: UpdateId,
        effects: &mut Vec<Effect>,
    ) {
        let drained = replica_ids
            .filter_map(|replica_id| self.registry.get(replica_id))
            .filter(|known| known.is_draining_or_ended());
        let record = drain_record(now, drained);
        let message = PeerMessage::UpdateAck(UpdateAck {
            update_id: update_id.get(),
        });
        if record.drains.is_empty() {
            self.send_to_node(to, message, effects);
        } else {
            effects.push(Effect::Persist {
                record,
                after_sync: vec![AfterSync::Send { to, message }],
            });
        }
    }

    /// Handles a control node's acknowledgement of an update.
    pub(super) fn on_update_ack(
        &mut self,
        now: Instant,
        node_id: NodeId,
        ack: &UpdateAck,
        effects: &mut Vec<Effect>,
    ) {
        self.pending_drains
            .on_ack(node_id, UpdateId::new(ack.update_id));
        self.complete_drains(now, effects);
    }

    /// Responds to the calls whose updates a majority has acknowledged, and to those that have timed out.
    pub(super) fn complete_drains(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let register = &self.register;
        let completed = self
            .pending_drains
            .take_completed(now, |nodes| register.is_majority(nodes.iter().copied()));
        for CompletedCall {
            call,
            replica_id,
            response,
        } in completed
        {
            if matches!(response, Response::Acknowledged { .. }) {
                let event = ControlEvent::DrainAcknowledged { id: replica_id };
                effects.push(Effect::Log(event));
            }
            effects.push(Effect::Respond { call, response });
        }
    }

    /// Returns the control address that replicas of a zone should report to: this node's if it is in that zone, else the
    /// lowest address of a control node there that accepts calls.
    fn report_address(&self, now: Instant, zone: &str) -> Option<String> {
        if self.config.zone == zone {
            return Some(self.config.control_address.clone());
        }
        self.membership
            .contacts(now)
            .filter(|peer| peer.hello().zone == zone && peer.accepts_calls(now))
            .map(|peer| &peer.hello().control_address)
            .min()
            .cloned()
    }
}
