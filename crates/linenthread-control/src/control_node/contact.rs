//! Contact with a majority of the voters: handles its start, its loss, and pauses of the process.

use linenthread_consensus::NodeId;
use linenthread_time::Instant;

use crate::control_peer::ControlPeer;
use crate::quorum_contact::ContactChange;
use crate::{ControlEvent, ControlNode, Effect};

impl ControlNode {
    /// Returns the ids of the nodes in contact, including this one.
    pub(super) fn nodes_in_contact(&self, now: Instant) -> Vec<NodeId> {
        let others = self.membership.contacts(now).map(ControlPeer::node_id);
        others.chain([self.register.id()]).collect()
    }

    /// Reports whether this node has had a recent round trip of messages with each of more than half of the voters,
    /// counting itself if it is a voter.
    pub fn has_quorum(&self, now: Instant) -> bool {
        self.register.is_majority(self.nodes_in_contact(now))
    }

    /// Detects that the process was paused; must run before any other work. After a pause all state that depends on
    /// contact is stale, so all sessions are closed, and pending calls are answered as unknown before any new call is
    /// answered.
    pub(super) fn detect_pause(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(paused) = self.contact.on_activity(now) else {
            return;
        };
        effects.push(Effect::Log(ControlEvent::ResumedAfterPause { paused }));
        let sessions = self
            .membership
            .sessions()
            .into_iter()
            .chain(self.ingress_nodes.sessions());
        for session in sessions {
            self.drop_session(now, session, effects);
        }
        self.contact.reset();
        self.registry.mark_unconfirmed();
        self.complete_drains(now, effects);
        self.drive_register(
            now,
            |register, register_effects| register.tick(now, register_effects),
            effects,
        );
    }

    /// Re-evaluates contact with a majority. When contact starts, the waiting ingress nodes are updated; when it is lost,
    /// their sessions are closed so that they connect to another control node.
    pub(super) fn update_contact(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let has_quorum = self.has_quorum(now);
        match self.contact.update(now, has_quorum) {
            Some(ContactChange::Established) => {
                for session in self.ingress_nodes.sessions() {
                    self.confirm_configuration(now, session, effects);
                    self.update_ingress_node(now, session, effects);
                }
            }
            Some(ContactChange::Lost) => {
                effects.push(Effect::Log(ControlEvent::QuorumLost));
                self.registry.mark_unconfirmed();
                self.drop_ingress_sessions(now, effects);
            }
            None => {}
        }
    }
}
