//! Answers to the calls of replicas and operators.

use std::fmt;

use linenthread_consensus::{Revision, UnknownReason};
use linenthread_messages::Value;

/// The answer to a call of a replica or an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// A replica's call was recorded.
    Acknowledged {
        /// The control address that its later heartbeats should go to, in its own zone; `None` if there is none to name.
        report_to: Option<String>,
    },
    /// The configuration of this revision was committed.
    Committed(Revision),
    /// The newest configuration.
    Document(Value),
    /// Another revision, this one, is in place; the order was not taken and never will be.
    Conflict(Revision),
    /// This node can't tell; another may.
    Unavailable(UnavailableReason),
    /// This node shuts down; the one at this control address takes calls.
    Redirect(String),
}

/// Why a control node can't answer a call. [`fmt::Display`] gives the text that the caller receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// The node is out of contact with a majority of the voters.
    NoQuorum,
    /// A majority of the voters did not reply in time: what was ordered may come into force or not.
    QuorumTimedOut,
    /// The change was recorded here, but a majority did not acknowledge it in time.
    NotReplicated,
    /// The node shuts down, and knows no other that takes calls.
    ShuttingDown,
    /// Too many orders or reads wait on this node: nothing was begun.
    TooManyPending,
    /// The node has just joined, and has not learned the configuration yet: nothing was begun.
    Joining,
    /// The revision that the order builds on is above the newest one: it may come into force yet, or never.
    BaseNotCommitted,
    /// The order is older than what this node remembers, or in a part of the order log that it has not fetched.
    OrderNotRemembered,
}

impl From<UnknownReason> for UnavailableReason {
    fn from(reason: UnknownReason) -> UnavailableReason {
        match reason {
            UnknownReason::TimedOut => UnavailableReason::QuorumTimedOut,
            UnknownReason::TooManyPending => UnavailableReason::TooManyPending,
            UnknownReason::NoValue => UnavailableReason::Joining,
            UnknownReason::BaseNotDecided => UnavailableReason::BaseNotCommitted,
            UnknownReason::OrderLogGap => UnavailableReason::OrderNotRemembered,
        }
    }
}

impl fmt::Display for UnavailableReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UnavailableReason::NoQuorum => "no contact with a majority of the voters",
            UnavailableReason::QuorumTimedOut => "a majority of the voters did not respond in time",
            UnavailableReason::NotReplicated => {
                "a majority of the voters did not acknowledge the change in time"
            }
            UnavailableReason::ShuttingDown => "the control node is shutting down",
            UnavailableReason::TooManyPending => "too many orders and reads are pending",
            UnavailableReason::Joining => "the control node has not learned the configuration yet",
            UnavailableReason::BaseNotCommitted => {
                "the base revision is above the newest one: correct it, or send the order again once it is in force"
            }
            UnavailableReason::OrderNotRemembered => {
                "the control node does not remember what became of this order: ask another one"
            }
        })
    }
}
