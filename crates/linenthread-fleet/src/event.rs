//! Events that are written to the log.

use std::fmt;

use linenthread_store::TornTail;

use crate::error::{MessageError, StorageError};
use crate::identifiers::{Term, VoterIncarnation};

/// An event for the operator; its `Display` is the text of the log line.
#[derive(Debug)]
pub enum FleetEvent {
    /// An incomplete write that a crash had left at the end of the voter's log was truncated.
    TornTailTruncated(TornTail),
    /// This process's voter was opened.
    VoterOpened,
    /// This voter has become a founder of a new fleet.
    Founded,
    /// The voter's disk is empty although the fleet exists: it has drawn a new identity.
    IdentityReplaced {
        /// The incarnation of the new identity.
        incarnation: VoterIncarnation,
    },
    /// This process has become the leader.
    LeadershipAcquired {
        /// Raft's term.
        term: Term,
    },
    /// This process is no longer the leader.
    LeadershipLost {
        /// Raft's term; [`Term::NONE`] if the voter no longer participates in Raft.
        term: Term,
    },
    /// This process has proposed a change of the voters.
    VoterChangeProposed(VoterChange),
    /// A change of the voters was committed.
    VoterChanged(VoterChange),
    /// The voter has stopped because its disk failed, or Raft could not start from it.
    VoterStopped {
        /// The error that stopped it.
        cause: StorageError,
    },
    /// A peer's progress report was ignored because the peer is configured with other voters.
    FoundersMismatch {
        /// The peer's name.
        peer: String,
    },
    /// A peer's Raft message was rejected.
    MessageRejected {
        /// The peer's name.
        peer: String,
        /// Why it was rejected.
        cause: MessageError,
    },
    /// This process was declared down by other members and has refuted it.
    DownRefuted,
}

/// The addition or removal of one voter.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterChange {
    /// The voter's name.
    pub name: String,
    /// The incarnation of its identity.
    pub incarnation: VoterIncarnation,
    /// Whether it is added or removed.
    pub kind: VoterChangeKind,
}

/// The kind of a change of the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterChangeKind {
    /// The voter is added.
    Add,
    /// The voter is removed.
    Remove,
}

/// A change of a connection's state; its `Display` is the text of the log line.
#[derive(Clone, Debug, PartialEq)]
pub enum ConnectionEvent {
    /// Both sides are authenticated; the connection is established.
    Connected {
        /// The peer's name.
        peer: String,
    },
    /// An established connection has ended.
    Disconnected {
        /// The peer's name.
        peer: String,
    },
}

impl fmt::Display for FleetEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FleetEvent::TornTailTruncated(TornTail {
                file,
                offset,
                bytes,
            }) => {
                write!(
                    f,
                    "torn record truncated: {bytes} bytes of {file} at {offset}"
                )
            }
            FleetEvent::VoterOpened => write!(f, "voter started"),
            FleetEvent::Founded => write!(f, "bootstrapped with this voter"),
            FleetEvent::IdentityReplaced { incarnation } => write!(
                f,
                "the disk is empty although the fleet exists, new identity {incarnation:x}"
            ),
            FleetEvent::LeadershipAcquired { term } => {
                write!(f, "became leader, term {term}")
            }
            FleetEvent::LeadershipLost { term } => {
                write!(f, "lost leadership, term {term}")
            }
            FleetEvent::VoterChangeProposed(change) => {
                write!(f, "voter change proposed: {change}")
            }
            FleetEvent::VoterChanged(change) => write!(f, "voter change committed: {change}"),
            FleetEvent::VoterStopped { cause } => write!(f, "voter stopped: {cause}"),
            FleetEvent::FoundersMismatch { peer } => {
                write!(f, "{peer} is configured with other voters, ignored")
            }
            FleetEvent::MessageRejected { peer, cause } => {
                write!(f, "message of {peer} rejected: {cause}")
            }
            FleetEvent::DownRefuted => write!(f, "declared down by others, refuted"),
        }
    }
}

impl fmt::Display for VoterChange {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{} {}, identity {:x}",
            self.kind, self.name, self.incarnation
        )
    }
}

impl fmt::Display for VoterChangeKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            VoterChangeKind::Add => "add",
            VoterChangeKind::Remove => "remove",
        })
    }
}

impl fmt::Display for ConnectionEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConnectionEvent::Connected { peer } => write!(f, "connected to {peer}"),
            ConnectionEvent::Disconnected { peer } => {
                write!(f, "disconnected from {peer}")
            }
        }
    }
}
