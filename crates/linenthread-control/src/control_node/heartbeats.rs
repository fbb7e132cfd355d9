//! Heartbeats exchanged with other control nodes and ingress nodes.

use linenthread_consensus::ValueNumber;
use linenthread_messages::{Heartbeat, PeerMessage};
use linenthread_time::{Instant, WallTime};

use crate::peer_heartbeat::ControlNodeHeartbeat;
use crate::{ControlNode, Effect, SessionId};

impl ControlNode {
    /// Records that this node's wall clock shows `wall` at `now`. Call it before passing in messages and ticks of the same
    /// instant. The wall clock is used only to assign instants to windows of usage reports.
    pub fn observe_wall_clock(&mut self, now: Instant, wall: WallTime) {
        self.agreed_time.observe_local(now, wall);
    }

    /// Builds the part of a heartbeat that is the same for all peers.
    fn heartbeat(&self, now: Instant) -> Heartbeat {
        Heartbeat {
            quota_request_or_value_number: self.value_number().get(),
            // Peers redirect calls to a node that reports a quorum, and ingress nodes leave a node that does not. A node
            // that is shutting down should receive neither, so it reports none.
            has_quorum: self.has_quorum(now) && !self.is_shutting_down(),
            registry_digest: self.registry.digest(),
            revision: 0,
            durable_value_number: self.durability.value_number().map(ValueNumber::get),
            sent_at: now.as_millis(),
            echoed_sent_at: None,
            shutting_down: self.is_shutting_down(),
            reconfiguring: self.is_reconfiguring(now),
            wall_time_ms: None,
            agreed_time_ms: None,
        }
    }

    /// Builds the heartbeat sent to another control node. `echoed_sent_at` is the send time of the peer's latest
    /// heartbeat, by the peer's clock.
    fn control_heartbeat(&self, now: Instant, echoed_sent_at: Option<u64>) -> Heartbeat {
        Heartbeat {
            echoed_sent_at,
            wall_time_ms: self
                .agreed_time
                .local_wall_time(now)
                .map(WallTime::as_millis),
            ..self.heartbeat(now)
        }
    }

    /// Builds the heartbeat sent to an ingress node. It carries the agreed time only while in contact with a majority,
    /// because the clocks of a minority may be wrong.
    fn ingress_heartbeat(&self, now: Instant) -> Heartbeat {
        let heartbeat = self.heartbeat(now);
        let agreed = self
            .agreed_offset(now)
            .filter(|_| heartbeat.has_quorum)
            .map(|offset| offset.wall_time(now));
        Heartbeat {
            agreed_time_ms: agreed.map(WallTime::as_millis),
            ..heartbeat
        }
    }

    pub(super) fn send_heartbeat(
        &self,
        now: Instant,
        session: SessionId,
        echoed_sent_at: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let message = PeerMessage::Heartbeat(self.control_heartbeat(now, echoed_sent_at));
        effects.push(Effect::Send { session, message });
    }

    /// Sends a heartbeat on every session with a control node or an ingress node.
    pub(super) fn send_heartbeats(&self, now: Instant, effects: &mut Vec<Effect>) {
        let heartbeat = self.control_heartbeat(now, None);
        for (session, peer) in self.membership.iter() {
            let message = PeerMessage::Heartbeat(Heartbeat {
                echoed_sent_at: peer.sent_at_to_echo(),
                ..heartbeat.clone()
            });
            effects.push(Effect::Send { session, message });
        }
        let heartbeat = self.ingress_heartbeat(now);
        for session in self.ingress_nodes.sessions() {
            effects.push(Effect::Send {
                session,
                message: PeerMessage::Heartbeat(heartbeat.clone()),
            });
        }
    }

    /// Records the wall clock reading of another control node.
    fn observe_peer_clock(
        &mut self,
        now: Instant,
        session: SessionId,
        heartbeat: &ControlNodeHeartbeat,
    ) {
        if let (Some(peer), Some(wall)) = (self.membership.get(session), heartbeat.wall_time) {
            self.agreed_time
                .observe_peer(now, &peer.hello().control_address, wall);
        }
    }

    /// Handles a heartbeat from another control node.
    pub(super) fn on_heartbeat(
        &mut self,
        now: Instant,
        session: SessionId,
        heartbeat: &ControlNodeHeartbeat,
        effects: &mut Vec<Effect>,
    ) {
        let digest = self.registry.digest();
        let Some(demand) = self
            .membership
            .on_heartbeat(now, session, heartbeat, digest)
        else {
            return;
        };
        self.observe_peer_clock(now, session, heartbeat);
        if demand.reply {
            self.send_heartbeat(now, session, Some(heartbeat.sent_at), effects);
        }
        self.update_contact(now, effects);
        if demand.synchronize {
            self.synchronize_peer(now, session, effects);
        }
        self.send_value(session, effects);
    }
}
