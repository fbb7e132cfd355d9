//! The disk of a core machine: a thread of its own, so that a disk that stalls holds nothing else up.

use std::path::{Path, PathBuf};
use std::sync::mpsc;

use linenthread_consensus::DurableState;
use linenthread_messages::{PeerMessage, Record};
use linenthread_store::{Folder, Log};
use prost::Message;

use crate::errors::Error;

/// The log is written anew when it is longer.
const LONG: u64 = 16 << 20;
/// Pieces of a record that one entry of the log holds.
const PIECE: usize = linenthread_store::LONGEST / 2;
/// Records that may wait; above, the register's words are dropped and said again later.
const WAITING: usize = 256;

type Then = Vec<(u64, PeerMessage)>;

pub struct Disk {
    to: mpsc::SyncSender<(Record, Then)>,
}

impl Disk {
    /// Hands a record over; what waits on it comes back when it is synced. False if too much waits already.
    pub fn keep(&self, record: Record, then: Then) -> bool {
        self.to.try_send((record, then)).is_ok()
    }
}

/// Records longer than an entry of the log are cut; the last piece is marked.
fn pieces(record: &Record) -> Vec<Vec<u8>> {
    let bytes = record.encode_to_vec();
    let count = bytes.len().div_ceil(PIECE).max(1);
    let cut = |i: usize| {
        let mut piece = vec![u8::from(i + 1 == count)];
        piece.extend_from_slice(&bytes[i * PIECE..bytes.len().min((i + 1) * PIECE)]);
        piece
    };
    (0..count).map(cut).collect()
}

fn read(pieces: Vec<Vec<u8>>, kept: &mut DurableState) -> Result<(), String> {
    let mut whole = Vec::new();
    for piece in pieces {
        let Some((last, bytes)) = piece.split_first() else { return Err("an empty entry".into()) };
        whole.extend_from_slice(bytes);
        if *last == 1 {
            kept.add(Record::decode(&whole[..]).map_err(|e| format!("a record does not decode: {e}"))?);
            whole.clear();
        }
    }
    Ok(())
}

struct Owner {
    path: PathBuf,
    log: Option<Log<Folder>>,
    kept: DurableState,
}

impl Owner {
    fn open(path: &Path) -> Result<(Log<Folder>, DurableState), String> {
        let opened = Log::open(Folder::take(path)?).map_err(|e| e.to_string())?;
        if let Some(cut) = &opened.cut {
            log::info!(file = cut.file, at = cut.at, bytes = cut.bytes; "event=torn_end_cut");
        }
        let mut kept = DurableState::default();
        read(opened.records, &mut kept)?;
        Ok((opened.log, kept))
    }

    /// Writes and syncs; after a failure the folder is taken anew and all that is known written whole.
    fn write(&mut self, records: &[Record]) -> Result<(), String> {
        for record in records {
            self.kept.add(record.clone());
        }
        let whole = || -> Vec<Vec<u8>> { self.kept.records().iter().flat_map(pieces).collect() };
        let result = match &mut self.log {
            Some(log) if log.bytes() < LONG => (|| {
                for piece in records.iter().flat_map(pieces) {
                    log.append(&piece).map_err(|e| e.to_string())?;
                }
                log.sync().map_err(|e| e.to_string())
            })(),
            Some(log) => log.rewrite(&whole()).map_err(|e| e.to_string()),
            None => {
                let (mut log, _) = Owner::open(&self.path)?;
                log.rewrite(&whole()).map_err(|e| e.to_string())?;
                self.log = Some(log);
                Ok(())
            }
        };
        if result.is_err() {
            self.log = None;
        }
        result
    }
}

/// Opens what the disk holds. `synced` takes what waited, from the disk's own thread.
pub fn open(path: &str, synced: impl Fn(Then) + Send + 'static) -> Result<(Disk, DurableState), Error> {
    let path = PathBuf::from(path);
    let fault = |cause| Error::Message { step: "opening the state", peer: path.display().to_string(), cause };
    let (log, kept) = Owner::open(&path).map_err(fault)?;
    let (to, from) = mpsc::sync_channel::<(Record, Then)>(WAITING);
    let mut owner = Owner { path: path.clone(), log: Some(log), kept: kept.clone() };
    let run = move || {
        while let Ok((record, then)) = from.recv() {
            let (mut records, mut thens) = (vec![record], then);
            while let Ok((record, then)) = from.try_recv() {
                records.push(record);
                thens.extend(then);
            }
            match owner.write(&records) {
                Ok(()) => synced(thens),
                Err(cause) => log::error!(cause = cause; "event=disk_failed"),
            }
        }
    };
    std::thread::Builder::new()
        .name("disk".into())
        .stack_size(256 << 10)
        .spawn(run)
        .map_err(crate::errors::step("starting the disk's thread", ""))?;
    Ok((Disk { to }, kept))
}
