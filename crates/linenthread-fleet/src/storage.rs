//! A voter's disk: its identity, Raft's hard state, the log of entries and the snapshot before it.

use std::collections::VecDeque;

use linenthread_frames::{DecodeError, Decoder, Encoder};
use linenthread_store::{Files, Log, TornTail};
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError as RaftStorageError};
use snafu::{OptionExt, ResultExt};

use crate::error::{
    AppendSnafu, DamagedRecordSnafu, MisplacedEntrySnafu, RecordError, StorageError,
    UnknownRecordSnafu,
};
use crate::frame::{decode_entry, decode_snapshot, encode_entry, encode_snapshot};
use crate::identifiers::VoterIncarnation;
use crate::state_table::StateTable;
use crate::voter_identity::VoterIdentity;

/// The first byte of a record on disk: what it holds.
mod kind {
    pub(super) const IDENTITY: u8 = 1;
    pub(super) const HARD_STATE: u8 = 2;
    pub(super) const ENTRY: u8 = 3;
    pub(super) const SNAPSHOT: u8 = 4;
    pub(super) const ACTIVE: u8 = 5;
}

/// The log is compacted when so many entries were applied since the snapshot.
const COMPACT_AFTER_ENTRIES: u64 = 256;
/// Or when it is longer than this, in bytes.
const COMPACT_ABOVE_BYTES: u64 = 2 * 1024 * 1024;
/// What an entry counts beside its data and context when a message is filled, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// A voter's disk and what is on it. All of it is in memory as well, since it is small.
pub(crate) struct VoterStorage<F> {
    log: Log<F>,
    identity: Option<VoterIdentity>,
    /// The voter has taken part in Raft under this identity.
    is_active: bool,
    hard_state: HardState,
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
}

impl<F: Files> VoterStorage<F> {
    /// Opens what is on the disk, and tells what a crash had left unfinished.
    ///
    /// # Errors
    /// As [`Log::open`], and for a record that does not decode.
    pub(crate) fn open(files: F) -> Result<(VoterStorage<F>, Option<TornTail>), StorageError> {
        let opened = Log::open(files)?;
        let mut storage = VoterStorage {
            log: opened.log,
            identity: None,
            is_active: false,
            hard_state: HardState::default(),
            snapshot: Snapshot::default(),
            entries: VecDeque::new(),
        };
        for (number, record) in opened.records.iter().enumerate() {
            storage
                .replay(record)
                .context(DamagedRecordSnafu { number })?;
        }
        Ok((storage, opened.torn_tail))
    }

    /// Takes over a record that was written before.
    fn replay(&mut self, record: &[u8]) -> Result<(), RecordError> {
        let mut decoder = Decoder::new(record);
        match decoder.u8()? {
            kind::IDENTITY => {
                self.identity = Some(VoterIdentity::decode(&mut decoder)?);
                self.is_active = false;
            }
            kind::ACTIVE => self.is_active = true,
            kind::HARD_STATE => {
                self.hard_state = HardState {
                    term: decoder.u64()?,
                    vote: decoder.u64()?,
                    commit: decoder.u64()?,
                    ..HardState::default()
                };
            }
            kind::ENTRY => {
                let entry = decode_entry(&mut decoder)?;
                self.insert(entry)?;
            }
            kind::SNAPSHOT => {
                self.snapshot = decode_snapshot(&mut decoder)?;
                self.entries.clear();
            }
            kind => return UnknownRecordSnafu { kind }.fail(),
        }
        Ok(decoder.finish()?)
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
        let position = index.checked_sub(self.applied() + 1)?;
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
        self.log.append(&[kind::ACTIVE])?;
        Ok(self.log.sync()?)
    }

    /// Appends entries; they last once [`VoterStorage::sync`] has returned.
    pub(crate) fn append(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        for entry in entries {
            self.log.append(&entry_record(entry))?;
            self.insert(entry.clone()).context(AppendSnafu)?;
        }
        Ok(())
    }

    /// Writes Raft's hard state; it lasts once [`VoterStorage::sync`] has returned.
    pub(crate) fn set_hard_state(&mut self, hard_state: &HardState) -> Result<(), StorageError> {
        self.hard_state = hard_state.clone();
        Ok(self.log.append(&self.hard_state_record())?)
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
        let count = applied.saturating_sub(self.applied());
        count >= COMPACT_AFTER_ENTRIES || count > 0 && self.log.bytes() > COMPACT_ABOVE_BYTES
    }

    /// Replaces the entries up to `applied` by a snapshot of the state that they lead to.
    pub(crate) fn compact(
        &mut self,
        applied: u64,
        conf_state: &ConfState,
        state: &StateTable,
    ) -> Result<(), StorageError> {
        let Ok(term) = self.term(applied) else {
            return Ok(());
        };
        let count = applied.saturating_sub(self.applied());
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

    fn rewrite(&mut self) -> Result<(), StorageError> {
        let mut records = Vec::new();
        if let Some(identity) = &self.identity {
            let mut encoder = record(kind::IDENTITY);
            identity.encode(&mut encoder);
            records.push(encoder.into_bytes());
        }
        if self.is_active {
            records.push(vec![kind::ACTIVE]);
        }
        let mut encoder = record(kind::SNAPSHOT);
        encode_snapshot(&self.snapshot, &mut encoder);
        records.push(encoder.into_bytes());
        records.extend(self.entries.iter().map(entry_record));
        records.push(self.hard_state_record());
        Ok(self.log.rewrite(&records)?)
    }

    fn hard_state_record(&self) -> Vec<u8> {
        let mut encoder = record(kind::HARD_STATE);
        encoder.u64(self.hard_state.term);
        encoder.u64(self.hard_state.vote);
        encoder.u64(self.hard_state.commit);
        encoder.into_bytes()
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
    pub(crate) fn applied(&self) -> u64 {
        self.snapshot.get_metadata().index
    }
}

fn record(kind: u8) -> Encoder {
    let mut encoder = Encoder::new();
    encoder.u8(kind);
    encoder
}

fn entry_record(entry: &Entry) -> Vec<u8> {
    let mut encoder = record(kind::ENTRY);
    encode_entry(entry, &mut encoder);
    encoder.into_bytes()
}

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
        if index == self.applied() {
            return Ok(self.snapshot.get_metadata().term);
        }
        let position = self.position(index).ok_or(RaftStorageError::Compacted)?;
        let entry = self.entries.get(position);
        Ok(entry.ok_or(RaftStorageError::Unavailable)?.term)
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.applied() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.applied() + self.entries.len() as u64)
    }

    fn snapshot(&self, _: u64, _: u64) -> raft::Result<Snapshot> {
        Ok(self.snapshot.clone())
    }
}
