//! Writes the durable state of a control node on a separate thread, so that a stalled disk blocks nothing else.

use std::path::PathBuf;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use linenthread_consensus::DurableState;
use linenthread_control::{AfterSync, StateLog, StateLogError};
use linenthread_messages::Record;
use linenthread_store::{Directory, DirectoryError};
use linenthread_time::whole_millis;
use snafu::ResultExt;

use crate::error::{Error, StateSnafu, io_context};

/// The length of the state log above which it is compacted, in bytes.
const COMPACT_ABOVE_BYTES: u64 = 16 << 20;

/// The capacity of the queue of records. While it is full, records are dropped together with the actions that wait for
/// them. They are submitted again: records of the register and snapshots of the replica registry when they are not
/// synced in time, the epoch of a lease with the next lease request.
const MAX_QUEUED_RECORDS: usize = 256;

/// Syncs that complete later than this after a record was queued are logged. An order needs two consecutive syncs
/// within the 900 ms timeout of a call.
const SLOW_SYNC_THRESHOLD: Duration = Duration::from_millis(450);

/// The size of the thread's stack, in bytes. Small, since the thread needs little stack.
const STACK_BYTES: usize = 256 << 10;

/// A record, and the actions that wait until it is durable.
struct QueuedRecord {
    record: Record,
    after_sync: Vec<AfterSync>,
    queued_at: Instant,
}

/// A handle to the thread that writes the state. Dropping it ends the thread.
pub(super) struct StateWriter {
    queue: mpsc::SyncSender<QueuedRecord>,
}

impl StateWriter {
    /// Opens the state directory and starts the thread, which calls `on_synced` with the actions whose records have
    /// become durable. Returns the state that the directory contains.
    ///
    /// # Errors
    ///
    /// If the directory is used by another process or cannot be read, or the thread cannot be started.
    pub(super) fn start(
        path: &str,
        on_synced: impl Fn(Vec<AfterSync>) + Send + 'static,
    ) -> Result<(StateWriter, DurableState), Error> {
        let directory = PathBuf::from(path);
        let opened = StateLog::open(move || Directory::open(&directory), COMPACT_ABOVE_BYTES)
            .context(StateSnafu { directory: path })?;
        if let Some(tail) = &opened.torn_tail {
            log::info!(file = tail.file, at = tail.offset, bytes = tail.bytes; "event=torn_record_truncated");
        }
        let (queue, records) = mpsc::sync_channel(MAX_QUEUED_RECORDS);
        let log = opened.log;
        std::thread::Builder::new()
            .name("disk".into())
            .stack_size(STACK_BYTES)
            .spawn(move || write_records(log, &records, on_synced))
            .map_err(io_context("starting the disk thread", ""))?;
        Ok((StateWriter { queue }, opened.state))
    }

    /// Queues a record. `after_sync` is passed to `on_synced` when the record is durable.
    ///
    /// # Errors
    ///
    /// If the queue is full or the thread has ended. The record is dropped.
    pub(super) fn persist(
        &self,
        record: Record,
        after_sync: Vec<AfterSync>,
    ) -> Result<(), PersistError> {
        let queued = QueuedRecord {
            record,
            after_sync,
            queued_at: Instant::now(),
        };
        self.queue.try_send(queued).map_err(|error| match error {
            mpsc::TrySendError::Full(_) => PersistError::Backlogged,
            mpsc::TrySendError::Disconnected(_) => PersistError::Stopped,
        })
    }
}

/// The reason why a record was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PersistError {
    /// The queue is full.
    Backlogged,
    /// The disk thread has ended.
    Stopped,
}

/// Writes records until the handle is dropped. All records that are queued at a time are written together.
fn write_records<O: FnMut() -> Result<Directory, DirectoryError>>(
    mut log: StateLog<Directory, O>,
    queue: &mpsc::Receiver<QueuedRecord>,
    on_synced: impl Fn(Vec<AfterSync>),
) {
    while let Ok(first) = queue.recv() {
        let (mut records, mut after_sync) = (vec![first.record], first.after_sync);
        while let Ok(next) = queue.try_recv() {
            records.push(next.record);
            after_sync.extend(next.after_sync);
        }
        let write_started_at = Instant::now();
        let written: Result<(), StateLogError> = log.write(&records);
        log_if_slow(first.queued_at, write_started_at, records.len());
        match written {
            Ok(()) => on_synced(after_sync),
            Err(cause) => log::error!(cause:% = cause; "event=disk_failed"),
        }
    }
}

/// Logs a write whose first record took too long, counting the time in the queue and the time of the write.
fn log_if_slow(queued_at: Instant, write_started_at: Instant, records: usize) {
    if queued_at.elapsed() < SLOW_SYNC_THRESHOLD {
        return;
    }
    let queued_ms = whole_millis(write_started_at.duration_since(queued_at));
    let write_ms = whole_millis(write_started_at.elapsed());
    log::warn!(records = records, queued_ms = queued_ms, write_ms = write_ms; "event=slow_sync");
}
