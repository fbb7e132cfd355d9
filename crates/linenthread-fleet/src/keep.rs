//! What a voter keeps on its disk: its own self, term and vote, the log and the snapshot before it.

use std::collections::VecDeque;

use linenthread_frames::{Put, Res, Take};
use linenthread_store::{Files, Log, LogError, TornTail};
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};

use crate::board::{Board, Life};

const SELF: u8 = 1;
const HARD: u8 = 2;
const ENTRY: u8 = 3;
const SNAPSHOT: u8 = 4;
const HOLDING: u8 = 5;

/// A voter's disk, and what is on it. Everything is in memory as well: the record is small.
pub(crate) struct Keep<F> {
    log: Log<F>,
    pub own: Option<Life>,
    /// It has taken part since it got this self.
    pub holding: bool,
    hard: HardState,
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
}

pub(crate) fn put_entry(entry: &Entry, put: &mut Put) {
    put.u64(entry.index);
    put.u64(entry.term);
    put.0
        .push(u8::from(entry.entry_type == EntryType::EntryConfChange));
    put.bytes(&entry.context);
    put.bytes(&entry.data);
}

pub(crate) fn take_entry(take: &mut Take) -> Res<Entry> {
    let mut entry = Entry {
        index: take.u64()?,
        term: take.u64()?,
        ..Entry::default()
    };
    if take.flag()? {
        entry.entry_type = EntryType::EntryConfChange;
    }
    entry.context = take.lot()?.to_vec().into();
    entry.data = take.lot()?.to_vec().into();
    Ok(entry)
}

pub(crate) fn put_snapshot(snapshot: &Snapshot, put: &mut Put) {
    let about = snapshot.get_metadata();
    put.u64(about.index);
    put.u64(about.term);
    let conf = about.get_conf_state();
    put.u16(conf.voters.len() as u16);
    conf.voters.iter().for_each(|id| put.u64(*id));
    put.bytes(&snapshot.data);
}

pub(crate) fn take_snapshot(take: &mut Take) -> Res<Snapshot> {
    let mut snapshot = Snapshot::default();
    let about = snapshot.mut_metadata();
    (about.index, about.term) = (take.u64()?, take.u64()?);
    let mut voters = Vec::new();
    for _ in 0..take.u16()? {
        voters.push(take.u64()?);
    }
    about.mut_conf_state().voters = voters;
    snapshot.data = take.lot()?.to_vec().into();
    Ok(snapshot)
}

impl<F: Files> Keep<F> {
    /// Opens what is on the disk.
    ///
    /// # Errors
    ///
    /// As [`Log::open`].
    pub(crate) fn open(files: F) -> std::result::Result<(Keep<F>, Option<TornTail>), LogError> {
        let opened = Log::open(files)?;
        let mut keep = Keep {
            log: opened.log,
            own: None,
            holding: false,
            hard: HardState::default(),
            snapshot: Snapshot::default(),
            entries: VecDeque::new(),
        };
        for (n, record) in opened.records.iter().enumerate() {
            keep.recall(record).map_err(|why| LogError::Damaged {
                file: "the voter's log".into(),
                offset: n as u64,
                reason: format!("its record of that number: {why}"),
            })?;
        }
        Ok((keep, opened.torn_tail))
    }

    fn recall(&mut self, record: &[u8]) -> Res<()> {
        let mut take = Take(record);
        match take.u8()? {
            SELF => (self.own, self.holding) = (Some(Life::take(&mut take)?), false),
            HOLDING => self.holding = true,
            HARD => {
                let (term, vote, commit) = (take.u64()?, take.u64()?, take.u64()?);
                self.hard = HardState {
                    term,
                    vote,
                    commit,
                    ..HardState::default()
                };
            }
            ENTRY => {
                let entry = take_entry(&mut take)?;
                self.put_in(entry)?;
            }
            SNAPSHOT => {
                self.snapshot = take_snapshot(&mut take)?;
                self.entries.clear();
            }
            other => return Err(format!("no record is of kind {other}")),
        }
        take.end()
    }

    fn put_in(&mut self, entry: Entry) -> Res<()> {
        let first = self.snapshot.get_metadata().index + 1;
        let at = entry
            .index
            .checked_sub(first)
            .map(|at| at as usize)
            .filter(|at| *at <= self.entries.len());
        let at = at.ok_or("an entry stands where none can be")?;
        self.entries.truncate(at);
        self.entries.push_back(entry);
        Ok(())
    }

    /// A new self, with what it begins from. What was kept before is gone.
    pub(crate) fn begin(
        &mut self,
        own: Life,
        snapshot: Snapshot,
        hard: HardState,
    ) -> std::result::Result<(), LogError> {
        self.own = Some(own);
        self.holding = false;
        (self.snapshot, self.hard) = (snapshot, hard);
        self.entries.clear();
        self.rewrite()
    }

    /// It takes part from now on.
    pub(crate) fn hold(&mut self) -> std::result::Result<(), LogError> {
        self.holding = true;
        self.log.append(&[HOLDING])?;
        self.log.sync()
    }

    pub(crate) fn append(&mut self, entries: &[Entry]) -> std::result::Result<(), LogError> {
        for entry in entries {
            let mut put = Put(vec![ENTRY]);
            put_entry(entry, &mut put);
            self.log.append(&put.0)?;
            self.put_in(entry.clone())
                .map_err(|reason| LogError::Damaged {
                    file: "the voter's log".into(),
                    offset: self.log.bytes(),
                    reason,
                })?;
        }
        Ok(())
    }

    fn hard_record(&self) -> Vec<u8> {
        let mut put = Put(vec![HARD]);
        [self.hard.term, self.hard.vote, self.hard.commit]
            .into_iter()
            .for_each(|n| put.u64(n));
        put.0
    }

    pub(crate) fn set_hard(&mut self, hard: &HardState) -> std::result::Result<(), LogError> {
        self.hard = hard.clone();
        self.log.append(&self.hard_record())
    }

    /// Further commits count at once; on the disk they come with the next that is written.
    pub(crate) fn committed(&mut self, commit: u64) {
        self.hard.commit = commit;
    }

    pub(crate) fn install(&mut self, snapshot: Snapshot) -> std::result::Result<(), LogError> {
        let about = snapshot.get_metadata();
        self.hard.commit = self.hard.commit.max(about.index);
        self.hard.term = self.hard.term.max(about.term);
        self.snapshot = snapshot;
        self.entries.clear();
        self.rewrite()
    }

    pub(crate) fn sync(&mut self) -> std::result::Result<(), LogError> {
        self.log.sync()
    }

    /// Whether the log is long enough to be made short.
    pub(crate) fn is_long(&self, applied: u64) -> bool {
        let done = applied.saturating_sub(self.snapshot.get_metadata().index);
        done >= 256 || done > 0 && self.log.bytes() > 2 * 1024 * 1024
    }

    /// Makes a snapshot of what was agreed up to there, and drops what led to it.
    pub(crate) fn compact(
        &mut self,
        applied: u64,
        conf: &ConfState,
        board: &Board,
    ) -> std::result::Result<(), LogError> {
        let Ok(term) = self.term(applied) else {
            return Ok(());
        };
        let done = applied.saturating_sub(self.snapshot.get_metadata().index) as usize;
        self.entries.drain(..done.min(self.entries.len()));
        self.snapshot = Snapshot::default();
        self.snapshot.data = board.encode().into();
        let about = self.snapshot.mut_metadata();
        (about.index, about.term) = (applied, term);
        about.set_conf_state(conf.clone());
        self.rewrite()
    }

    fn rewrite(&mut self) -> std::result::Result<(), LogError> {
        let mut records = Vec::new();
        if let Some(own) = &self.own {
            let mut put = Put(vec![SELF]);
            own.put(&mut put);
            records.push(put.0);
        }
        if self.holding {
            records.push(vec![HOLDING]);
        }
        let mut put = Put(vec![SNAPSHOT]);
        put_snapshot(&self.snapshot, &mut put);
        records.push(put.0);
        for entry in &self.entries {
            let mut put = Put(vec![ENTRY]);
            put_entry(entry, &mut put);
            records.push(put.0);
        }
        records.push(self.hard_record());
        self.log.rewrite(&records)
    }

    pub(crate) fn board(&self) -> Res<Board> {
        if self.snapshot.data.is_empty() {
            Ok(Board::default())
        } else {
            Board::decode(&self.snapshot.data)
        }
    }

    pub(crate) fn applied(&self) -> u64 {
        self.snapshot.get_metadata().index
    }
}

impl<F: Files> Storage for Keep<F> {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState::new(
            self.hard.clone(),
            self.snapshot.get_metadata().get_conf_state().clone(),
        ))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        let first = self.first_index()?;
        if low < first {
            return Err(Error::Store(StorageError::Compacted));
        }
        let (from, to) = ((low - first) as usize, (high - first) as usize);
        if to > self.entries.len() {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let most = max_size.into().unwrap_or(u64::MAX);
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let first = bytes == 0;
            bytes += (entry.data.len() + entry.context.len() + 32) as u64;
            first || bytes <= most
        };
        Ok(self
            .entries
            .range(from..to)
            .take_while(fits)
            .cloned()
            .collect())
    }

    fn term(&self, index: u64) -> Result<u64> {
        let about = self.snapshot.get_metadata();
        if index == about.index {
            return Ok(about.term);
        }
        let at = index
            .checked_sub(about.index + 1)
            .ok_or(Error::Store(StorageError::Compacted))?;
        self.entries
            .get(at as usize)
            .map(|e| e.term)
            .ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.snapshot.get_metadata().index + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.snapshot.get_metadata().index + self.entries.len() as u64)
    }

    fn snapshot(&self, _: u64, _: u64) -> Result<Snapshot> {
        Ok(self.snapshot.clone())
    }
}
