//! The durable state of a control node as a log on disk: records in parts, compaction, and recovery after the disk
//! failed. Generic over the files, so that the daemon and the simulation run the same code.

use linenthread_consensus::DurableState;
use linenthread_messages::Record;
use linenthread_store::{
    DirectoryError, Files, Log, LogError, MAX_RECORD_BYTES, OpenedLog, TornTail,
};
use prost::Message;
use snafu::{OptionExt, ResultExt, Snafu};

/// Longest part of a record that one entry of the log holds, in bytes, without its marker.
const MAX_PART_BYTES: usize = MAX_RECORD_BYTES / 2;

/// First byte of an entry: the record goes on in the next entry.
const PART: u8 = 0;

/// First byte of an entry: the record ends with this entry.
const LAST_PART: u8 = 1;

/// Why the durable state can't be read or written.
#[derive(Debug, Snafu)]
pub enum StateLogError {
    /// The directory can't be opened.
    #[snafu(display("opening the directory: {source}"))]
    OpenDirectory {
        /// What the directory reported.
        source: DirectoryError,
    },
    /// The log can't be read or written.
    #[snafu(display("{source}"))]
    Log {
        /// What the log reported.
        source: LogError,
    },
    /// The log holds an entry without a marker.
    #[snafu(display("the log holds an empty entry"))]
    EmptyEntry,
    /// The log holds a record that does not decode.
    #[snafu(display("a record does not decode: {source}"))]
    Decode {
        /// What is wrong with it.
        source: prost::DecodeError,
    },
}

/// What the entries of a log add up to.
struct Decoded {
    state: DurableState,
    /// Each part belongs to a record that was written completely: a record that is appended is read as itself.
    is_complete: bool,
}

/// What [`StateLog::open`] found.
pub struct OpenedState<F: Files, O: FnMut() -> Result<F, DirectoryError>> {
    /// The log, ready to be written.
    pub log: StateLog<F, O>,
    /// The durable state.
    pub state: DurableState,
    /// What a crash had left unfinished, and was truncated.
    pub torn_tail: Option<TornTail>,
}

/// The log of one node's durable state.
pub struct StateLog<F: Files, O: FnMut() -> Result<F, DirectoryError>> {
    /// Opens the node's files; called again after each failure.
    open_files: O,
    /// `None` where nothing may be appended: after a failure, when what the disk holds is unknown, and where the log
    /// has parts of an interrupted record, to which the next record would be joined.
    log: Option<Log<F>>,
    /// All that was handed over, synced or not.
    state: DurableState,
    compact_above: u64,
}

impl<F: Files, O: FnMut() -> Result<F, DirectoryError>> StateLog<F, O> {
    /// Opens what the disk holds. The log is compacted once it is longer than `compact_above` bytes. `open_files` opens
    /// the node's files; after a failed write it is called again.
    ///
    /// # Errors
    ///
    /// The files can't be opened, or what was synced is not readable any more.
    pub fn open(mut open_files: O, compact_above: u64) -> Result<OpenedState<F, O>, StateLogError> {
        let opened = open_log(&mut open_files)?;
        let Decoded { state, is_complete } = decode(&opened.records)?;
        let log = StateLog {
            open_files,
            log: is_complete.then_some(opened.log),
            state: state.clone(),
            compact_above,
        };
        Ok(OpenedState {
            log,
            state,
            torn_tail: opened.torn_tail,
        })
    }

    /// Writes and syncs these records. After a failure, and where a crash interrupted a record in several parts, the
    /// next call opens the log again and writes the complete state: until then, records whose write failed may be on
    /// disk or not.
    ///
    /// # Errors
    ///
    /// The disk failed or is full: no message that waits for these records may be sent.
    pub fn write(&mut self, records: &[Record]) -> Result<(), StateLogError> {
        for record in records {
            self.state.add(record.clone());
        }
        let result = match self.log.take() {
            Some(log) if log.bytes() < self.compact_above => append(log, records),
            Some(log) => rewrite(log, &self.state),
            None => {
                open_log(&mut self.open_files).and_then(|opened| rewrite(opened.log, &self.state))
            }
        };
        self.log = Some(result?);
        Ok(())
    }

    /// Bytes of the log on disk; 0 while it is not open.
    pub fn bytes(&self) -> u64 {
        self.log.as_ref().map_or(0, Log::bytes)
    }

    /// Bytes of the complete state as records.
    pub fn compacted_bytes(&self) -> u64 {
        self.state
            .records()
            .iter()
            .map(|record| record.encoded_len() as u64)
            .sum()
    }
}

fn open_log<F: Files>(
    open_files: &mut impl FnMut() -> Result<F, DirectoryError>,
) -> Result<OpenedLog<F>, StateLogError> {
    let files = open_files().context(OpenDirectorySnafu)?;
    Log::open(files).context(LogSnafu)
}

fn append<F: Files>(mut log: Log<F>, records: &[Record]) -> Result<Log<F>, StateLogError> {
    for entry in records.iter().flat_map(entries) {
        log.append(&entry).context(LogSnafu)?;
    }
    log.sync().context(LogSnafu)?;
    Ok(log)
}

fn rewrite<F: Files>(mut log: Log<F>, state: &DurableState) -> Result<Log<F>, StateLogError> {
    let complete: Vec<Vec<u8>> = state.records().iter().flat_map(entries).collect();
    log.rewrite(&complete).context(LogSnafu)?;
    Ok(log)
}

/// A record as entries of the log: its parts, each behind a marker.
fn entries(record: &Record) -> Vec<Vec<u8>> {
    let bytes = record.encode_to_vec();
    if bytes.is_empty() {
        return vec![vec![LAST_PART]];
    }
    let count = bytes.len().div_ceil(MAX_PART_BYTES);
    bytes
        .chunks(MAX_PART_BYTES)
        .enumerate()
        .map(|(index, part)| {
            let marker = if index + 1 == count { LAST_PART } else { PART };
            let mut entry = vec![marker];
            entry.extend_from_slice(part);
            entry
        })
        .collect()
}

/// Adds up the records of a log. A crash may have left the first parts of a record behind all others, and an earlier
/// version may then have appended another record to them: see [`decode_record`].
fn decode(entries: &[Vec<u8>]) -> Result<Decoded, StateLogError> {
    let mut state = DurableState::default();
    let mut parts: Vec<&[u8]> = Vec::new();
    let mut is_complete = true;
    for entry in entries {
        let (marker, part) = entry.split_first().context(EmptyEntrySnafu)?;
        parts.push(part);
        if *marker == LAST_PART {
            let (record, abandoned_parts) = decode_record(&parts)?;
            state.add(record);
            is_complete &= abandoned_parts == 0;
            parts.clear();
        }
    }
    is_complete &= parts.is_empty();
    Ok(Decoded { state, is_complete })
}

/// Decodes the record that ends with the last of these parts, and counts the parts before it that belong to a record
/// that a crash interrupted. Versions before December 2026 appended the next record to such parts. What was interrupted
/// was never synced, so nothing that was acknowledged is in it; what follows it was.
///
/// A join of two records could decode by chance. It would not encode to the same bytes again, so a record that does is
/// preferred.
fn decode_record(parts: &[&[u8]]) -> Result<(Record, usize), StateLogError> {
    if let [only] = parts {
        return Ok((Record::decode(*only).context(DecodeSnafu)?, 0));
    }
    let mut fallback = None;
    for first in 0..parts.len() {
        let bytes = parts[first..].concat();
        let decoded = Record::decode(&bytes[..]).context(DecodeSnafu);
        match decoded {
            Ok(record) if record.encode_to_vec() == bytes => return Ok((record, first)),
            Ok(record) if !matches!(fallback, Some(Ok(_))) => fallback = Some(Ok((record, first))),
            Err(error) if fallback.is_none() => fallback = Some(Err(error)),
            Ok(_) | Err(_) => {}
        }
    }
    fallback.unwrap_or_else(|| EmptyEntrySnafu.fail())
}
