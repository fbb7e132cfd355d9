//! What becomes of attempts and probes in flight: a message of the replica ends one, the end of the connection all.

use linenthread_core::interface::AttemptOutcome;
use linenthread_protocol::frame::ReplicaMessage;
use linenthread_protocol::hash_id;

use super::error::{FrameRejectedSnafu, PrematureResponseSnafu, UnknownResponseSnafu};
use super::frame_writer::{FrameContents, OutgoingFrame, SentAttempt};
use super::{Connection, ConnectionEnd, ConnectionError, PendingProbe, WriteProgress};
use crate::transports::attempt::ProbeReport;

impl Connection {
    /// The last byte of a frame is written: what it requests may run from now on.
    pub(super) fn on_written(&self, frame: &OutgoingFrame) {
        match &frame.contents {
            FrameContents::Requests(sent) => {
                let mut attempts = self.attempts.borrow_mut();
                for SentAttempt { id, number } in sent {
                    let pending = attempts.get_mut(id);
                    if let Some(pending) = pending.filter(|pending| pending.number == *number) {
                        pending.progress = WriteProgress::Complete;
                    }
                }
            }
            FrameContents::Probe => {
                let mut probes = self.probes.borrow_mut();
                let is_incomplete =
                    |probe: &&mut PendingProbe| probe.progress == WriteProgress::Incomplete;
                if let Some(probe) = probes.iter_mut().find(is_incomplete) {
                    probe.progress = WriteProgress::Complete;
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
                let is_complete =
                    |probe: &mut PendingProbe| probe.progress == WriteProgress::Complete;
                if let Some(probe) = probes.pop_front_if(is_complete) {
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
            .is_some_and(|pending| pending.progress == WriteProgress::Incomplete)
        {
            return PrematureResponseSnafu.fail();
        }
        let pending = self.attempts.borrow_mut().remove(id);
        if let Some(pending) = pending {
            self.remember_finished(id);
            pending.reporter.report(outcome, queue_depth, value);
        } else if !self.finished_ids.borrow().contains(&hash_id(id)) {
            return UnknownResponseSnafu.fail();
        }
        // A late or duplicate response to what was cancelled or completed before is dropped.
        Ok(())
    }

    /// Ends all that is in flight, as the connection is gone.
    pub(in crate::transports) fn end_all(&self, end: ConnectionEnd) {
        let outcome = |progress: WriteProgress| self.outcome_at_end(progress, end);
        for pending in std::mem::take(&mut *self.attempts.borrow_mut()).into_values() {
            let outcome = outcome(pending.progress);
            pending.reporter.report_without_response(outcome);
        }
        for probe in self.probes.borrow_mut().drain(..) {
            let report = ProbeReport::without_load(outcome(probe.progress));
            probe.report.send(report).ok();
        }
        self.outgoing.borrow_mut().clear();
    }

    /// The outcome of what was in flight when the connection ended.
    fn outcome_at_end(&self, progress: WriteProgress, end: ConnectionEnd) -> AttemptOutcome {
        match (progress, end) {
            // The replica may have run it or not.
            (WriteProgress::Complete, ConnectionEnd::Lost) => AttemptOutcome::ConnectionLost,
            // The replica runs, and has received it.
            (WriteProgress::Complete, ConnectionEnd::ProtocolViolated) => AttemptOutcome::Error,
            // The replica has never sent a frame on this connection: it may be down.
            (WriteProgress::Incomplete, ConnectionEnd::Lost) if !self.is_established.get() => {
                AttemptOutcome::ConnectFailed
            }
            // The replica has responded on this connection, rightly or not: the loss says nothing against it.
            (WriteProgress::Incomplete, ConnectionEnd::Lost | ConnectionEnd::ProtocolViolated) => {
                AttemptOutcome::NotSent
            }
        }
    }
}
