//! What goes into a control node and what comes out of it.

use linenthread_messages::{PeerMessage, Record, Value};

use crate::{CallId, SessionId};

/// Who this control node is.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub name: String,
    pub zone: String,
    /// Tells this run of the process from all others.
    pub incarnation: u64,
    /// Its address for control calls.
    pub control_address: String,
    /// Its disk may vote.
    pub may_vote: bool,
    /// Never fewer disks vote: what may be lost together is borne by so many.
    pub min_voters: usize,
    /// About how often a replica sends a heartbeat.
    pub heartbeat_interval: u64,
    pub bootstrap: Vec<String>,
    /// The system starts for the first time, and its disk was empty.
    pub is_genesis: bool,
    pub retry_allowance: f64,
    pub retry_window: u64,
}

/// The answer to a call of a replica or an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Acknowledged; where later heartbeats may go.
    Acknowledged(Option<String>),
    Committed(u64),
    Document(Value),
    Conflict(u64),
    /// This node can't say; another may.
    Unavailable(&'static str),
    /// This node is about to end; the one at this address takes calls.
    Redirect(String),
}

/// What whoever drives a control node has to do, in this order.
#[derive(Debug)]
pub enum Effect {
    Send {
        session: SessionId,
        message: PeerMessage,
    },
    /// To be synced; [`crate::ControlNode::synced`] is called with what waits on it.
    Persist {
        record: Record,
        then: Vec<(u64, PeerMessage)>,
    },
    Respond {
        call: CallId,
        response: Response,
    },
    Dial(String),
    Close(SessionId),
    Log(String),
}
