//! The disk of a core machine: the daemon's own log over a modelled disk, which may be slow, full, cut off in
//! the midst of a write, or lose what was not synced.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use linenthread_consensus::DurableState;
use linenthread_control::{DeferredMessage, StateLog};
use linenthread_messages::Record;
use linenthread_store::{DirectoryError, SimulatedDisk};

use super::world::{Event, World};

/// The log is compacted above so many bytes: the daemon's bound is far higher, compaction would not be seen.
pub(super) const COMPACT_ABOVE: u64 = 48 << 10;
/// Records that may wait, as in the daemon; more are dropped and said again later.
const QUEUE: usize = 256;
/// A process whose disk does not open ends, and is started again after so long.
const START_AGAIN: u64 = 500;

type Files = Rc<RefCell<SimulatedDisk>>;
type Take = Box<dyn FnMut() -> Result<Files, DirectoryError>>;
/// What may be sent once a record is synced.
type Then = Vec<DeferredMessage>;

pub(super) struct Disk {
    files: Files,
    /// While a process runs.
    log: Option<StateLog<Files, Take>>,
    waiting: VecDeque<(Record, Then)>,
    /// Under way to the disk.
    writing: Vec<(Record, Then)>,
    full: bool,
    /// What a sync takes.
    pub(super) sync_ms: u64,
}

impl Disk {
    pub(super) fn new(sync_ms: u64) -> Disk {
        Disk {
            files: Files::default(),
            log: None,
            waiting: VecDeque::new(),
            writing: Vec::new(),
            full: false,
            sync_ms,
        }
    }

    /// All that it held is lost.
    pub(super) fn lose_all(&mut self) {
        *self = Disk::new(self.sync_ms);
    }

    /// A process opens it.
    pub(super) fn open(&mut self) -> Result<DurableState, String> {
        let files = self.files.clone();
        let take: Take = Box::new(move || Ok(files.clone()));
        let opened = StateLog::open(take, COMPACT_ABOVE).map_err(|e| e.to_string())?;
        self.log = Some(opened.log);
        Ok(opened.state)
    }

    pub(super) fn is_full(&self) -> bool {
        self.full
    }

    /// No write is taken any more, or there is room again.
    pub(super) fn set_full(&mut self, full: bool) {
        self.full = full;
        self.files.borrow_mut().capacity = full.then_some(0);
    }

    pub(super) fn log_bytes(&self) -> u64 {
        self.log.as_ref().map_or(0, StateLog::bytes)
    }

    /// Bytes of the durable state, written whole.
    pub(super) fn state_bytes(&self) -> u64 {
        self.log.as_ref().map_or(0, StateLog::compacted_bytes)
    }

    /// What a process that starts now would find; the disk stays as it is.
    pub(super) fn durable(&self) -> DurableState {
        let copy: Files = Rc::new(RefCell::new(self.files.borrow().clone()));
        copy.borrow_mut().capacity = None;
        let opened = StateLog::open(Box::new(move || Ok(copy.clone())) as Take, COMPACT_ABOVE);
        opened.map(|opened| opened.state).unwrap_or_default()
    }
}

impl World {
    /// Queues a record; what waits on it is sent once it is synced.
    pub(super) fn keep(&mut self, n: usize, record: Record, then: Then) {
        let disk = &mut self.nodes[n].disk;
        if disk.waiting.len() < QUEUE {
            disk.waiting.push_back((record, then));
        }
        self.begin_write(n);
    }

    fn begin_write(&mut self, n: usize) {
        let disk = &mut self.nodes[n].disk;
        if !disk.writing.is_empty() || disk.waiting.is_empty() {
            return;
        }
        disk.writing = disk.waiting.drain(..).collect();
        let (ms, life) = (disk.sync_ms, self.nodes[n].life);
        let at = self.now + ms + self.up_to(4);
        self.push(at, Event::Written { to: n, life });
    }

    /// What was under way is on disk, or the disk has refused it.
    pub(super) fn written(&mut self, n: usize, life: u64) {
        if self.nodes[n].life != life {
            return;
        }
        let disk = &mut self.nodes[n].disk;
        let (records, thens): (Vec<Record>, Vec<Then>) = disk.writing.drain(..).unzip();
        let Some(log) = disk.log.as_mut() else { return };
        match log.write(&records) {
            Ok(()) => {
                let then = thens.into_iter().flatten().collect();
                let at = self.now.max(self.nodes[n].frozen);
                self.push(at, Event::Synced { to: n, life, then });
            }
            Err(_) => self.count("a write refused"),
        }
        self.begin_write(n);
    }

    /// The process ends: a write under way is not there, there in part, or there but not synced; with a loss
    /// of power, what was not synced goes as the modelled disk draws it.
    pub(super) fn close_disk(&mut self, n: usize, power: bool) {
        let way = self.up_to(3);
        let cut = self.up_to(400) as usize;
        let disk = &mut self.nodes[n].disk;
        let records: Vec<Record> = disk.writing.drain(..).map(|(record, _)| record).collect();
        disk.waiting.clear();
        let log = disk.log.take();
        if let Some(mut log) = log.filter(|_| !records.is_empty() && way > 0 && !disk.full) {
            if way == 1 {
                disk.files.borrow_mut().limit_free_bytes(cut);
            } else {
                disk.files.borrow_mut().syncs_until_failure = Some(cut % 3);
            }
            let _ = log.write(&records);
            let mut files = disk.files.borrow_mut();
            (files.capacity, files.syncs_until_failure) = (None, None);
            drop(files);
            self.count("a write cut off by a crash");
        }
        let disk = &mut self.nodes[n].disk;
        if power {
            disk.files.borrow_mut().crash(&mut self.chance);
            disk.set_full(disk.full);
        }
    }

    /// A process finds its disk: what it holds, or a new start later.
    pub(super) fn open_disk(&mut self, n: usize) -> Option<DurableState> {
        match self.nodes[n].disk.open() {
            Ok(state) => Some(state),
            Err(_) if self.nodes[n].disk.is_full() => {
                self.push(self.now + START_AGAIN, Event::Start { node: n });
                None
            }
            Err(cause) => {
                self.breach(format!(
                    "acknowledged-is-synced: the disk of {n} does not open: {cause}"
                ));
                None
            }
        }
    }
}
