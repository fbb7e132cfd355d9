use linenthread_messages::{PeerMessage, Record, Value};

/// Identifies a proposal or a read to the caller that submitted it; chosen by that caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It is decided, or was before.
    Committed(u64),
    /// Another revision is in place; the order was not taken and never will be.
    Conflict(u64),
    /// The newest value, as of some moment since it was asked for.
    Newest(Value),
    /// No message of more than half of the counted disks in time, too much waits, or what would tell whether the
    /// order was taken is not here: it may or may not come to be.
    Unknown,
}

/// What whoever drives the register has to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// To the node of this disk.
    Send { to: u64, message: PeerMessage },
    /// To be synced before the messages behind it go out.
    Persist {
        record: Record,
        then: Vec<(u64, PeerMessage)>,
    },
    /// The newest value now.
    Decided(Value),
    /// A job has ended.
    Reply { job: JobId, outcome: Outcome },
}
