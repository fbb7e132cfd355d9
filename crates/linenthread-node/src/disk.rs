//! The disk of a core machine: a thread of its own, so that a disk that stalls holds nothing else up.

use std::path::PathBuf;
use std::sync::mpsc;

use linenthread_consensus::DurableState;
use linenthread_control::{DeferredMessage, StateLog};
use linenthread_messages::Record;
use linenthread_store::Directory;

use crate::errors::Error;

/// The log is written anew when it is longer.
const LONG: u64 = 16 << 20;
/// Records that may wait; above, the register's words are dropped and said again later.
const WAITING: usize = 256;

type Then = Vec<DeferredMessage>;

pub(crate) struct Disk {
    to: mpsc::SyncSender<(Record, Then)>,
}

impl Disk {
    /// Hands a record over; what waits on it comes back when it is synced. False if too much waits already.
    pub(crate) fn keep(&self, record: Record, then: Then) -> bool {
        self.to.try_send((record, then)).is_ok()
    }
}

/// Opens what the disk holds. `synced` takes what waited, from the disk's own thread.
pub(crate) fn open(
    path: &str,
    synced: impl Fn(Then) + Send + 'static,
) -> Result<(Disk, DurableState), Error> {
    let path = PathBuf::from(path);
    let (peer, step) = (path.display().to_string(), "opening the state");
    let opened =
        StateLog::open(move || Directory::open(&path), LONG).map_err(|e| Error::Message {
            step,
            peer,
            cause: e.to_string(),
        })?;
    if let Some(torn_tail) = &opened.torn_tail {
        log::info!(file = torn_tail.file, at = torn_tail.offset, bytes = torn_tail.bytes; "event=torn_record_truncated");
    }
    let (to, from) = mpsc::sync_channel::<(Record, Then)>(WAITING);
    let mut state_log = opened.log;
    let run = move || {
        while let Ok((record, then)) = from.recv() {
            let (mut records, mut thens) = (vec![record], then);
            while let Ok((record, then)) = from.try_recv() {
                records.push(record);
                thens.extend(then);
            }
            match state_log.write(&records) {
                Ok(()) => synced(thens),
                Err(cause) => log::error!(cause:% = cause; "event=disk_failed"),
            }
        }
    };
    std::thread::Builder::new()
        .name("disk".into())
        .stack_size(256 << 10)
        .spawn(run)
        .map_err(crate::errors::step("starting the disk's thread", ""))?;
    Ok((Disk { to }, opened.state))
}
