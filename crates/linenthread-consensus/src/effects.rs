//! What the state machines ask of their driver.

use linenthread_messages::{PeerMessage, Record, Value, Voter};

use crate::jobs::{JobId, Outcome};
use crate::node_id::NodeId;

/// One step for the driver of a [`crate::Register`], which carries out effects in the order it receives them.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A message is to be sent to a node, perhaps to this one.
    Send {
        /// The receiving node.
        to: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// A record is to be appended to this node's disk.
    Persist {
        /// The record.
        record: Record,
        /// Messages to be sent once the record is synced, not before.
        after_sync: Vec<DeferredMessage>,
    },
    /// This node has learned a newer decided value.
    Decided(Value),
    /// A job is completed.
    Reply {
        /// The job.
        job: JobId,
        /// Its result.
        outcome: Outcome,
    },
}

/// A message that depends on a record: it may be sent only once the record is synced.
#[derive(Clone, Debug, PartialEq)]
pub struct DeferredMessage {
    /// The receiving node, perhaps this one.
    pub to: NodeId,
    /// The message.
    pub message: PeerMessage,
}

/// Sends a message to each of the voters, this node included if it is one.
pub(crate) fn send_to_all(voters: &[Voter], message: &PeerMessage, effects: &mut Vec<Effect>) {
    effects.extend(voters.iter().map(|voter| Effect::Send {
        to: NodeId::from(voter),
        message: message.clone(),
    }));
}
