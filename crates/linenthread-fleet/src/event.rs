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
                    "a torn end of {bytes} bytes was cut off {file} at {offset}"
                )
            }
            FleetEvent::VoterOpened => write!(f, "takes part as a voter"),
            FleetEvent::Founded => write!(f, "the record is founded here"),
            FleetEvent::IdentityReplaced { incarnation } => write!(
                f,
                "its disk is empty beside a record that goes on: new self {incarnation:x}"
            ),
            FleetEvent::LeadershipAcquired { term } => {
                write!(f, "leads from now on, in term {term}")
            }
            FleetEvent::LeadershipLost { term } => {
                write!(f, "does not lead any more, in term {term}")
            }
            FleetEvent::VoterChangeProposed(change) => {
                write!(f, "{change} is to be {}", change.kind)
            }
            FleetEvent::VoterChanged(change) => write!(f, "{change} is {}", change.kind),
            FleetEvent::SteppedDown { cause } => write!(f, "this voter steps down: {cause}"),
            FleetEvent::OtherFounders { peer } => {
                write!(
                    f,
                    "{peer} names other voters than this one: it is not heard"
                )
            }
            FleetEvent::MessageRejected { peer, cause } => {
                write!(f, "a message of {peer} is not taken: {cause}")
            }
            FleetEvent::DownRefuted => write!(f, "was taken for gone, and said that it is not"),
        }
    }
}

impl fmt::Display for VoterChange {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} with self {:x}", self.name, self.incarnation)
    }
}

impl fmt::Display for VoterChangeKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            VoterChangeKind::Add => "in",
            VoterChangeKind::Remove => "out",
        })
    }
}

impl fmt::Display for ConnectionEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConnectionEvent::Connected { peer } => write!(f, "connected with {peer}"),
            ConnectionEvent::Disconnected { peer } => {
                write!(f, "the connection with {peer} has ended")
            }
        }
    }
}
