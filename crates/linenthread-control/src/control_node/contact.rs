//! Contact with a majority of the voters: when it begins and ends, and what a freeze of the process does to it.

use linenthread_consensus::NodeId;
use linenthread_time::Instant;

use crate::control_peer::ControlPeer;
use crate::quorum_contact::ContactChange;
use crate::{ControlEvent, ControlNode, Effect};

impl ControlNode {
    /// Ids of the nodes in contact, this one included.
    pub(super) fn nodes_in_contact(&self, now: Instant) -> Vec<NodeId> {
        let others = self.membership.contacts(now).map(ControlPeer::node_id);
        others.chain([self.register.id()]).collect()
    }

    /// Whether messages have lately gone back and forth between this node and more than half of the voters.
    pub fn has_quorum(&self, now: Instant) -> bool {
        self.register.is_majority(self.nodes_in_contact(now))
    }

    /// Runs before all other work: after a freeze everything that rests on contact is stale, so all sessions are
    /// closed, and what was pending is answered as unknown before anything else is answered.
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
        self.complete_drains(now, effects);
        self.drive_register(
            now,
            |register, register_effects| register.tick(now, register_effects),
            effects,
        );
    }

    /// Takes in that contact may have begun or ended. When it begins, the ingress nodes that waited are updated; when
    /// it ends, all of them are sent elsewhere.
    pub(super) fn update_contact(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let has_quorum = self.has_quorum(now);
        match self.contact.update(now, has_quorum) {
            Some(ContactChange::Began) => {
                for session in self.ingress_nodes.sessions() {
                    self.confirm_configuration(now, session, effects);
                    self.update_ingress_node(now, session, effects);
                }
            }
            Some(ContactChange::Ended) => {
                effects.push(Effect::Log(ControlEvent::QuorumLost));
                self.drop_ingress_sessions(now, effects);
            }
            None => {}
        }
    }
}
