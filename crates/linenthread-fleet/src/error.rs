//! Errors of this package.

use linenthread_frames::DecodeError;
use linenthread_store::LogError;
use snafu::Snafu;

use crate::identifiers::{LogIndex, Term};

/// The reason why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// The probe interval is not positive.
    #[snafu(display("the probe interval must be longer than 0"))]
    NoProbeInterval,
    /// Two voters have the same name.
    #[snafu(display("the voter {name} is listed twice"))]
    DuplicateVoter {
        /// The name.
        name: String,
    },
    /// The process to be opened as a voter is not listed as one.
    #[snafu(display("{name} is to be a voter, but is not listed as one"))]
    NotAmongVoters {
        /// The process's name.
        name: String,
    },
}

/// The reason why bytes are not a valid frame, record of a voter's disk, or datagram. For a frame, the text is sent to
/// the peer that sent it: the texts are part of the wire format.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RecordError {
    /// A field cannot be decoded.
    #[snafu(transparent)]
    Field {
        /// The decoder's error.
        source: DecodeError,
    },
    /// The kind of a frame is unknown.
    #[snafu(display("no frame is of kind {kind}"))]
    UnknownFrame {
        /// The kind's byte.
        kind: u8,
    },
    /// The kind of a Raft message is unknown.
    #[snafu(display("no message is of kind {kind}"))]
    UnknownMessage {
        /// The kind's byte.
        kind: u8,
    },
    /// The kind of a record on disk is unknown.
    #[snafu(display("no record is of kind {kind}"))]
    UnknownRecord {
        /// The kind's byte.
        kind: u8,
    },
    /// A voter's progress is unknown.
    #[snafu(display("no standing is {code}"))]
    UnknownProgress {
        /// The progress's byte.
        code: u8,
    },
    /// The kind of a gossip message is unknown.
    #[snafu(display("no gossip is of kind {kind}"))]
    UnknownGossip {
        /// The kind's byte.
        kind: u8,
    },
    /// A member's state is unknown.
    #[snafu(display("no state is {code}"))]
    UnknownMemberState {
        /// The state's byte.
        code: u8,
    },
    /// The address family is unknown.
    #[snafu(display("an address cannot be of kind {kind}"))]
    UnknownAddressFamily {
        /// The family's byte.
        kind: u8,
    },
    /// The context of a Raft message is longer than the limit.
    #[snafu(display("a message's context is too long"))]
    ContextTooLong,
    /// A Raft message has more entries than the limit.
    #[snafu(display("{count} entries are too many"))]
    TooManyEntries {
        /// Number of entries.
        count: u16,
    },
    /// A report is longer than the limit.
    #[snafu(display("a report of {length} bytes is too long"))]
    ReportTooLong {
        /// Its length, in bytes.
        length: usize,
    },
    /// A topic or a value is longer than the limit.
    #[snafu(display("a value is too long for the record"))]
    ValueTooLong,
    /// An entry's index leaves a gap after the previous entries, or is covered by the snapshot.
    #[snafu(display("an entry stands where none can be"))]
    MisplacedEntry,
    /// A name is empty, or longer than the limit.
    #[snafu(display("a name is too long or empty"))]
    InvalidName,
    /// More distinct names were received than the limit.
    #[snafu(display("too many names"))]
    TooManyNames,
}

/// The reason why a voter's disk cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The log failed, or cannot be opened.
    #[snafu(transparent)]
    Log {
        /// The log's error.
        source: LogError,
    },
    /// A record in the log cannot be decoded or applied.
    #[snafu(display("record {number} of the voter's log is damaged: {source}"))]
    DamagedRecord {
        /// The record's position in the log, from 0.
        number: usize,
        /// What is wrong with the record.
        source: RecordError,
    },
    /// An entry that Raft asked to append does not follow the previous ones.
    #[snafu(display("the disk failed: {source}"))]
    Append {
        /// What is wrong with the entry.
        source: RecordError,
    },
    /// Raft cannot start from the stored state.
    #[snafu(display("the disk failed: {source}"))]
    Start {
        /// Why Raft cannot start.
        source: StartError,
    },
}

/// The reason why a process cannot join, or its voter cannot be opened. A voter must not participate in Raft after it
/// lost part of the state that its earlier messages relied on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum OpenError {
    /// The configuration is invalid.
    #[snafu(transparent)]
    InvalidConfig {
        /// What is wrong with it.
        source: ConfigError,
    },
    /// The stored state is damaged, or of another version.
    #[snafu(display("{source}"))]
    OpenStorage {
        /// Why it cannot be used.
        source: StorageError,
    },
    /// The directory was written by another voter.
    #[snafu(display("the folder belongs to the voter {owner}, not to {local}"))]
    ForeignDirectory {
        /// The voter that wrote the directory.
        owner: String,
        /// The voter that was to be opened.
        local: String,
    },
}

/// The reason why a value cannot be proposed.
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
    /// Raft refused the proposal, mostly because too many bytes wait to be committed.
    #[snafu(display("{source}"))]
    Refused {
        /// Raft's error.
        source: raft::Error,
    },
}

/// The reason why a datagram was not accepted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DatagramError {
    /// It is shorter than a proof of the secret.
    #[snafu(display("a datagram is shorter than its proof"))]
    TooShort,
    /// Its proof was not made with one of the shared secrets.
    #[snafu(display("a datagram is not authenticated"))]
    Unauthenticated,
    /// foca rejected it.
    #[snafu(display("{source}"))]
    Gossip {
        /// foca's error.
        source: foca::Error,
    },
}

/// The reason why a peer's Raft message is not passed to the raft library, which would panic on it. No correct voter
/// sends such a message.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MessageError {
    /// An entry does not follow the one before it, has a term later than the message's, or contradicts a committed
    /// entry.
    #[snafu(display("entry {index} of term {term} does not fit the log"))]
    InvalidEntry {
        /// The entry's index.
        index: LogIndex,
        /// The entry's term.
        term: Term,
    },
    /// The commit index is beyond this voter's last entry.
    #[snafu(display("commit index {commit} is beyond the last entry, {last_index}"))]
    InvalidCommit {
        /// The message's commit index.
        commit: LogIndex,
        /// The index of this voter's last entry.
        last_index: LogIndex,
    },
    /// The state in a snapshot cannot be decoded.
    #[snafu(display("{source}"))]
    MalformedSnapshot {
        /// The decoder's error.
        source: DecodeError,
    },
    /// A message of a type that a voter sends only to itself.
    #[snafu(display("a message for a voter's own use"))]
    LocalMessage,
}

/// The reason why Raft cannot start from a voter's stored state.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The replicated state in the snapshot cannot be decoded.
    #[snafu(display("{source}"))]
    State {
        /// The decoder's error.
        source: DecodeError,
    },
    /// Raft rejects the stored state.
    #[snafu(display("{source}"))]
    Raft {
        /// Raft's error.
        source: raft::Error,
    },
}
