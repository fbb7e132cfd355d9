//! Sends the configuration, the replicas and the quota grants to ingress nodes.

use linenthread_messages::{PeerMessage, QuotaGrants};
use linenthread_time::Instant;

use crate::ingress_peer::UpdateSource;
use crate::pending_jobs::JobOwner;
use crate::timing::CALL_TIMEOUT;
use crate::{ControlNode, Effect, SessionId};

impl ControlNode {
    /// Starts a read that confirms the newest configuration, if an ingress node still needs the confirmation.
    pub(super) fn confirm_configuration(
        &mut self,
        now: Instant,
        session: SessionId,
        effects: &mut Vec<Effect>,
    ) {
        if !self.has_quorum(now) {
            return;
        }
        let Some(ingress) = self
            .ingress_nodes
            .get_mut(session)
            .filter(|ingress| ingress.needs_confirmation())
        else {
            return;
        };
        ingress.start_confirmation();
        let job = self.pending_jobs.add(JobOwner::Confirmation(session));
        let deadline = now + CALL_TIMEOUT;
        self.drive_register(
            now,
            |register, register_effects| {
                register.read(now, job, deadline, register_effects);
            },
            effects,
        );
    }

    /// Sends an ingress node all updates it has not received yet. Sends nothing while out of contact with a majority.
    pub(super) fn update_ingress_node(
        &mut self,
        now: Instant,
        session: SessionId,
        effects: &mut Vec<Effect>,
    ) {
        if !self.has_quorum(now) {
            return;
        }
        let source = UpdateSource {
            registry: &self.registry,
            decided: self.register.decided(),
            address_book: &self.address_book,
        };
        if let Some(update) = self.ingress_nodes.next_update(now, session, &source) {
            effects.push(Effect::Send {
                session,
                message: PeerMessage::IngressUpdate(update),
            });
        }
    }

    /// Sends the leader's grants to the ingress nodes connected to this node, and to all control nodes for the others.
    pub(super) fn send_quota_grants(&self, grants: QuotaGrants, effects: &mut Vec<Effect>) {
        if grants.grants.is_empty() {
            return;
        }
        for (session, _) in self.membership.iter() {
            effects.push(Effect::Send {
                session,
                message: PeerMessage::QuotaGrants(grants.clone()),
            });
        }
        self.forward_quota_grants(grants, effects);
    }

    /// Forwards each grant to its ingress node, if that node has a session with this control node.
    pub(super) fn forward_quota_grants(&self, grants: QuotaGrants, effects: &mut Vec<Effect>) {
        for grant in grants.grants {
            let Some(session) = self.ingress_nodes.session_with(&(&grant).into()) else {
                continue;
            };
            let message = PeerMessage::QuotaGrants(QuotaGrants {
                grants: vec![grant],
            });
            effects.push(Effect::Send { session, message });
        }
    }
}
