//! A voter's durable storage: its identity, and Raft's hard state, snapshot and entries.
//!
//! `record` encodes the records on disk; `raft_storage` implements the raft library's `Storage`.

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

/// The log is compacted once this many entries were applied since the snapshot.
const COMPACT_AFTER_ENTRIES: u64 = 256;
/// The log is compacted once it is longer than this, in bytes.
const COMPACT_ABOVE_BYTES: u64 = 2 * 1024 * 1024;

/// A voter's storage on disk. All of its state is kept in memory as well, since it is small.
pub(crate) struct VoterStorage<F> {
    log: Log<F>,
    identity: Option<VoterIdentity>,
    /// The voter has participated in Raft under this identity.
    is_active: bool,
    hard_state: HardState,
    /// The state after all entries before those in `entries`.
    snapshot: Snapshot,
    /// The entries after the snapshot, without gaps.
    entries: VecDeque<Entry>,
}

/// A voter's storage that was opened.
pub(crate) struct OpenedStorage<F> {
    pub(crate) storage: VoterStorage<F>,
    /// The incomplete write that was truncated, if there was one.
    pub(crate) torn_tail: Option<TornTail>,
}

impl<F: Files> VoterStorage<F> {
    /// Opens the storage on this disk.
    ///
    /// # Errors
    /// As [`Log::open`], or a record cannot be decoded or applied.
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

    /// Applies a record that was read from the disk.
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

    /// Stores an entry at its index, in place of any entries from that index on.
    fn insert(&mut self, entry: Entry) -> Result<(), RecordError> {
        let position = self
            .position(entry.index)
            .filter(|position| *position <= self.entries.len())
            .context(MisplacedEntrySnafu)?;
        self.entries.truncate(position);
        self.entries.push_back(entry);
        Ok(())
    }

    /// Returns the position in `entries` for an index, whether or not there is an entry; `None` if the snapshot covers
    /// it.
    fn position(&self, index: u64) -> Option<usize> {
        let position = index.checked_sub(self.snapshot_index() + 1)?;
        usize::try_from(position).ok()
    }

    pub(crate) fn identity(&self) -> Option<&VoterIdentity> {
        self.identity.as_ref()
    }

    /// Returns the incarnation of the identity; a founder's if there is no identity.
    pub(crate) fn incarnation(&self) -> VoterIncarnation {
        let identity = self.identity();
        identity.map_or(VoterIncarnation::FOUNDER, |identity| identity.incarnation)
    }

    pub(crate) fn is_active(&self) -> bool {
        self.is_active
    }

    /// Replaces all contents with a new identity and the state from which it starts.
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

    /// Records durably that the voter participates in Raft from now on.
    pub(crate) fn activate(&mut self) -> Result<(), StorageError> {
        self.is_active = true;
        self.log.append(&record::active())?;
        Ok(self.log.sync()?)
    }

    /// Appends entries, which are durable once [`VoterStorage::sync`] has succeeded.
    pub(crate) fn append(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        for entry in entries {
            self.log.append(&record::entry(entry))?;
            self.insert(entry.clone()).context(AppendSnafu)?;
        }
        Ok(())
    }

    /// Writes Raft's hard state, which is durable once [`VoterStorage::sync`] has succeeded.
    pub(crate) fn set_hard_state(&mut self, hard_state: &HardState) -> Result<(), StorageError> {
        self.hard_state = hard_state.clone();
        Ok(self.log.append(&record::hard_state(hard_state))?)
    }

    /// Sets the commit index in memory; it is written with the next hard state.
    pub(crate) fn set_commit(&mut self, commit: u64) {
        self.hard_state.commit = commit;
    }

    /// Replaces all entries with a snapshot from the leader.
    pub(crate) fn install(&mut self, snapshot: Snapshot) -> Result<(), StorageError> {
        let metadata = snapshot.get_metadata();
        self.hard_state.commit = self.hard_state.commit.max(metadata.index);
        self.hard_state.term = self.hard_state.term.max(metadata.term);
        self.snapshot = snapshot;
        self.entries.clear();
        self.rewrite()
    }

    /// Makes everything that was appended durable; returns once it is.
    pub(crate) fn sync(&mut self) -> Result<(), StorageError> {
        Ok(self.log.sync()?)
    }

    /// Reports whether the log is long enough to be compacted.
    pub(crate) fn needs_compaction(&self, applied: u64) -> bool {
        let count = applied.saturating_sub(self.snapshot_index());
        count >= COMPACT_AFTER_ENTRIES || count > 0 && self.log.file_bytes() > COMPACT_ABOVE_BYTES
    }

    /// Replaces the entries up to `applied`, the last applied index, with a snapshot of `state`.
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

    /// Replaces all records on disk with those of the current state.
    fn rewrite(&mut self) -> Result<(), StorageError> {
        let mut records = Vec::new();
        records.extend(self.identity.as_ref().map(record::identity));
        records.extend(self.is_active.then(record::active));
        records.push(record::snapshot(&self.snapshot));
        records.extend(self.entries.iter().map(record::entry));
        records.push(record::hard_state(&self.hard_state));
        Ok(self.log.rewrite(&records)?)
    }

    /// Decodes the replicated state in the snapshot.
    pub(crate) fn state(&self) -> Result<StateTable, DecodeError> {
        if self.snapshot.data.is_empty() {
            Ok(StateTable::default())
        } else {
            StateTable::decode(&self.snapshot.data)
        }
    }

    /// Returns the index of the last entry that the snapshot covers.
    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }
}
