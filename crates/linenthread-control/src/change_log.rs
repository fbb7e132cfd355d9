//! The log of changes of the replica registry that ingress nodes follow.

use std::collections::{BTreeSet, VecDeque};

/// Which replicas changed, in order. Each change has an offset, counted from 1; the oldest changes are forgotten.
pub struct ChangeLog {
    /// Offset of the newest change.
    offset: u64,
    /// The remembered changes, the oldest first: offset and id of the replica.
    entries: VecDeque<(u64, String)>,
    max_entries: usize,
}

impl ChangeLog {
    /// An empty log that remembers so many changes.
    pub fn new(max_entries: usize) -> ChangeLog {
        ChangeLog {
            offset: 0,
            entries: VecDeque::new(),
            max_entries,
        }
    }

    /// Offset of the newest change; 0 if there was none.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Appends a change of a replica.
    pub fn append(&mut self, replica_id: &str) {
        self.offset += 1;
        self.entries.push_back((self.offset, replica_id.to_owned()));
        if self.entries.len() > self.max_entries {
            self.entries.pop_front();
        }
    }

    /// The replicas that changed after an offset; `None` if changes since then are forgotten, or the offset was never
    /// reached.
    pub fn since(&self, offset: u64) -> Option<BTreeSet<&str>> {
        let oldest = self
            .entries
            .front()
            .map_or(self.offset + 1, |(oldest, _)| *oldest);
        if offset > self.offset || offset + 1 < oldest {
            return None;
        }
        Some(
            self.entries
                .iter()
                .rev()
                .take_while(|(entry_offset, _)| *entry_offset > offset)
                .map(|(_, replica_id)| replica_id.as_str())
                .collect(),
        )
    }
}
