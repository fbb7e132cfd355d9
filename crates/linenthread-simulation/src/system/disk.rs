//! The disk of a control node: the daemon's own log over a modelled disk, which may be slow, full, cut off in
//! the midst of a write, or lose what was not synced.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use linenthread_consensus::DurableState;
use linenthread_control::{AfterSync, StateLog, StateLogError};
use linenthread_messages::Record;
use linenthread_store::{DirectoryError, SimulatedDisk};

use super::random::Random;

/// The log is compacted above so many bytes: with the daemon's bound, which is far higher, compaction would not
/// be covered.
pub(super) const COMPACT_ABOVE_BYTES: u64 = 48 << 10;
/// Records that may wait, as in the daemon; more are dropped, and control hands them over again later.
const MAX_WAITING_RECORDS: usize = 256;
/// What is left of the disk when a crash cuts a write off: fewer bytes than this.
const TORN_WRITE_MAX_BYTES: usize = 400;
/// Of the syncs of one write, fewer than this have succeeded when a crash cuts it off.
const TORN_WRITE_MAX_SYNCS: usize = 3;

/// A record on its way to the disk, and what waits until it is synced.
struct QueuedRecord {
    record: Record,
    after_sync: Vec<AfterSync>,
}

type Files = Rc<RefCell<SimulatedDisk>>;
type OpenFiles = Box<dyn FnMut() -> Result<Files, DirectoryError>>;

pub(super) struct Disk {
    files: Files,
    /// While a process runs.
    log: Option<StateLog<Files, OpenFiles>>,
    waiting: VecDeque<QueuedRecord>,
    /// What the write in progress holds.
    writing: Vec<QueuedRecord>,
    is_full: bool,
    /// What a sync takes.
    pub(super) sync_duration: Duration,
}

/// How a write ended.
pub(super) enum WriteOutcome {
    Synced(Vec<AfterSync>),
    /// The disk is full.
    Rejected,
    /// No process has the disk open any more.
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

    /// Loses all that it holds.
    pub(super) fn erase(&mut self) {
        *self = Disk::new(self.sync_duration);
    }

    /// A process opens it.
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

    /// No write succeeds any more, or there is room again.
    pub(super) fn set_full(&mut self, is_full: bool) {
        self.is_full = is_full;
        self.files.borrow_mut().capacity = is_full.then_some(0);
    }

    pub(super) fn log_bytes(&self) -> u64 {
        self.log.as_ref().map_or(0, StateLog::file_bytes)
    }

    /// Bytes of the durable state after compaction.
    pub(super) fn state_bytes(&self) -> u64 {
        self.log.as_ref().map_or(0, StateLog::compacted_bytes)
    }

    /// What a process that starts now would find; the disk stays as it is.
    pub(super) fn durable_state(&self) -> DurableState {
        let copy: Files = Rc::new(RefCell::new(self.files.borrow().clone()));
        copy.borrow_mut().capacity = None;
        let open_files: OpenFiles = Box::new(move || Ok(copy.clone()));
        StateLog::open(open_files, COMPACT_ABOVE_BYTES)
            .map(|opened| opened.state)
            .unwrap_or_default()
    }

    /// Queues a record with what waits on it.
    pub(super) fn enqueue(&mut self, record: Record, after_sync: Vec<AfterSync>) {
        if self.waiting.len() < MAX_WAITING_RECORDS {
            self.waiting.push_back(QueuedRecord { record, after_sync });
        }
    }

    /// Starts a write of all that waits, unless there is one in progress; returns whether it did.
    pub(super) fn start_write(&mut self) -> bool {
        if !self.writing.is_empty() || self.waiting.is_empty() {
            return false;
        }
        self.writing = self.waiting.drain(..).collect();
        true
    }

    /// Ends the write in progress.
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

    /// The process ends: a write in progress is not there, there in part, or there but not synced. Returns
    /// whether one was cut off.
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
        // It fails, or is not synced, as was just drawn; what is there is seen when the disk is opened again.
        let _ = log.write(&records);
        let mut files = self.files.borrow_mut();
        (files.capacity, files.syncs_until_failure) = (None, None);
        true
    }

    /// The machine loses power: what was not synced is there or not, as the model draws it.
    pub(super) fn lose_power(&mut self, random: &mut Random) {
        self.files.borrow_mut().crash(random.generator());
        self.set_full(self.is_full);
    }
}
