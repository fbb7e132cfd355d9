//! Calls, their outcomes, and the credit that they use.

use linenthread_core::interface::AttemptOutcome;

use super::{LinkServer, ServerAction, ServerCloseReason};
use crate::frame::{CallOutcome, CallRequest, Frame};
use crate::id::{CallNumber, SessionId};
use crate::time::from_wire_millis;

impl LinkServer {
    /// Handles the end of a call that was started by [`ServerAction::StartCall`]: retains its outcome and sends it if
    /// the session is connected.
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

    /// Starts a call if it is the session's next. `Err` has the reason for which the connection is to be refused.
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
        // *runs once*: a call that was received before is not started again.
        if session.has_received(number) {
            return Ok(());
        }
        let bytes = call.credit_bytes();
        if !session.admits(number, bytes, &self.config) {
            return Err(ServerCloseReason::UnexpectedCall);
        }
        session.start(number, bytes);
        if self.draining {
            // The client sent it before it received the goodbye.
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

    /// Drops a call whose outcome the client no longer needs; if it is running, it is cancelled.
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

    /// Drops an outcome that the client has received. A number whose call is still running is ignored: its outcome was
    /// not sent yet.
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

    /// Drops a call and returns its credit.
    fn release(&mut self, id: SessionId, number: CallNumber, actions: &mut Vec<ServerAction>) {
        let session = self.sessions.get_mut(&id);
        if session.is_some_and(|session| session.release(number)) {
            self.send_credit(id, actions);
        }
    }

    /// Sends a credit update if the session is connected and enough of the window has become free.
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

/// Builds the outcome of a call that was not started.
fn rejected(number: CallNumber) -> CallOutcome {
    CallOutcome {
        number,
        outcome: AttemptOutcome::Rejected,
        queue_depth: None,
        value: String::new(),
    }
}
