//! The durable state of a control node as a log on disk: records in parts, compaction, and recovery after a disk
//! failure. Generic over the files, so that the daemon and the simulation run the same code.

use linenthread_consensus::DurableState;
use linenthread_messages::Record;
use linenthread_store::{
    DirectoryError, Files, Log, LogError, MAX_RECORD_BYTES, OpenedLog, TornTail,
};
use prost::Message;
use snafu::{OptionExt, ResultExt, Snafu};

/// The maximum length of a record part in one entry of the log, in bytes, without its marker.
const MAX_PART_BYTES: usize = MAX_RECORD_BYTES / 2;

/// First byte of an entry: the record continues in the next entry.
const PART: u8 = 0;

/// First byte of an entry: the record ends with this entry.
const LAST_PART: u8 = 1;

/// Why the durable state can't be read or written.
#[derive(Debug, Snafu)]
pub enum StateLogError {
    /// The directory can't be opened.
    #[snafu(display("opening the directory: {source}"))]
    OpenDirectory {
        /// The error of the directory.
        source: DirectoryError,
    },
    /// The log can't be read or written.
    #[snafu(display("{source}"))]
    Log {
        /// The error of the log.
        source: LogError,
    },
    /// The log contains an entry without a marker.
    #[snafu(display("the log holds an empty entry"))]
    EmptyEntry,
    /// The log contains a record that can't be decoded.
    #[snafu(display("a record does not decode: {source}"))]
    Decode {
        /// The decoding error.
        source: prost::DecodeError,
    },
}

/// The state decoded from the entries of a log.
struct Decoded {
    state: DurableState,
    /// Whether every part belongs to a completely written record. If not, an appended record could be joined with the
    /// parts of an interrupted one.
    is_complete: bool,
}

/// The result of [`StateLog::open`].
pub struct OpenedState<F: Files, O: FnMut() -> Result<F, DirectoryError>> {
    /// The log, ready to be written.
    pub log: StateLog<F, O>,
    /// The durable state.
    pub state: DurableState,
    /// The incomplete write that a crash left behind and that was truncated, if any.
    pub torn_tail: Option<TornTail>,
}

/// The log of one node's durable state.
pub struct StateLog<F: Files, O: FnMut() -> Result<F, DirectoryError>> {
    /// Opens the node's files. Called again after each failure.
    open_files: O,
    /// `None` while nothing may be appended: after a failure, when the contents of the disk are unknown, and while the
    /// log ends with parts of an interrupted record, to which the next record would be joined.
    log: Option<Log<F>>,
    /// All records passed in so far, synced or not.
    state: DurableState,
    compact_above: u64,
}

impl<F: Files, O: FnMut() -> Result<F, DirectoryError>> StateLog<F, O> {
    /// Opens the log on disk. The log is compacted once it is longer than `compact_above` bytes. `open_files` opens the
    /// node's files, and is called again after a failed write.
    ///
    /// # Errors
    ///
    /// Fails if the files can't be opened, or if synced data is no longer readable.
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

    /// Writes and syncs these records. After a failure, or if a crash interrupted a record in several parts, the next
    /// call opens the log again and writes the complete state. Until then, records whose write failed may or may not be
    /// on disk.
    ///
    /// # Errors
    ///
    /// Fails if the disk failed or is full. Then no message that waits for these records may be sent.
    pub fn write(&mut self, records: &[Record]) -> Result<(), StateLogError> {
        for record in records {
            self.state.add(record.clone());
        }
        let result = match self.log.take() {
            Some(log) if log.file_bytes() < self.compact_above => append(log, records),
            Some(log) => rewrite(log, &self.state),
            None => {
                open_log(&mut self.open_files).and_then(|opened| rewrite(opened.log, &self.state))
            }
        };
        self.log = Some(result?);
        Ok(())
    }

    /// Returns the length of the log on disk in bytes; 0 while it is not open.
    pub fn file_bytes(&self) -> u64 {
        self.log.as_ref().map_or(0, Log::file_bytes)
    }

    /// Returns the length of the complete state in bytes, encoded as records.
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

/// Splits a record into entries of the log: its parts, each after a marker.
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

/// Decodes the state from the entries of a log. A crash may have left the first parts of a record at the end, and an
/// earlier version may then have appended another record to them: see [`decode_record`].
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
/// interrupted by a crash. Versions before December 2026 appended the next record to such parts. An interrupted record
/// was never synced, so it contains nothing that was acknowledged; the record after it was acknowledged.
///
/// Two joined records could decode by chance, but the result would not encode to the same bytes again. A record that
/// does is therefore preferred.
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
