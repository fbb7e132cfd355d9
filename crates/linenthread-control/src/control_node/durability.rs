//! Exchange of durability progress: control nodes tell each other up to which value their disks are complete.

use linenthread_consensus::{Epoch, ValueNumber};
use linenthread_messages::{DurableProgress, PeerMessage};
use linenthread_time::Instant;

use crate::{ControlNode, Effect, SessionId};

impl ControlNode {
    /// Notifies the other control nodes once this node's disk holds everything that the node knows.
    pub(super) fn announce_durability(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let value_number = self
            .register
            .is_fully_durable()
            .then(|| self.value_number());
        if !self.durability.advance(value_number) {
            return;
        }
        let message = PeerMessage::DurableProgress(DurableProgress {
            value_number: value_number.map(ValueNumber::get),
            epoch: Epoch::NONE.get(),
        });
        for (session, _) in self.membership.iter() {
            effects.push(Effect::Send {
                session,
                message: message.clone(),
            });
        }
        self.expedite_voter_change(now);
    }

    /// Handles a peer's report that its disk holds more than before.
    pub(super) fn on_durable_progress(
        &mut self,
        now: Instant,
        session: SessionId,
        progress: &DurableProgress,
    ) {
        if let Some(peer) = self.membership.get_mut(session) {
            peer.observe_durable(progress.value_number.map(ValueNumber::new));
        }
        self.expedite_voter_change(now);
    }

    /// Expedites the next tick if a standby is ready to become a voter.
    fn expedite_voter_change(&mut self, now: Instant) {
        if self.proposes_voter_changes(now)
            && !self.ready_standbys(now, self.value_number()).is_empty()
        {
            self.ticks.expedite();
        }
    }
}
