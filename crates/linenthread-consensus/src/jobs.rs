//! Jobs (proposals and reads submitted by a caller) and their outcomes.

use linenthread_messages::Value;

use crate::revision::Revision;

/// Identifier of a job, chosen by the caller that submits it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// The result of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The change is decided, now or earlier. Contains the order's revision, or the newest revision of the
    /// configuration if the change was not an order.
    Committed(Revision),
    /// The change is not decided and never will be. Contains the newest revision of the configuration.
    Conflict(Revision),
    /// The newest value at some time after the read was submitted.
    NewestValue(Box<Value>),
    /// For a change, it is unknown whether it is or will be decided; for a read, which value is the newest.
    Unknown(UnknownReason),
}

/// The reason why the outcome of a job is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// No majority of the voters replied before the deadline.
    TimedOut,
    /// Too many jobs are pending on this node.
    TooManyPending,
    /// This node has just joined and has not received a value yet.
    NoValue,
    /// The order's base is above the newest decided revision, and may still be decided.
    BaseNotDecided,
    /// This node's order log lacks the entries needed to determine the outcome.
    OrderLogGap,
}
