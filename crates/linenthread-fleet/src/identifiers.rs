//! Identifiers and counters, each as a type of its own.

use std::fmt;

/// Number of a connection, local to this process: it is not sent to the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A term of Raft, in which at most one voter leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Term(pub u64);

/// Index of an entry in Raft's log, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogIndex(pub u64);

/// Distinguishes the starts of a process: it increases with each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessIncarnation(pub u64);

/// Distinguishes the disks of a voter: a voter whose disk is empty draws a new random incarnation. It is stored on the
/// disk and survives restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VoterIncarnation(pub u64);

/// Digest of the founders' names. Processes with different digests are configured with different voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundersDigest(pub u64);

impl Term {
    /// The term of a voter that does not participate in Raft.
    pub const NONE: Term = Term(0);
}

impl VoterIncarnation {
    /// The incarnation of a founder, the only one that is not drawn at random.
    pub const FOUNDER: VoterIncarnation = VoterIncarnation(0);
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::LowerHex for VoterIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        fmt::LowerHex::fmt(&self.0, f)
    }
}
