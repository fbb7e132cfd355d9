//! Calls and their outcomes.

use linenthread_core::interface::{AttemptOutcome, TenthMillis};

use super::call_table::{NextCall, QueuedCall, RemovedCall};
use super::{ClientAction, LinkClient};
use crate::frame::{Call, CallOutcome, Frame};
use crate::id::{CallId, CallNumber};

impl LinkClient {
    /// Starts a call that must complete by `deadline`, and returns its id. Where credit is short, calls of a
    /// higher `priority` (in any unit) are sent first.
    ///
    /// The call may complete at once, by an action that is returned together with the id.
    pub fn call(
        &mut self,
        now: TenthMillis,
        call: Call,
        deadline: TenthMillis,
        priority: u32,
        actions: &mut Vec<ClientAction>,
    ) -> CallId {
        let id = CallId(self.next_id());
        let is_full = self.calls.len() >= self.config.max_in_flight
            || self.calls.queued_bytes() + call.credit_bytes() > self.config.max_queued_bytes;
        if is_full || !self.is_usable() {
            actions.push(failed(id, AttemptOutcome::NotSent));
            return id;
        }
        let queued = QueuedCall {
            call,
            priority,
            deadline,
            queue_deadline: deadline.min(now + self.config.grace_period),
        };
        self.calls.enqueue(id, queued);
        self.send_queued(now, actions);
        id
    }

    /// Gives a call up: it does not complete any more.
    pub fn withdraw(&mut self, id: CallId, actions: &mut Vec<ClientAction>) {
        let Some(RemovedCall::Sent(number)) = self.calls.remove(id) else {
            return;
        };
        if self.is_established() {
            actions.push(ClientAction::Send(Frame::Withdraw { number }));
        } else {
            self.session
                .add_withdrawal(number, self.config.max_in_flight);
        }
    }

    /// The last byte of a call's frame has been written.
    pub fn on_call_written(&mut self, number: CallNumber) {
        self.calls.on_written(number);
    }

    /// Takes in the outcome of a call, and acknowledges it even if the call is not pending any more.
    pub(super) fn on_outcome(&mut self, outcome: CallOutcome, actions: &mut Vec<ClientAction>) {
        let CallOutcome {
            number,
            outcome,
            queue_depth,
            value,
        } = outcome;
        actions.push(ClientAction::Send(Frame::Ack {
            numbers: vec![number],
        }));
        self.backoff.reset();
        if let Some(id) = self.calls.by_number(number) {
            let completed = ClientAction::CallCompleted {
                id,
                outcome,
                queue_depth,
                value,
            };
            self.complete(id, completed, actions);
        }
    }

    /// Sends what credit allows, in the queue's order; a call that would arrive too late is not sent.
    pub(super) fn send_queued(&mut self, now: TenthMillis, actions: &mut Vec<ClientAction>) {
        while self.is_ready() {
            match self.calls.next_to_send(now, self.heartbeat.one_way()) {
                Some(NextCall::Send(request)) => {
                    actions.push(ClientAction::Send(Frame::Call(request)));
                }
                Some(NextCall::Expired(id)) => self.fail(id, AttemptOutcome::NotSent, actions),
                None => return,
            }
        }
    }

    /// Fails queued calls that have waited for too long.
    pub(super) fn fail_expired(&mut self, now: TenthMillis, actions: &mut Vec<ClientAction>) {
        for id in self.calls.expired(now) {
            self.fail(id, AttemptOutcome::NotSent, actions);
        }
    }

    /// The connection is gone: calls that were not written completely never ran. The others are unknown until the
    /// session resumes or ends.
    pub(super) fn fail_incompletely_written(&mut self, actions: &mut Vec<ClientAction>) {
        for id in self.calls.incompletely_written() {
            self.fail(id, AttemptOutcome::NotSent, actions);
        }
    }

    pub(super) fn fail(
        &mut self,
        id: CallId,
        outcome: AttemptOutcome,
        actions: &mut Vec<ClientAction>,
    ) {
        self.complete(id, failed(id, outcome), actions);
    }

    /// The one place where a pending call completes.
    fn complete(&mut self, id: CallId, completed: ClientAction, actions: &mut Vec<ClientAction>) {
        if self.calls.remove(id).is_some() {
            actions.push(completed);
        }
    }
}

/// A call that has completed without a response.
fn failed(id: CallId, outcome: AttemptOutcome) -> ClientAction {
    ClientAction::CallCompleted {
        id,
        outcome,
        queue_depth: None,
        value: String::new(),
    }
}
