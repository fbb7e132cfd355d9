//! A voter's disk: its identity, Raft's hard state, the log of entries and the snapshot before it.
//!
//! `record` has the records on disk; `raft_storage` is what Raft reads of them.

mod raft_storage;
mod record;

use std::collections::VecDeque;

use linenthread_frames::DecodeError;
use linenthread_store::{Files, Log, TornTail};
use raft::Storage;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use snafu::{OptionExt, ResultExt};

use crate::error::{
    AppendSnafu, DamagedRecordSnafu, MisplacedEntrySnafu, RecordError, StorageError,
};
use crate::identifiers::VoterIncarnation;
use crate::state_table::StateTable;
use crate::voter_identity::VoterIdentity;
use record::Record;

/// The log is compacted when so many entries were applied since the snapshot.
const COMPACT_AFTER_ENTRIES: u64 = 256;
/// Or when it is longer than this, in bytes.
const COMPACT_ABOVE_BYTES: u64 = 2 * 1024 * 1024;

/// A voter's disk and what is on it. All of it is in memory as well, since it is small.
pub(crate) struct VoterStorage<F> {
    log: Log<F>,
    identity: Option<VoterIdentity>,
    /// The voter has taken part in Raft under this identity.
    is_active: bool,
    hard_state: HardState,
    /// The state that all entries before the following ones lead to.
    snapshot: Snapshot,
    /// The entries after the snapshot, without a gap.
    entries: VecDeque<Entry>,
}

/// A voter's disk as it was found.
pub(crate) struct OpenedStorage<F> {
    pub(crate) storage: VoterStorage<F>,
    /// What a crash had left unfinished.
    pub(crate) torn_tail: Option<TornTail>,
}

impl<F: Files> VoterStorage<F> {
    /// Opens what is on the disk.
    ///
    /// # Errors
    /// As [`Log::open`], and for a record that does not decode.
    pub(crate) fn open(files: F) -> Result<OpenedStorage<F>, StorageError> {
        let opened = Log::open(files)?;
        let mut storage = VoterStorage {
            log: opened.log,
            identity: None,
            is_active: false,
            hard_state: HardState::default(),
            snapshot: Snapshot::default(),
            entries: VecDeque::new(),
        };
        for (number, bytes) in opened.records.iter().enumerate() {
            Record::decode(bytes)
                .and_then(|record| storage.replay(record))
                .context(DamagedRecordSnafu { number })?;
        }
        Ok(OpenedStorage {
            storage,
            torn_tail: opened.torn_tail,
        })
    }

    /// Takes over a record that was written before.
    fn replay(&mut self, record: Record) -> Result<(), RecordError> {
        match record {
            Record::Identity(identity) => {
                self.identity = Some(identity);
                self.is_active = false;
            }
            Record::Active => self.is_active = true,
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Entry(entry) => self.insert(entry)?,
            Record::Snapshot(snapshot) => {
                self.snapshot = snapshot;
                self.entries.clear();
            }
        }
        Ok(())
    }

    /// Puts an entry in its place, over those that stood there and after it.
    fn insert(&mut self, entry: Entry) -> Result<(), RecordError> {
        let position = self
            .position(entry.index)
            .filter(|position| *position <= self.entries.len())
            .context(MisplacedEntrySnafu)?;
        self.entries.truncate(position);
        self.entries.push_back(entry);
        Ok(())
    }

    /// Where the entry of an index is, or would be, among those after the snapshot.
    fn position(&self, index: u64) -> Option<usize> {
        let position = index.checked_sub(self.snapshot_index() + 1)?;
        usize::try_from(position).ok()
    }

    pub(crate) fn identity(&self) -> Option<&VoterIdentity> {
        self.identity.as_ref()
    }

    /// The incarnation of the identity; a founder's where there is none.
    pub(crate) fn incarnation(&self) -> VoterIncarnation {
        let identity = self.identity();
        identity.map_or(VoterIncarnation::FOUNDER, |identity| identity.incarnation)
    }

    pub(crate) fn is_active(&self) -> bool {
        self.is_active
    }

    /// Begins under a new identity, from this state. What was there before is gone.
    pub(crate) fn initialize(
        &mut self,
        identity: VoterIdentity,
        snapshot: Snapshot,
        hard_state: HardState,
    ) -> Result<(), StorageError> {
        self.identity = Some(identity);
        self.is_active = false;
        (self.snapshot, self.hard_state) = (snapshot, hard_state);
        self.entries.clear();
        self.rewrite()
    }

    /// The voter takes part in Raft from now on.
    pub(crate) fn activate(&mut self) -> Result<(), StorageError> {
        self.is_active = true;
        self.log.append(&record::active())?;
        Ok(self.log.sync()?)
    }

    /// Appends entries; they last once [`VoterStorage::sync`] has returned.
    pub(crate) fn append(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        for entry in entries {
            self.log.append(&record::entry(entry))?;
            self.insert(entry.clone()).context(AppendSnafu)?;
        }
        Ok(())
    }

    /// Writes Raft's hard state; it lasts once [`VoterStorage::sync`] has returned.
    pub(crate) fn set_hard_state(&mut self, hard_state: &HardState) -> Result<(), StorageError> {
        self.hard_state = hard_state.clone();
        Ok(self.log.append(&record::hard_state(hard_state))?)
    }

    /// A commit index counts at once; it is written with the next record.
    pub(crate) fn set_commit(&mut self, commit: u64) {
        self.hard_state.commit = commit;
    }

    /// Replaces all entries by a snapshot of the leader's.
    pub(crate) fn install(&mut self, snapshot: Snapshot) -> Result<(), StorageError> {
        let metadata = snapshot.get_metadata();
        self.hard_state.commit = self.hard_state.commit.max(metadata.index);
        self.hard_state.term = self.hard_state.term.max(metadata.term);
        self.snapshot = snapshot;
        self.entries.clear();
        self.rewrite()
    }

    /// Returns once all that was appended is on the disk for good.
    pub(crate) fn sync(&mut self) -> Result<(), StorageError> {
        Ok(self.log.sync()?)
    }

    /// Whether the log is so long that it should be compacted.
    pub(crate) fn needs_compaction(&self, applied: u64) -> bool {
        let count = applied.saturating_sub(self.snapshot_index());
        count >= COMPACT_AFTER_ENTRIES || count > 0 && self.log.bytes() > COMPACT_ABOVE_BYTES
    }

    /// Replaces the entries up to `applied`, the last one that was applied, by a snapshot of the state that they lead
    /// to.
    pub(crate) fn compact(
        &mut self,
        applied: u64,
        conf_state: &ConfState,
        state: &StateTable,
    ) -> Result<(), StorageError> {
        let Ok(term) = self.term(applied) else {
            return Ok(());
        };
        let count = applied.saturating_sub(self.snapshot_index());
        let count =
            usize::try_from(count).map_or(self.entries.len(), |n| n.min(self.entries.len()));
        self.entries.drain(..count);
        self.snapshot = Snapshot {
            data: state.encode().into(),
            ..Snapshot::default()
        };
        let metadata = self.snapshot.mut_metadata();
        (metadata.index, metadata.term) = (applied, term);
        metadata.set_conf_state(conf_state.clone());
        self.rewrite()
    }

    /// Replaces all records by those of the present state.
    fn rewrite(&mut self) -> Result<(), StorageError> {
        let mut records = Vec::new();
        records.extend(self.identity.as_ref().map(record::identity));
        records.extend(self.is_active.then(record::active));
        records.push(record::snapshot(&self.snapshot));
        records.extend(self.entries.iter().map(record::entry));
        records.push(record::hard_state(&self.hard_state));
        Ok(self.log.rewrite(&records)?)
    }

    /// The state at the snapshot.
    pub(crate) fn state(&self) -> Result<StateTable, DecodeError> {
        if self.snapshot.data.is_empty() {
            Ok(StateTable::default())
        } else {
            StateTable::decode(&self.snapshot.data)
        }
    }

    /// The index of the last entry that the snapshot covers.
    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }
}
