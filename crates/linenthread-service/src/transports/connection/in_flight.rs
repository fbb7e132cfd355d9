//! The handle of an attempt in flight, which cancels the attempt when it is dropped.

use std::rc::Rc;

use linenthread_protocol::frame;
use tokio::time::Instant;

use super::frame_writer::{FrameContents, OutgoingFrame};
use super::{AttemptNumber, Connection};

/// An attempt in flight at a replica. Dropping it cancels the attempt, unless it has finished.
pub(crate) struct InFlightAttempt {
    pub(super) connection: Rc<Connection>,
    /// The sub-request's id on the wire.
    pub(super) id: String,
    pub(super) number: AttemptNumber,
    pub(super) sent: Instant,
}

impl InFlightAttempt {
    /// Marks the connection as unresponsive if no complete frame was read since the attempt was sent.
    pub(crate) fn on_timeout(&self) {
        self.connection.mark_unresponsive_since(self.sent);
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        let connection = &self.connection;
        let mut attempts = connection.attempts.borrow_mut();
        if attempts
            .get(&self.id)
            .is_none_or(|pending| pending.number != self.number)
        {
            return;
        }
        attempts.remove(&self.id);
        connection.record_finished(&self.id);
        let mut outgoing = connection.outgoing.borrow_mut();
        // If its frame contains nothing else and no byte of it is written, the frame is dropped and the replica is not
        // sent a cancellation.
        let is_alone = |frame: &OutgoingFrame| frame.is_only_for(self.number);
        match outgoing.iter().position(is_alone) {
            Some(unwritten) => drop(outgoing.remove(unwritten)),
            None if !connection.sends_cancellations => {}
            None => outgoing.push_back(OutgoingFrame {
                bytes: frame::encode_cancel(&self.id),
                contents: FrameContents::Cancellation,
            }),
        }
        connection.wake.notify_one();
    }
}
