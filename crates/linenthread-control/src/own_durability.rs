//! How much of what a control node knows its own disk holds.

use linenthread_consensus::{Epoch, ValueNumber};

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
    pub(crate) fn advance(&mut self, value_number: Option<ValueNumber>) -> bool {
        let is_news = value_number > self.value_number;
        if is_news {
            self.value_number = value_number;
        }
        is_news
    }
}
