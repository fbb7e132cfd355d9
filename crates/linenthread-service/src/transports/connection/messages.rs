//! Ends attempts and probes in flight: a message from the replica ends one, the end of the connection ends all.

use linenthread_core::interface::AttemptOutcome;
use linenthread_protocol::frame::ReplicaMessage;
use linenthread_protocol::hash_id;

use super::error::{FrameRejectedSnafu, PrematureResponseSnafu, UnknownResponseSnafu};
use super::frame_writer::{FrameContents, OutgoingFrame, SentAttempt};
use super::{Connection, ConnectionEnd, ConnectionError, PendingProbe, WriteProgress};
use crate::transports::attempt::ProbeReport;

impl Connection {
    /// Records that a frame is written completely. From now on, the requests in it may run.
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

    /// Ends the attempt or probe that the message answers.
    ///
    /// # Errors
    ///
    /// Fails if the replica responds to a sub-request that it was not sent, or reports that it rejected a frame.
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
                // A response to a probe that was not sent, or not completely yet, is ignored.
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
            self.record_finished(id);
            pending.reporter.report(outcome, queue_depth, value);
        } else if !self.finished_ids.borrow().contains(&hash_id(id)) {
            return UnknownResponseSnafu.fail();
        }
        // A late or duplicate response to a sub-request that was cancelled or completed before is ignored.
        Ok(())
    }

    /// Ends all attempts and probes in flight, after the connection has ended.
    pub(in crate::transports) fn end_all(&self, end: ConnectionEnd) {
        let outcome = |progress: WriteProgress| self.outcome_at_end(progress, end);
        for pending in std::mem::take(&mut *self.attempts.borrow_mut()).into_values() {
            let outcome = outcome(pending.progress);
            pending.reporter.report_without_response(outcome);
        }
        for probe in self.probes.borrow_mut().drain(..) {
            let report = ProbeReport::without_queue_depth(outcome(probe.progress));
            probe.report.send(report).ok();
        }
        self.outgoing.borrow_mut().clear();
    }

    /// Returns the outcome of an attempt or a probe that was in flight when the connection ended.
    fn outcome_at_end(&self, progress: WriteProgress, end: ConnectionEnd) -> AttemptOutcome {
        match (progress, end) {
            // The replica may or may not have run it.
            (WriteProgress::Complete, ConnectionEnd::Lost) => AttemptOutcome::ConnectionLost,
            // The replica is running and has received it.
            (WriteProgress::Complete, ConnectionEnd::ProtocolViolated) => AttemptOutcome::Error,
            // The replica has never sent a frame on this connection: it may be down.
            (WriteProgress::Incomplete, ConnectionEnd::Lost) if !self.is_established.get() => {
                AttemptOutcome::ConnectFailed
            }
            // The replica has sent data on this connection, valid or not: the loss is no sign that it is down.
            (WriteProgress::Incomplete, ConnectionEnd::Lost | ConnectionEnd::ProtocolViolated) => {
                AttemptOutcome::NotSent
            }
        }
    }
}
