//! The log of changes of the replica registry that ingress nodes follow.

use std::collections::{BTreeSet, VecDeque};
use std::fmt;

/// A place in the change log of one control node: the number of changes up to there. The control node raises it with
/// each change; an ingress node that names the last one it received is sent just the changes after it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeLogOffset(u64);

impl ChangeLogOffset {
    /// Before the first change.
    pub const START: ChangeLogOffset = ChangeLogOffset(0);

    /// The offset that a message carries.
    pub const fn new(changes: u64) -> ChangeLogOffset {
        ChangeLogOffset(changes)
    }

    /// The number that messages carry.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The offset of the next change.
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

/// One change of the replica registry.
struct Change {
    offset: ChangeLogOffset,
    replica_id: String,
}

/// Which replicas changed, in order; the oldest changes are forgotten.
pub struct ChangeLog {
    /// Offset of the newest change.
    offset: ChangeLogOffset,
    /// The remembered changes, the oldest first.
    changes: VecDeque<Change>,
    max_changes: usize,
}

impl ChangeLog {
    /// An empty log that remembers so many changes.
    pub fn new(max_changes: usize) -> ChangeLog {
        ChangeLog {
            offset: ChangeLogOffset::START,
            changes: VecDeque::new(),
            max_changes,
        }
    }

    /// Offset of the newest change; [`ChangeLogOffset::START`] if there was none.
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

    /// The replicas that changed after an offset; `None` if changes since then are forgotten, or the offset was never
    /// reached.
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
