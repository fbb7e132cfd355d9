//! Numbers that mean something, each of a type of its own.

use std::fmt;

/// A connection of this process; numbered here, and not sent to the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A term of Raft, in which one voter leads at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Term(pub u64);

/// The position of an entry in Raft's log, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogIndex(pub u64);

/// Tells two starts of one process apart: it rises with each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessIncarnation(pub u64);

/// Tells two disks of one voter apart: a voter that finds its disk empty draws a new one. It survives restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VoterIncarnation(pub u64);

/// A digest of the founders' names: two processes with different ones are configured with different voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundersDigest(pub u64);

impl Term {
    /// Of a voter that takes no part in Raft.
    pub const NONE: Term = Term(0);
}

impl VoterIncarnation {
    /// Of a founder, which is the only identity that is not drawn.
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
