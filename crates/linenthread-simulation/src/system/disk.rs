//! Disk of a control node: the daemon's own log on a simulated disk, which can be slow or full, tear a write, or lose
//! unsynced data.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use linenthread_consensus::DurableState;
use linenthread_control::{AfterSync, StateLog, StateLogError};
use linenthread_messages::Record;
use linenthread_store::{DirectoryError, SimulatedDisk};

use super::random::Random;

/// Size of the log above which it is compacted, in bytes. The daemon's bound is far higher: with it, compaction would
/// not be covered.
pub(super) const COMPACT_ABOVE_BYTES: u64 = 48 << 10;
/// Maximum number of queued records, as in the daemon; further ones are dropped, and the control node submits them
/// again later.
const MAX_WAITING_RECORDS: usize = 256;
/// Exclusive upper bound of the free bytes on the disk for a write that a crash cuts off.
const TORN_WRITE_MAX_BYTES: usize = 400;
/// Exclusive upper bound of the successful syncs of a write that a crash cuts off.
const TORN_WRITE_MAX_SYNCS: usize = 3;

/// A record to be written, and the actions that wait until it is synced.
struct QueuedRecord {
    record: Record,
    after_sync: Vec<AfterSync>,
}

type Files = Rc<RefCell<SimulatedDisk>>;
type OpenFiles = Box<dyn FnMut() -> Result<Files, DirectoryError>>;

pub(super) struct Disk {
    files: Files,
    /// Open log of the process; `None` while no process runs.
    log: Option<StateLog<Files, OpenFiles>>,
    waiting: VecDeque<QueuedRecord>,
    /// Records of the write in progress.
    writing: Vec<QueuedRecord>,
    is_full: bool,
    /// Duration of a sync.
    pub(super) sync_duration: Duration,
}

/// Outcome of a write.
pub(super) enum WriteOutcome {
    Synced(Vec<AfterSync>),
    /// The disk is full.
    Rejected,
    /// The process that had the disk open has ended.
    NotOpen,
}

impl Disk {
    pub(super) fn new(sync_duration: Duration) -> Disk {
        Disk {
            files: Files::default(),
            log: None,
            waiting: VecDeque::new(),
            writing: Vec::new(),
            is_full: false,
            sync_duration,
        }
    }

    /// Erases the contents of the disk, as if it had been replaced by an empty one.
    pub(super) fn erase(&mut self) {
        *self = Disk::new(self.sync_duration);
    }

    /// Opens the log for a process and returns the recovered state.
    pub(super) fn open(&mut self) -> Result<DurableState, StateLogError> {
        let files = self.files.clone();
        let open_files: OpenFiles = Box::new(move || Ok(files.clone()));
        let opened = StateLog::open(open_files, COMPACT_ABOVE_BYTES)?;
        self.log = Some(opened.log);
        Ok(opened.state)
    }

    pub(super) fn is_full(&self) -> bool {
        self.is_full
    }

    /// Sets whether the disk is full; writes to a full disk fail.
    pub(super) fn set_full(&mut self, is_full: bool) {
        self.is_full = is_full;
        self.files.borrow_mut().capacity = is_full.then_some(0);
    }

    pub(super) fn log_bytes(&self) -> u64 {
        self.log.as_ref().map_or(0, StateLog::file_bytes)
    }

    /// Returns the size of the durable state after compaction, in bytes.
    pub(super) fn state_bytes(&self) -> u64 {
        self.log.as_ref().map_or(0, StateLog::compacted_bytes)
    }

    /// Returns the state that a process would recover if it started now, without changing the disk.
    pub(super) fn durable_state(&self) -> DurableState {
        let copy: Files = Rc::new(RefCell::new(self.files.borrow().clone()));
        copy.borrow_mut().capacity = None;
        let open_files: OpenFiles = Box::new(move || Ok(copy.clone()));
        StateLog::open(open_files, COMPACT_ABOVE_BYTES)
            .map(|opened| opened.state)
            .unwrap_or_default()
    }

    /// Queues a record and the actions that wait until it is synced; drops both if the queue is full.
    pub(super) fn enqueue(&mut self, record: Record, after_sync: Vec<AfterSync>) {
        if self.waiting.len() < MAX_WAITING_RECORDS {
            self.waiting.push_back(QueuedRecord { record, after_sync });
        }
    }

    /// Starts a write of all queued records unless a write is in progress. Returns whether it started one.
    pub(super) fn start_write(&mut self) -> bool {
        if !self.writing.is_empty() || self.waiting.is_empty() {
            return false;
        }
        self.writing = self.waiting.drain(..).collect();
        true
    }

    /// Completes the write in progress and returns its outcome.
    pub(super) fn complete_write(&mut self) -> WriteOutcome {
        let (records, after_sync): (Vec<Record>, Vec<Vec<AfterSync>>) = self
            .writing
            .drain(..)
            .map(|queued| (queued.record, queued.after_sync))
            .unzip();
        let Some(log) = self.log.as_mut() else {
            return WriteOutcome::NotOpen;
        };
        match log.write(&records) {
            Ok(()) => WriteOutcome::Synced(after_sync.into_iter().flatten().collect()),
            Err(_) => WriteOutcome::Rejected,
        }
    }

    /// Closes the log at the end of a process. A write in progress is lost, written in part, or written but not
    /// completely synced. Returns whether a write was cut off.
    pub(super) fn close(&mut self, random: &mut Random) -> bool {
        let progress = random.below(3);
        let cut = random.index(TORN_WRITE_MAX_BYTES);
        let records: Vec<Record> = self.writing.drain(..).map(|queued| queued.record).collect();
        self.waiting.clear();
        let log = self.log.take();
        let is_cut_off = !records.is_empty() && progress > 0 && !self.is_full;
        let Some(mut log) = log.filter(|_| is_cut_off) else {
            return false;
        };
        if progress == 1 {
            self.files.borrow_mut().limit_free_bytes(cut);
        } else {
            self.files.borrow_mut().syncs_until_failure = Some(cut % TORN_WRITE_MAX_SYNCS);
        }
        // The write fails, or is not synced, as drawn above; opening the disk again shows what was kept.
        let _ = log.write(&records);
        let mut files = self.files.borrow_mut();
        (files.capacity, files.syncs_until_failure) = (None, None);
        true
    }

    /// Simulates a power loss of the machine: the simulated disk draws which unsynced data survive.
    pub(super) fn lose_power(&mut self, random: &mut Random) {
        self.files.borrow_mut().crash(random.generator());
        self.set_full(self.is_full);
    }
}
