//! Contact with a majority of the voters: nothing may be confirmed, and nothing conclusively rejected, without it.

use std::time::Duration;

use linenthread_consensus::NodeId;
use linenthread_time::Instant;

use crate::control_peer::ControlPeer;
use crate::timing::{PAUSE_TIMEOUT, STARTUP_GRACE};
use crate::{ControlEvent, ControlNode, Effect};

/// Since when the node runs, and since when it is in contact with a majority of the voters.
pub(crate) struct QuorumContact {
    started_at: Instant,
    /// `None` while out of contact.
    since: Option<Instant>,
    /// When the state machine last ran at all.
    last_active_at: Instant,
}

impl QuorumContact {
    pub(crate) fn new(now: Instant) -> QuorumContact {
        QuorumContact {
            started_at: now,
            since: None,
            last_active_at: now,
        }
    }

    /// When the node started.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Since when contact has lasted without interruption.
    pub(crate) fn since(&self) -> Option<Instant> {
        self.since
    }

    /// Whether the node started so recently that the others may not have been found yet.
    pub(crate) fn is_starting(&self, now: Instant) -> bool {
        now < self.started_at + STARTUP_GRACE
    }

    /// Notes that the state machine runs; how long it did not, if that was long enough for a freeze.
    fn on_activity(&mut self, now: Instant) -> Option<Duration> {
        let paused = now.since(self.last_active_at);
        self.last_active_at = now;
        (paused > PAUSE_TIMEOUT).then_some(paused)
    }
}

impl ControlNode {
    /// Ids of the nodes in contact, this one included.
    pub(crate) fn nodes_in_contact(&self, now: Instant) -> Vec<NodeId> {
        let others = self.membership.contacts(now).map(ControlPeer::node_id);
        others.chain([self.register.id()]).collect()
    }

    /// Whether messages have lately gone back and forth between this node and more than half of the voters.
    pub fn has_quorum(&self, now: Instant) -> bool {
        self.register.is_majority(self.nodes_in_contact(now))
    }

    /// Runs before all other work: after a freeze everything that rests on contact is stale, so all sessions are
    /// closed, and what was pending is answered as unknown before anything else is answered.
    pub(crate) fn detect_pause(&mut self, now: Instant, effects: &mut Vec<Effect>) {
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
        self.contact.since = None;
        self.complete_drains(now, effects);
        self.drive_register(
            now,
            |register, actions| register.tick(now, actions),
            effects,
        );
    }

    /// Takes in that contact may have begun or ended. When it begins, the ingress nodes that waited are updated; when
    /// it ends, all of them are sent elsewhere.
    pub(crate) fn update_contact(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        match (self.has_quorum(now), self.contact.since) {
            (true, None) => {
                self.contact.since = Some(now);
                for session in self.ingress_nodes.sessions() {
                    self.confirm_configuration(now, session, effects);
                    self.update_ingress_node(now, session, effects);
                }
            }
            (false, Some(_)) => {
                self.contact.since = None;
                effects.push(Effect::Log(ControlEvent::QuorumLost));
                self.drop_ingress_sessions(now, effects);
            }
            _ => {}
        }
    }
}
