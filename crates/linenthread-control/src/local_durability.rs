//! Tracks how much of a control node's state its own disk holds.

use linenthread_consensus::{Epoch, ValueNumber};

/// What is known to be durable on the node's own disk.
pub(crate) struct LocalDurability {
    /// Number of the newest value up to which the disk holds everything.
    value_number: Option<ValueNumber>,
    /// The newest epoch on the disk.
    epoch: Epoch,
}

impl LocalDurability {
    /// Creates the state at start-up: the epoch is durable; the values are not known to be until the register reports
    /// them.
    pub(crate) fn new(epoch: Epoch) -> LocalDurability {
        LocalDurability {
            value_number: None,
            epoch,
        }
    }

    /// Returns the number of the newest value up to which the disk holds everything.
    pub(crate) fn value_number(&self) -> Option<ValueNumber> {
        self.value_number
    }

    /// Reports whether the disk holds an epoch.
    pub(crate) fn holds_epoch(&self, epoch: Epoch) -> bool {
        epoch <= self.epoch
    }

    /// Records that an epoch was synced.
    pub(crate) fn on_epoch_synced(&mut self, epoch: Epoch) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Records the newest value up to which the disk holds everything; returns whether it is newer than the last one.
    pub(crate) fn advance(&mut self, value_number: Option<ValueNumber>) -> bool {
        let is_newer = value_number > self.value_number;
        if is_newer {
            self.value_number = value_number;
        }
        is_newer
    }
}
