//! The log of changes to the replica registry, which ingress nodes follow.

use std::collections::{BTreeSet, VecDeque};
use std::fmt;

/// An offset in the change log of one control node: the number of changes up to it. The control node increments it with
/// each change. An ingress node that reports the offset of the last change it received is sent only the changes after
/// it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeLogOffset(u64);

impl ChangeLogOffset {
    /// The offset before the first change.
    pub const START: ChangeLogOffset = ChangeLogOffset(0);

    /// Converts the number in a message.
    pub const fn new(changes: u64) -> ChangeLogOffset {
        ChangeLogOffset(changes)
    }

    /// Returns the number that is sent in messages.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the offset of the next change.
    #[must_use]
    pub const fn next(self) -> ChangeLogOffset {
        ChangeLogOffset(self.0 + 1)
    }
}

impl fmt::Display for ChangeLogOffset {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

struct Change {
    offset: ChangeLogOffset,
    replica_id: String,
}

/// The ids of the replicas that changed, in order. Only the newest changes are retained.
pub struct ChangeLog {
    /// Offset of the newest change.
    offset: ChangeLogOffset,
    /// The retained changes, oldest first.
    changes: VecDeque<Change>,
    max_changes: usize,
}

impl ChangeLog {
    /// Creates an empty log that retains the newest `max_changes` changes.
    pub fn new(max_changes: usize) -> ChangeLog {
        ChangeLog {
            offset: ChangeLogOffset::START,
            changes: VecDeque::new(),
            max_changes,
        }
    }

    /// Returns the offset of the newest change; [`ChangeLogOffset::START`] if there was none.
    pub fn offset(&self) -> ChangeLogOffset {
        self.offset
    }

    /// Appends a change of a replica.
    pub fn append(&mut self, replica_id: &str) {
        self.offset = self.offset.next();
        self.changes.push_back(Change {
            offset: self.offset,
            replica_id: replica_id.to_owned(),
        });
        if self.changes.len() > self.max_changes {
            self.changes.pop_front();
        }
    }

    /// Returns the ids of the replicas that changed after an offset; `None` if changes since then are no longer
    /// retained, or the offset is beyond the end of the log.
    pub fn since(&self, offset: ChangeLogOffset) -> Option<BTreeSet<&str>> {
        let oldest = self
            .changes
            .front()
            .map_or(self.offset.next(), |change| change.offset);
        if offset > self.offset || offset.next() < oldest {
            return None;
        }
        Some(
            self.changes
                .iter()
                .rev()
                .take_while(|change| change.offset > offset)
                .map(|change| change.replica_id.as_str())
                .collect(),
        )
    }
}
