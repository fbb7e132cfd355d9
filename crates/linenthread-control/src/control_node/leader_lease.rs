//! The leader lease: requests it for this node, and grants it to other nodes as a voter.

use linenthread_consensus::{AfterSync, Epoch, LeaseProgress, NodeId};
use linenthread_messages::{LeaseRelease, LeaseReply, LeaseRequest, PeerMessage};
use linenthread_time::Instant;

use crate::graceful_shutdown::ShutdownStep;
use crate::{ControlEvent, ControlNode, Effect};

impl ControlNode {
    /// Requests the lease, or its renewal, if this node may lead.
    pub(super) fn request_lease(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if !self.may_lead(now) {
            return;
        }
        let is_preferred = self.is_preferred_leader(now);
        let Some(request) = self.lease.tick(now, is_preferred, self.value_number()) else {
            return;
        };
        for (session, _) in self.membership.iter() {
            effects.push(Effect::Send {
                session,
                message: PeerMessage::LeaseRequest(request.clone()),
            });
        }
        self.on_lease_request(now, self.register.id(), &request, effects);
    }

    /// Reports whether this node is the preferred leader: the first voter, in the order of the newest value, that is in
    /// contact and not shutting down. If all voters in contact are shutting down it is the first of them, because without
    /// a leader no standby could replace any of them.
    pub(super) fn is_preferred_leader(&self, now: Instant) -> bool {
        let own_id = self.register.id();
        let in_contact = self.nodes_in_contact(now);
        let candidates = || {
            self.register
                .voters()
                .iter()
                .map(NodeId::from)
                .filter(|id| in_contact.contains(id))
        };
        let preferred = candidates()
            .find(|id| !self.node_is_shutting_down(*id))
            .or_else(|| candidates().next());
        preferred == Some(own_id)
    }

    /// Reports whether this node may request or renew the lease. A node that is shutting down stops once it has nothing
    /// left to do as the leader.
    fn may_lead(&self, now: Instant) -> bool {
        !self.is_shutting_down() || matches!(self.next_shutdown_step(now), ShutdownStep::Wait(_))
    }

    /// Grants or denies the lease to the requesting node. A reply under a new epoch is sent only after that epoch is
    /// durable.
    pub(super) fn on_lease_request(
        &mut self,
        now: Instant,
        from: NodeId,
        request: &LeaseRequest,
        effects: &mut Vec<Effect>,
    ) {
        let value_number =
            Some(self.value_number()).filter(|_| !self.register.has_undecided_value());
        let reply = self
            .lease
            .on_lease_request(now, from, request, value_number);
        let reply = PeerMessage::LeaseReply(reply);
        let epoch = self.lease.epoch();
        if self.durability.holds_epoch(epoch) {
            self.send_to_node(from, reply, effects);
            self.deliver_loopback(now, effects);
        } else {
            let reply = AfterSync::Send {
                to: from,
                message: reply,
            };
            ControlNode::persist_epoch(epoch, reply, effects);
        }
    }

    /// Handles a voter's reply to this node's lease request.
    pub(super) fn on_lease_reply(
        &mut self,
        now: Instant,
        from: NodeId,
        reply: &LeaseReply,
        effects: &mut Vec<Effect>,
    ) {
        let (register, value_number) = (&self.register, self.value_number());
        let progress = self
            .lease
            .on_lease_reply(now, from, reply, value_number, |voters| {
                register.is_majority(voters.iter().copied())
            });
        match progress {
            LeaseProgress::Pending | LeaseProgress::Renewed => {}
            // The leader starts its work without waiting for the next tick; at a new value that is a voter change.
            LeaseProgress::RenewedAtNewValue => self.ticks.expedite(),
            LeaseProgress::Acquired { epoch } => {
                self.lease_acquired_at = Some(now);
                self.ticks.expedite();
                self.quota_allocator.on_lease_acquired(now, epoch);
                effects.push(Effect::Log(ControlEvent::LeaseAcquired { epoch }));
            }
        }
    }

    /// Handles the release of the lease by its holder.
    pub(super) fn on_lease_release(&mut self, from: NodeId, release: &LeaseRelease) {
        if self.lease.on_release(from, release) {
            // This node may be the next leader and need not wait for its regular tick.
            self.ticks.expedite();
        }
    }

    /// Releases the lease if this node is shutting down and has nothing left to do as the leader.
    pub(super) fn release_lease_for_shutdown(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if !self.is_shutting_down() || self.next_shutdown_step(now) != ShutdownStep::ReleaseLease {
            return;
        }
        self.release_lease(now, effects);
    }

    /// Releases the lease, so that another node can acquire it without waiting for it to expire.
    pub(super) fn release_lease(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(release) = self.lease.release() else {
            return;
        };
        effects.push(Effect::Log(ControlEvent::LeaseReleased {
            epoch: Epoch::new(release.epoch),
        }));
        let voter_ids: Vec<NodeId> = self.register.voters().iter().map(NodeId::from).collect();
        for voter_id in voter_ids {
            self.send_to_node(
                voter_id,
                PeerMessage::LeaseRelease(release.clone()),
                effects,
            );
        }
        self.deliver_loopback(now, effects);
    }
}
