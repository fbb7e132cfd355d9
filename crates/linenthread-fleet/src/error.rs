//! Why something of the fleet cannot be decoded, opened or proposed.

use linenthread_frames::DecodeError;
use linenthread_store::LogError;
use snafu::Snafu;

use crate::identifiers::{LogIndex, Term};

/// Why a configuration cannot be right.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// Members would be probed without a pause.
    #[snafu(display("the probe interval must be longer than 0"))]
    NoProbeInterval,
    /// Two voters have one name.
    #[snafu(display("the voter {name} is listed twice"))]
    DuplicateVoter {
        /// The name.
        name: String,
    },
    /// A voter is to be opened where none is configured.
    #[snafu(display("{name} is to be a voter, but is not listed as one"))]
    NotAmongVoters {
        /// The process's name.
        name: String,
    },
}

/// Why bytes are no frame of the fleet, no record of a voter's disk, or no datagram. The text is sent to the peer whose
/// frame it was: it is wire format.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RecordError {
    /// A field does not decode.
    #[snafu(transparent)]
    Field {
        /// What the decoder found.
        source: DecodeError,
    },
    /// The kind of a frame is unknown.
    #[snafu(display("no frame is of kind {kind}"))]
    UnknownFrame {
        /// The byte that stands for the kind.
        kind: u8,
    },
    /// The kind of a Raft message is unknown.
    #[snafu(display("no message is of kind {kind}"))]
    UnknownMessage {
        /// The byte that stands for the kind.
        kind: u8,
    },
    /// The kind of a record on disk is unknown.
    #[snafu(display("no record is of kind {kind}"))]
    UnknownRecord {
        /// The byte that stands for the kind.
        kind: u8,
    },
    /// A voter's progress is unknown.
    #[snafu(display("no standing is {code}"))]
    UnknownProgress {
        /// The byte that stands for the progress.
        code: u8,
    },
    /// A gossip message is of an unknown kind.
    #[snafu(display("no gossip is of kind {kind}"))]
    UnknownGossip {
        /// The byte that stands for the kind.
        kind: u8,
    },
    /// A member's state is unknown.
    #[snafu(display("no state is {code}"))]
    UnknownMemberState {
        /// The byte that stands for the state.
        code: u8,
    },
    /// An address is of an unknown family.
    #[snafu(display("an address cannot be of kind {kind}"))]
    UnknownAddressFamily {
        /// The byte that stands for the family.
        kind: u8,
    },
    /// The context of a Raft message is longer than the limit.
    #[snafu(display("a message's context is too long"))]
    ContextTooLong,
    /// A Raft message has more entries than the limit.
    #[snafu(display("{count} entries are too many"))]
    TooManyEntries {
        /// How many.
        count: u16,
    },
    /// A report is longer than the limit.
    #[snafu(display("a report of {length} bytes is too long"))]
    ReportTooLong {
        /// Its length in bytes.
        length: usize,
    },
    /// A topic or a value is longer than the limit.
    #[snafu(display("a value is too long for the record"))]
    ValueTooLong,
    /// An entry does not follow those before it.
    #[snafu(display("an entry stands where none can be"))]
    MisplacedEntry,
    /// A name is empty, or longer than the limit.
    #[snafu(display("a name is too long or empty"))]
    InvalidName,
    /// More names were received than are remembered.
    #[snafu(display("too many names"))]
    TooManyNames,
}

/// Why a voter's disk cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The log failed, or cannot be opened.
    #[snafu(transparent)]
    Log {
        /// What the log reports.
        source: LogError,
    },
    /// A record in the log does not decode.
    #[snafu(display("record {number} of the voter's log is damaged: {source}"))]
    DamagedRecord {
        /// The record's number in the log, from 0.
        number: usize,
        /// What is wrong with it.
        source: RecordError,
    },
    /// An entry that Raft wanted written does not follow those before it.
    #[snafu(display("the disk failed: {source}"))]
    Append {
        /// What is wrong with it.
        source: RecordError,
    },
    /// Raft cannot start from what the disk holds.
    #[snafu(display("the disk failed: {source}"))]
    Start {
        /// What is wrong.
        source: StartError,
    },
}

/// Why a process cannot join, or its voter cannot be opened: a voter must not take part with less than it promised.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum OpenError {
    /// The configuration contradicts itself.
    #[snafu(transparent)]
    InvalidConfig {
        /// In what way.
        source: ConfigError,
    },
    /// What was written is damaged, or of another version.
    #[snafu(display("{source}"))]
    OpenStorage {
        /// What was found.
        source: StorageError,
    },
    /// The folder is another voter's.
    #[snafu(display("the folder belongs to the voter {owner}, not to {local}"))]
    ForeignFolder {
        /// The voter that wrote the folder.
        owner: String,
        /// The voter that was to be opened.
        local: String,
    },
}

/// Why a value cannot be proposed.
#[derive(Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProposeError {
    /// This process has no voter.
    #[snafu(display("this process is not a voter"))]
    NotVoter,
    /// This process does not hold the leader's lease.
    #[snafu(display("this process is not the leader"))]
    NotLeader,
    /// The topic or the value is longer than the limit.
    #[snafu(display("the value is too long"))]
    TooLong,
    /// Raft refused it, mostly since too much waits to be committed.
    #[snafu(display("{source}"))]
    Refused {
        /// Raft's cause.
        source: raft::Error,
    },
}

/// Why a datagram was not accepted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DatagramError {
    /// It is shorter than a proof.
    #[snafu(display("a datagram is shorter than its proof"))]
    TooShort,
    /// It does not prove the secret.
    #[snafu(display("a datagram is not authenticated"))]
    Unproven,
    /// The gossip protocol refused it.
    #[snafu(display("{source}"))]
    Gossip {
        /// The protocol's cause.
        source: foca::Error,
    },
}

/// Why a peer's Raft message is not passed to Raft: no correct voter sends it, and the library would panic on it.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MessageError {
    /// An entry does not follow the one before it, or contradicts a committed one.
    #[snafu(display("entry {index} of term {term} does not fit the log"))]
    ImpossibleEntry {
        /// The entry's index.
        index: LogIndex,
        /// The entry's term.
        term: Term,
    },
    /// The commit index is beyond the entries that this voter has acknowledged.
    #[snafu(display("commit index {commit} is beyond the last entry, {last_index}"))]
    ImpossibleCommit {
        /// The message's commit index.
        commit: LogIndex,
        /// The index of the last entry here.
        last_index: LogIndex,
    },
    /// The state in a snapshot does not decode.
    #[snafu(display("{source}"))]
    MalformedSnapshot {
        /// What the decoder found.
        source: DecodeError,
    },
    /// A message that is only for a voter's own use.
    #[snafu(display("a message for a voter's own use"))]
    LocalMessage,
}

/// Why a voter cannot begin to take part in Raft with what its disk holds.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The replicated state in the snapshot does not decode.
    #[snafu(display("{source}"))]
    State {
        /// What the decoder found.
        source: DecodeError,
    },
    /// Raft refuses the state that was written.
    #[snafu(display("{source}"))]
    Raft {
        /// Raft's cause.
        source: raft::Error,
    },
}
