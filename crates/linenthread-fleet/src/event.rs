//! What a fleet reports for the log.

use std::fmt;

use linenthread_store::TornTail;

use crate::error::{MessageError, StorageError};
use crate::identifiers::{Term, VoterIncarnation};

/// Something that an operator should find in the log; its `Display` is the log line.
#[derive(Debug)]
pub enum FleetEvent {
    /// A torn end of the voter's log, which a crash had left, was cut off.
    TornTailTruncated(TornTail),
    /// A voter was opened here.
    VoterOpened,
    /// The fleet is founded, with this voter as one of its founders.
    Founded,
    /// The voter's disk is empty although the fleet exists: it has drawn another identity.
    IdentityReplaced {
        /// The incarnation of the new identity.
        incarnation: VoterIncarnation,
    },
    /// This process leads from now on.
    LeadershipAcquired {
        /// Raft's term.
        term: Term,
    },
    /// This process does not lead any more.
    LeadershipLost {
        /// Raft's term; [`Term::NONE`] where the voter takes no part in Raft any more.
        term: Term,
    },
    /// A change of the voters was proposed here.
    VoterChangeProposed(VoterChange),
    /// A change of the voters was committed.
    VoterChanged(VoterChange),
    /// The voter's disk has failed.
    SteppedDown {
        /// How it failed.
        cause: StorageError,
    },
    /// A peer that was configured with other voters is ignored.
    OtherFounders {
        /// The peer's name.
        peer: String,
    },
    /// A peer's Raft message was not accepted.
    MessageRejected {
        /// The peer's name.
        peer: String,
        /// Why.
        cause: MessageError,
    },
    /// This process was declared down and has refuted it.
    DownRefuted,
}

/// One voter that joins or leaves those that vote.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterChange {
    /// The voter's name.
    pub name: String,
    /// The incarnation of its identity.
    pub incarnation: VoterIncarnation,
    /// Whether it joins or leaves.
    pub kind: VoterChangeKind,
}

/// Whether a voter joins or leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterChangeKind {
    /// It joins.
    Add,
    /// It leaves.
    Remove,
}

/// What becomes of a connection; its `Display` is the log line.
#[derive(Clone, Debug, PartialEq)]
pub enum ConnectionEvent {
    /// Both sides have proven themselves.
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
            FleetEvent::SteppedDown { cause } => write!(f, "voter stopped: {cause}"),
            FleetEvent::OtherFounders { peer } => {
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
