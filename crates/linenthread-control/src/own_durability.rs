//! How much of what a control node knows its own disk holds, and how the others learn of it.

use linenthread_consensus::{Epoch, ValueNumber};
use linenthread_messages::{DurableProgress, PeerMessage};
use linenthread_time::Instant;

use crate::{ControlNode, Effect, SessionId};

/// What the node's own disk is known to hold.
pub(crate) struct OwnDurability {
    /// Number of the newest value up to which the disk holds everything.
    value_number: Option<ValueNumber>,
    /// The newest epoch that the disk holds.
    epoch: Epoch,
}

impl OwnDurability {
    /// As a start finds it: the epoch is durable; the values are once the register says so.
    pub(crate) fn new(epoch: Epoch) -> OwnDurability {
        OwnDurability {
            value_number: None,
            epoch,
        }
    }

    /// Number of the newest value up to which the disk holds everything.
    pub(crate) fn value_number(&self) -> Option<ValueNumber> {
        self.value_number
    }

    /// Whether the disk holds an epoch.
    pub(crate) fn holds_epoch(&self, epoch: Epoch) -> bool {
        epoch <= self.epoch
    }

    /// An epoch was synced.
    pub(crate) fn on_epoch_synced(&mut self, epoch: Epoch) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Takes in up to which value the disk holds everything; whether that is news.
    fn advance(&mut self, value_number: Option<ValueNumber>) -> bool {
        let is_news = value_number > self.value_number;
        if is_news {
            self.value_number = value_number;
        }
        is_news
    }
}

impl ControlNode {
    /// Notifies the other control nodes as soon as the own disk holds all that this node knows.
    pub(crate) fn announce_durability(&mut self, now: Instant, effects: &mut Vec<Effect>) {
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

    /// A peer's disk holds more than before.
    pub(crate) fn on_durable_progress(
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

    /// A standby that has just become ready need not wait for the next tick.
    fn expedite_voter_change(&mut self, now: Instant) {
        if self.is_leader(now) && !self.standbys(now, Some(self.value_number())).is_empty() {
            self.ticks.expedite();
        }
    }
}
