//! Calls and their outcomes.

use linenthread_core::interface::{AttemptOutcome, TenthMillis};

use super::call_table::{NextCall, QueuedCall, RemovedCall};
use super::{ClientAction, LinkClient};
use crate::frame::{Call, CallOutcome, Frame};
use crate::id::{CallId, CallNumber};

impl LinkClient {
    /// Starts a call that must complete by `deadline`, and returns its id. While credit is short, queued calls with a
    /// higher `priority` (in any unit) are sent first.
    ///
    /// The call may complete at once, in which case its completion is already among `actions`.
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

    /// Withdraws a call: its completion is not reported any more.
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

    /// Records that a call's frame has been written completely; from then on the call may run.
    pub fn on_call_written(&mut self, number: CallNumber) {
        self.calls.on_written(number);
    }

    /// Handles the outcome of a call, and acknowledges it even if the call is no longer pending.
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

    /// Sends queued calls in order as far as the credit allows; a call that would arrive after its deadline fails.
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

    /// Fails queued calls whose queue deadline has passed.
    pub(super) fn fail_expired(&mut self, now: TenthMillis, actions: &mut Vec<ClientAction>) {
        for id in self.calls.expired(now) {
            self.fail(id, AttemptOutcome::NotSent, actions);
        }
    }

    /// Fails calls that were not written completely when the connection was lost: they never ran. Whether the others
    /// ran is unknown until the session resumes or ends.
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

    /// Completes a call if it is pending. All completions of pending calls go through here.
    fn complete(&mut self, id: CallId, completed: ClientAction, actions: &mut Vec<ClientAction>) {
        if self.calls.remove(id).is_some() {
            actions.push(completed);
        }
    }
}

/// Builds the completion of a call without a response.
fn failed(id: CallId, outcome: AttemptOutcome) -> ClientAction {
    ClientAction::CallCompleted {
        id,
        outcome,
        queue_depth: None,
        value: String::new(),
    }
}
