//! The raft library's read access to a voter's storage.

use linenthread_store::Files;
use raft::eraftpb::{Entry, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError as RaftStorageError};

use super::VoterStorage;

/// Bytes that an entry counts towards a message's size limit in addition to its data and context.
const ENTRY_OVERHEAD_BYTES: usize = 32;

impl<F: Files> Storage for VoterStorage<F> {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let conf_state = self.snapshot.get_metadata().get_conf_state();
        Ok(RaftState::new(self.hard_state.clone(), conf_state.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let from = self.position(low).ok_or(RaftStorageError::Compacted)?;
        let to = self.position(high).ok_or(RaftStorageError::Compacted)?;
        if to > self.entries.len() {
            return Err(RaftStorageError::Unavailable.into());
        }
        let max_size = max_size.into().unwrap_or(u64::MAX);
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let is_first = bytes == 0;
            bytes += (entry.data.len() + entry.context.len() + ENTRY_OVERHEAD_BYTES) as u64;
            is_first || bytes <= max_size
        };
        let range = self.entries.range(from..to);
        Ok(range.take_while(fits).cloned().collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.snapshot_index() {
            return Ok(self.snapshot.get_metadata().term);
        }
        let position = self.position(index).ok_or(RaftStorageError::Compacted)?;
        let entry = self.entries.get(position);
        Ok(entry.ok_or(RaftStorageError::Unavailable)?.term)
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot_index() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot_index() + self.entries.len() as u64)
    }

    fn snapshot(&self, _: u64, _: u64) -> raft::Result<Snapshot> {
        Ok(self.snapshot.clone())
    }
}
