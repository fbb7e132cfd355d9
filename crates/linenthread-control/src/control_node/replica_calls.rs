//! Calls of replicas: heartbeats and departures.

use linenthread_consensus::NodeId;
use linenthread_messages::{ControlUpdate, PeerMessage, UpdateAck};
use linenthread_time::Instant;

use crate::pending_drains::{CompletedCall, UpdateId};
use crate::{
    CallId, ControlNode, Effect, HeartbeatOutcome, RegisteredReplica, ReplicaHeartbeat, Response,
};

impl ControlNode {
    /// A replica's heartbeat.
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
        if replica.draining && self.is_unknown_to_majority(replica_id) {
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

    /// A replica announces that it ends.
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
        if self.registry.mark_departed(now, replica_id) {
            self.pending_drains.forget(replica_id);
            self.queue_for_peers(replica_id, &[]);
        }
        // It may have departed before, and too few others have acknowledged that so far. Of a replica that is not known
        // here there is nothing to make known: it never reached this node, or ended so long ago that it is forgotten.
        // Should another node know it still, it times out there.
        if self.is_unknown_to_majority(replica_id) {
            self.await_majority(now, call, replica_id, effects);
            self.flush_changed_replicas(now, effects);
        } else {
            effects.push(Effect::Respond {
                call,
                response: Response::Acknowledged { report_to: None },
            });
        }
    }

    /// Whether a replica is known here to drain or to have ended, and too few others are known to know it.
    fn is_unknown_to_majority(&self, replica_id: &str) -> bool {
        let is_draining_or_ended = self
            .registry
            .get(replica_id)
            .is_some_and(RegisteredReplica::is_draining_or_ended);
        is_draining_or_ended && !self.pending_drains.is_known_by_majority(replica_id)
    }

    /// The call is acknowledged once more than half of the voters have acknowledged the replica's state.
    fn await_majority(
        &mut self,
        now: Instant,
        call: CallId,
        replica_id: &str,
        effects: &mut Vec<Effect>,
    ) {
        let update_id = self
            .pending_drains
            .begin(now, call, replica_id, self.register.id());
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

    /// Another control node acknowledged an update.
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

    /// Responds to the calls that a majority acknowledged by now, or that have timed out.
    pub(super) fn complete_drains(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let register = &self.register;
        let completed = self
            .pending_drains
            .take_completed(now, |nodes| register.is_majority(nodes.iter().copied()));
        effects.extend(
            completed
                .into_iter()
                .map(|CompletedCall { call, response }| Effect::Respond { call, response }),
        );
    }

    /// Control address of a node of a zone that takes calls: this one's if the zone is its own, else the first one's.
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
