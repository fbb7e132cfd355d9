//! What goes into a control node and what comes out of it.

use linenthread_messages::{PeerMessage, Record, Value};

use crate::{Link, Token};

/// Who this control node is.
#[derive(Clone, Debug)]
pub struct Local {
    pub name: String,
    pub zone: String,
    /// Tells this run of the process from all others.
    pub life: u64,
    /// Its address for control calls.
    pub control: String,
    /// Its disk may vote.
    pub counts: bool,
    /// Never fewer disks vote: what may be lost together is borne by so many.
    pub least: usize,
    /// About how often a replica sends a heartbeat.
    pub heartbeat: u64,
    pub bootstrap: Vec<String>,
    /// The system starts for the first time, and its disk was empty.
    pub first_of_all: bool,
    pub retry_allowance: f64,
    pub retry_window: u64,
}

/// The answer to a call of a replica or an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Acknowledged; where later heartbeats may go.
    Heard(Option<String>),
    Taken(u64),
    Document(Value),
    Conflict(u64),
    /// This node can't say; another may.
    NotNow(&'static str),
    /// This node is about to end; the one at this address takes calls.
    Elsewhere(String),
}

/// What whoever drives a control node has to do, in this order.
#[derive(Debug)]
pub enum Effect {
    Send {
        link: Link,
        word: PeerMessage,
    },
    /// To be synced; [`crate::Control::synced`] is called with what waits on it.
    Keep {
        record: Record,
        then: Vec<(u64, PeerMessage)>,
    },
    Answer {
        token: Token,
        answer: Answer,
    },
    Dial(String),
    Drop(Link),
    Note(String),
}
