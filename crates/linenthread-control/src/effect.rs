//! The actions that a control node requests from its driver.

use linenthread_consensus::AfterSync;
use linenthread_messages::{PeerMessage, Record};

use crate::{CallId, ControlEvent, PlatformCall, Response, SessionId};

/// An action that the driver of a control node must carry out. Effects are carried out in the order in which they were
/// returned.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "effects live for one step, and a box would cost an allocation for each record"
)]
pub enum Effect {
    /// Send a message on a session. The message may be lost.
    Send {
        /// The session, as identified by the driver.
        session: SessionId,
        /// The message.
        message: PeerMessage,
    },
    /// Write and sync a record, then call [`crate::ControlNode::on_synced`] with `after_sync`.
    Persist {
        /// The record.
        record: Record,
        /// The actions that wait until the record is durable.
        after_sync: Vec<AfterSync>,
    },
    /// Respond to a call.
    Respond {
        /// The call, as identified by the driver.
        call: CallId,
        /// The response.
        response: Response,
    },
    /// Connect to the control node at this address.
    Dial(String),
    /// Close a session's connection.
    Close(SessionId),
    /// Make a call to the platform's API, then call [`crate::ControlNode::on_platform_outcome`], whatever the outcome.
    CallPlatform(PlatformCall),
    /// Write an event to the log.
    Log(ControlEvent),
}
