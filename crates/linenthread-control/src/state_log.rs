//! The durable state of a core machine as a log on disk: records in pieces, compaction, and a new start of
//! the log after the disk failed. Generic over the files, so that the daemon and the drill run the same code.

use linenthread_consensus::DurableState;
use linenthread_messages::Record;
use linenthread_store::{Cut, Files, LONGEST, Log, Trouble};
use prost::Message;
use snafu::{ResultExt, Snafu};

/// The longest piece of a record that one entry of the log holds, without its mark.
const PIECE: usize = LONGEST / 2;
/// The first byte of an entry: whether the record goes on in the next one.
const GOES_ON: u8 = 0;
const ENDS: u8 = 1;

/// Why the state can't be read or written.
#[derive(Debug, Snafu)]
pub enum StateLogError {
    #[snafu(display("the folder can't be taken: {cause}"))]
    Take { cause: String },
    #[snafu(display("{trouble}"))]
    Disk { trouble: Trouble },
    #[snafu(display("the log holds an empty entry"))]
    EmptyEntry,
    #[snafu(display("a record does not decode: {source}"))]
    Decode { source: prost::DecodeError },
}

/// What [`StateLog::open`] found.
pub struct OpenedState<F: Files, T: FnMut() -> Result<F, String>> {
    pub log: StateLog<F, T>,
    pub state: DurableState,
    /// A torn end that a crash had left.
    pub cut: Option<Cut>,
}

/// The log of one machine's durable state. `take` takes hold of its files, anew after each failure.
pub struct StateLog<F: Files, T: FnMut() -> Result<F, String>> {
    take: T,
    /// None after a failure: what the disk holds then is not known.
    log: Option<Log<F>>,
    /// All that was handed over, synced or not.
    state: DurableState,
    compact_above: u64,
}

impl<F: Files, T: FnMut() -> Result<F, String>> StateLog<F, T> {
    /// Opens what the disk holds; the log is compacted when it is longer than `compact_above` bytes.
    ///
    /// # Errors
    ///
    /// The files can't be taken, or what was synced once is not readable any more.
    pub fn open(mut take: T, compact_above: u64) -> Result<OpenedState<F, T>, StateLogError> {
        let opened = open(&mut take)?;
        let state = decode(opened.records)?;
        let log = StateLog {
            take,
            log: Some(opened.log),
            state: state.clone(),
            compact_above,
        };
        Ok(OpenedState {
            log,
            state,
            cut: opened.cut,
        })
    }

    /// Writes and syncs these records. After a failure the next call opens the log anew and writes all that
    /// is known whole: records whose write failed may be on disk or not until then.
    ///
    /// # Errors
    ///
    /// The disk failed or is full: nothing that waits on these records may be said.
    pub fn write(&mut self, records: &[Record]) -> Result<(), StateLogError> {
        for record in records {
            self.state.add(record.clone());
        }
        let result = match self.log.take() {
            Some(log) if log.bytes() < self.compact_above => append(log, records),
            Some(log) => rewrite(log, &self.state),
            None => open(&mut self.take).and_then(|opened| rewrite(opened.log, &self.state)),
        };
        self.log = Some(result?);
        Ok(())
    }

    /// Bytes of the log on disk; none while it is not open.
    pub fn bytes(&self) -> u64 {
        self.log.as_ref().map_or(0, Log::bytes)
    }

    /// Bytes of all that is known, written whole.
    pub fn compacted_bytes(&self) -> u64 {
        self.state
            .records()
            .iter()
            .map(|record| record.encoded_len() as u64)
            .sum()
    }
}

fn open<F: Files>(
    take: &mut impl FnMut() -> Result<F, String>,
) -> Result<linenthread_store::Opened<F>, StateLogError> {
    let files = take().map_err(|cause| StateLogError::Take { cause })?;
    Log::open(files).map_err(disk)
}

fn append<F: Files>(mut log: Log<F>, records: &[Record]) -> Result<Log<F>, StateLogError> {
    for entry in records.iter().flat_map(entries) {
        log.append(&entry).map_err(disk)?;
    }
    log.sync().map_err(disk)?;
    Ok(log)
}

fn rewrite<F: Files>(mut log: Log<F>, state: &DurableState) -> Result<Log<F>, StateLogError> {
    let whole: Vec<Vec<u8>> = state.records().iter().flat_map(entries).collect();
    log.rewrite(&whole).map_err(disk)?;
    Ok(log)
}

fn disk(trouble: Trouble) -> StateLogError {
    StateLogError::Disk { trouble }
}

/// A record as entries of the log: pieces, each behind its mark.
fn entries(record: &Record) -> Vec<Vec<u8>> {
    let bytes = record.encode_to_vec();
    let count = bytes.len().div_ceil(PIECE).max(1);
    let entry = |index: usize| {
        let end = bytes.len().min((index + 1) * PIECE);
        let mut entry = vec![if index + 1 == count { ENDS } else { GOES_ON }];
        entry.extend_from_slice(&bytes[index * PIECE..end]);
        entry
    };
    (0..count).map(entry).collect()
}

fn decode(entries: Vec<Vec<u8>>) -> Result<DurableState, StateLogError> {
    let mut state = DurableState::default();
    let mut whole = Vec::new();
    for entry in entries {
        let (mark, piece) = entry.split_first().ok_or(StateLogError::EmptyEntry)?;
        whole.extend_from_slice(piece);
        if *mark == ENDS {
            state.add(Record::decode(&whole[..]).context(DecodeSnafu)?);
            whole.clear();
        }
    }
    Ok(state)
}
