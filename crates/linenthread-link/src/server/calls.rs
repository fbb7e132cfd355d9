//! Calls and their outcomes, and the credit that they use.

use linenthread_core::interface::AttemptOutcome;

use super::{LinkServer, ServerAction, ServerCloseReason};
use crate::frame::{CallOutcome, CallRequest, Frame};
use crate::id::{CallNumber, SessionId};
use crate::time::from_wire_millis;

impl LinkServer {
    /// A call that was started by [`ServerAction::StartCall`] has ended.
    pub fn on_call_completed(
        &mut self,
        id: SessionId,
        outcome: CallOutcome,
        actions: &mut Vec<ServerAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if !session.complete(&outcome) {
            return;
        }
        if let Some(connection) = session.connection() {
            let frame = Frame::Outcome(outcome);
            actions.push(ServerAction::Send { connection, frame });
        }
    }

    /// Starts a call that is the session's next. A reason in `Err` is why the connection is refused.
    pub(super) fn on_call(
        &mut self,
        id: SessionId,
        request: CallRequest,
        actions: &mut Vec<ServerAction>,
    ) -> Result<(), ServerCloseReason> {
        let CallRequest {
            number,
            remaining_ms,
            call,
        } = request;
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(());
        };
        // Runs once: a call that was received before is not started again.
        if session.has_received(number) {
            return Ok(());
        }
        let bytes = call.credit_bytes();
        if !session.admits(number, bytes, &self.config) {
            return Err(ServerCloseReason::UnexpectedCall);
        }
        session.start(number, bytes);
        if self.draining {
            // The client has sent it before it received the goodbye.
            self.on_call_completed(id, rejected(number), actions);
        } else {
            actions.push(ServerAction::StartCall {
                session: id,
                number,
                timeout: from_wire_millis(remaining_ms),
                call,
            });
        }
        Ok(())
    }

    /// The client does not want the outcome any more.
    pub(super) fn on_withdraw(
        &mut self,
        id: SessionId,
        number: CallNumber,
        actions: &mut Vec<ServerAction>,
    ) {
        let session = self.sessions.get(&id);
        if session.is_some_and(|session| session.is_running(number)) {
            actions.push(ServerAction::CancelCall {
                session: id,
                number,
            });
        }
        self.release(id, number, actions);
    }

    /// The client has the outcome. A number whose call still runs is ignored: its outcome was not sent yet.
    pub(super) fn on_ack(
        &mut self,
        id: SessionId,
        number: CallNumber,
        actions: &mut Vec<ServerAction>,
    ) {
        let session = self.sessions.get(&id);
        if session.is_some_and(|session| session.is_completed(number)) {
            self.release(id, number, actions);
        }
    }

    /// Drops a call, and gives its credit back.
    fn release(&mut self, id: SessionId, number: CallNumber, actions: &mut Vec<ServerAction>) {
        let session = self.sessions.get_mut(&id);
        if session.is_some_and(|session| session.release(number)) {
            self.send_credit(id, actions);
        }
    }

    /// Sends the credit to the session's connection, if it has one and there is enough that is new.
    pub(super) fn send_credit(&mut self, id: SessionId, actions: &mut Vec<ServerAction>) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(connection) = session.connection() else {
            return;
        };
        if let Some(credit) = session.credit_update(&self.config) {
            let frame = Frame::Credit(credit);
            actions.push(ServerAction::Send { connection, frame });
        }
    }
}

/// The outcome of a call that was not started.
fn rejected(number: CallNumber) -> CallOutcome {
    CallOutcome {
        number,
        outcome: AttemptOutcome::Rejected,
        queue_depth: None,
        value: String::new(),
    }
}
