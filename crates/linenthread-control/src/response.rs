//! Responses to the calls of replicas and operators.

use std::fmt;

use linenthread_consensus::{Revision, UnknownReason};
use linenthread_messages::Value;

/// The response to a call of a replica or an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// A replica's call was recorded.
    Acknowledged {
        /// The control address, in the replica's own zone, to which the replica should send its next heartbeats; `None`
        /// if there is no such address.
        report_to: Option<String>,
    },
    /// The configuration of this revision was committed.
    Committed(Revision),
    /// The newest configuration.
    Document(Value),
    /// The order was rejected and will never be committed, since the newest configuration has this revision instead of
    /// the order's base revision.
    Conflict(Revision),
    /// This node can't answer the call; another one may.
    Unavailable(UnavailableReason),
    /// This node is shutting down; the node at this control address accepts calls.
    Redirect(String),
}

/// Why a control node can't answer a call. [`fmt::Display`] writes the text that the caller receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// The node is out of contact with a majority of the voters.
    NoQuorum,
    /// A majority of the voters did not respond in time: the order may or may not be committed.
    QuorumTimedOut,
    /// This node recorded the change, but a majority of the voters did not acknowledge it in time.
    NotReplicated,
    /// Too many departures of replicas that never sent a heartbeat are retained: this one was not recorded.
    TooManyDepartures,
    /// The node is shutting down, and knows no other node that accepts calls.
    ShuttingDown,
    /// Too many orders or reads are pending on this node: the call was not started.
    TooManyPending,
    /// The node has just joined and has not learned the configuration yet: the call was not started.
    Joining,
    /// The base revision of the order is above the newest revision: it may be committed later, or never.
    BaseNotCommitted,
    /// The order is older than the orders that this node retains, or in a part of the order log that the node has not
    /// fetched.
    OrderNotRetained,
}

impl From<UnknownReason> for UnavailableReason {
    fn from(reason: UnknownReason) -> UnavailableReason {
        match reason {
            UnknownReason::TimedOut => UnavailableReason::QuorumTimedOut,
            UnknownReason::TooManyPending => UnavailableReason::TooManyPending,
            UnknownReason::NoValue => UnavailableReason::Joining,
            UnknownReason::BaseNotDecided => UnavailableReason::BaseNotCommitted,
            UnknownReason::OrderLogGap => UnavailableReason::OrderNotRetained,
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
            UnavailableReason::TooManyDepartures => {
                "too many departures of unknown replicas are retained"
            }
            UnavailableReason::ShuttingDown => "the control node is shutting down",
            UnavailableReason::TooManyPending => "too many orders and reads are pending",
            UnavailableReason::Joining => "the control node has not learned the configuration yet",
            UnavailableReason::BaseNotCommitted => {
                "the base revision is above the newest one: correct it, or send the order again once it is in force"
            }
            UnavailableReason::OrderNotRetained => {
                "the control node does not remember what became of this order: ask another one"
            }
        })
    }
}
