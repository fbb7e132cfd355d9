//! What becomes of attempts and probes in flight: a message of the replica ends one, the end of the connection all.

use linenthread_core::interface::AttemptOutcome;
use linenthread_protocol::frame::ReplicaMessage;
use linenthread_protocol::hash_id;

use super::error::{FrameRejectedSnafu, PrematureResponseSnafu, UnknownResponseSnafu};
use super::frame_writer::{FrameContents, OutgoingFrame, SentAttempt};
use super::{Connection, ConnectionEnd, ConnectionError};
use crate::transports::attempt::{FinishedAttempt, ProbeReport};

impl Connection {
    /// The last byte of a frame is written: what it requests may run from now on.
    pub(super) fn on_written(&self, frame: &OutgoingFrame) {
        match &frame.contents {
            FrameContents::Requests(sent) => {
                let mut attempts = self.attempts.borrow_mut();
                for SentAttempt { id, number } in sent {
                    let pending = attempts.get_mut(id);
                    if let Some(pending) = pending.filter(|pending| pending.number == *number) {
                        pending.is_written = true;
                    }
                }
            }
            FrameContents::Probe => {
                let mut probes = self.probes.borrow_mut();
                if let Some(probe) = probes.iter_mut().find(|probe| !probe.is_written) {
                    probe.is_written = true;
                }
            }
            FrameContents::Cancellation => {}
        }
    }

    /// Ends what the message answers.
    ///
    /// # Errors
    ///
    /// The replica answers what was not requested, or says that it could not use a frame.
    pub(super) fn on_message(&self, message: ReplicaMessage) -> Result<(), ConnectionError> {
        match message {
            ReplicaMessage::Response {
                id,
                outcome,
                queue_depth,
                value,
            } => self.on_response(&id, outcome, queue_depth, value),
            ReplicaMessage::ProbeResponse {
                outcome,
                queue_depth,
            } => {
                // One that was not requested, or not yet, is ignored.
                let mut probes = self.probes.borrow_mut();
                if let Some(probe) = probes.pop_front_if(|probe| probe.is_written) {
                    let report = ProbeReport {
                        outcome,
                        queue_depth,
                    };
                    probe.report.send(report).ok();
                }
                Ok(())
            }
            ReplicaMessage::ProtocolError(message) => FrameRejectedSnafu { message }.fail(),
        }
    }

    fn on_response(
        &self,
        id: &str,
        outcome: AttemptOutcome,
        queue_depth: Option<f64>,
        value: String,
    ) -> Result<(), ConnectionError> {
        if self
            .attempts
            .borrow()
            .get(id)
            .is_some_and(|pending| !pending.is_written)
        {
            return PrematureResponseSnafu.fail();
        }
        let pending = self.attempts.borrow_mut().remove(id);
        if let Some(pending) = pending {
            self.remember_finished(id);
            let finished = FinishedAttempt {
                key: pending.key,
                outcome,
                queue_depth,
                value,
            };
            pending.finished.send(finished).ok();
        } else if !self.finished_ids.borrow().contains(&hash_id(id)) {
            return UnknownResponseSnafu.fail();
        }
        // A late or duplicate response to what was cancelled or completed before is dropped.
        Ok(())
    }

    /// Ends all that is in flight, as the connection is gone.
    pub(in crate::transports) fn end_all(&self, end: ConnectionEnd) {
        // The loss of an established connection says nothing against its replica.
        let unwritten = match end {
            ConnectionEnd::Lost if !self.is_established.get() => AttemptOutcome::ConnectFailed,
            ConnectionEnd::Lost | ConnectionEnd::ProtocolViolated => AttemptOutcome::NotSent,
        };
        let written = match end {
            ConnectionEnd::Lost => AttemptOutcome::ConnectionLost,
            ConnectionEnd::ProtocolViolated => AttemptOutcome::Error,
        };
        let outcome = |is_written: bool| if is_written { written } else { unwritten };
        for pending in std::mem::take(&mut *self.attempts.borrow_mut()).into_values() {
            let finished = FinishedAttempt::without_value(pending.key, outcome(pending.is_written));
            pending.finished.send(finished).ok();
        }
        for probe in self.probes.borrow_mut().drain(..) {
            let report = ProbeReport::without_load(outcome(probe.is_written));
            probe.report.send(report).ok();
        }
        self.outgoing.borrow_mut().clear();
    }
}
