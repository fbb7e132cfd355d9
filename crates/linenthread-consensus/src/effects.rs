//! What the state machines ask of their driver.

use linenthread_messages::{PeerMessage, Record, Value, Voter};

use crate::jobs::{JobId, Outcome};

/// One step for the driver of a [`crate::Register`], which carries out effects in the order it receives them.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A message is to be sent to a node, perhaps to this one.
    Send {
        /// The receiving node.
        to: u64,
        /// The message.
        message: PeerMessage,
    },
    /// A record is to be appended to this node's disk.
    Persist {
        /// The record.
        record: Record,
        /// Messages to be sent once the record is synced, not before, each with the receiving node.
        after_sync: Vec<(u64, PeerMessage)>,
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

/// Sends a message to each of the voters, this node included if it is one.
pub(crate) fn send_to_all(voters: &[Voter], message: &PeerMessage, effects: &mut Vec<Effect>) {
    effects.extend(voters.iter().map(|voter| Effect::Send {
        to: voter.id,
        message: message.clone(),
    }));
}
