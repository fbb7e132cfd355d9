//! One client's session: its calls with their outcomes, and its flow control.

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;

use super::ServerConfig;
use crate::frame::{CallOutcome, Credit, Frame};
use crate::id::{CallNumber, ConnectionId};

/// Credit is sent again once so much of the window has become free: a quarter.
const CREDIT_UPDATE_DIVISOR: u64 = 4;

/// How far a call has come.
enum CallState {
    Running,
    /// Its outcome is retained until the client acknowledges it.
    Completed(CallOutcome),
}

/// A call whose outcome the client does not have.
struct RetainedCall {
    state: CallState,
    /// What it counts against the credit.
    bytes: u64,
}

/// A session, whatever connection it has at the moment.
pub(super) struct Session {
    /// Chosen at random as the session began, so that a dropped session is not taken for a later one of its id.
    pub(super) epoch: u64,
    /// The number of the newest hello.
    pub(super) hello_attempt: u64,
    pub(super) connection: Option<ConnectionId>,
    /// When it began, or lost its connection.
    pub(super) idle_since: TenthMillis,
    /// The last call that was received.
    pub(super) last_call: CallNumber,
    /// Bytes of all calls that were received.
    pub(super) received_bytes: u64,
    /// Bytes of all calls that were released.
    released_bytes: u64,
    calls: BTreeMap<CallNumber, RetainedCall>,
    /// The credit that was last sent on the present connection.
    sent_credit: Credit,
}

impl Session {
    pub(super) fn new(epoch: u64, now: TenthMillis) -> Session {
        Session {
            epoch,
            hello_attempt: 0,
            connection: None,
            idle_since: now,
            last_call: CallNumber::default(),
            received_bytes: 0,
            released_bytes: 0,
            calls: BTreeMap::new(),
            sent_credit: Credit::default(),
        }
    }

    /// Goes on on another connection, to which no credit has been sent; returns the older one.
    pub(super) fn attach(
        &mut self,
        connection: ConnectionId,
        hello_attempt: u64,
    ) -> Option<ConnectionId> {
        self.sent_credit = Credit::default();
        self.hello_attempt = hello_attempt;
        self.connection.replace(connection)
    }

    /// Calls that run or whose outcome is retained.
    pub(super) fn retained_calls(&self) -> usize {
        self.calls.len()
    }

    /// The outcomes that the client has not acknowledged, as frames.
    pub(super) fn unacknowledged(&self) -> Vec<Frame> {
        self.calls
            .values()
            .filter_map(|call| match &call.state {
                CallState::Completed(outcome) => Some(Frame::Outcome(outcome.clone())),
                CallState::Running => None,
            })
            .collect()
    }

    /// Whether a call is the next one by number and within the window.
    pub(super) fn admits(&self, number: CallNumber, bytes: u64, config: &ServerConfig) -> bool {
        let retained_bytes = self.received_bytes - self.released_bytes;
        number == self.last_call.next()
            && (self.calls.len() as u64) < config.window_calls
            && retained_bytes + bytes <= config.window_bytes
    }

    /// Records a call that runs from now on.
    pub(super) fn start(&mut self, number: CallNumber, bytes: u64) {
        self.last_call = number;
        self.received_bytes += bytes;
        let call = RetainedCall {
            state: CallState::Running,
            bytes,
        };
        self.calls.insert(number, call);
    }

    /// Records the outcome of a running call; false if no such call runs.
    pub(super) fn complete(&mut self, outcome: &CallOutcome) -> bool {
        let call = self.calls.get_mut(&outcome.number);
        let Some(call) = call.filter(|call| matches!(call.state, CallState::Running)) else {
            return false;
        };
        call.state = CallState::Completed(outcome.clone());
        true
    }

    pub(super) fn is_running(&self, number: CallNumber) -> bool {
        let call = self.calls.get(&number);
        call.is_some_and(|call| matches!(call.state, CallState::Running))
    }

    pub(super) fn is_completed(&self, number: CallNumber) -> bool {
        let call = self.calls.get(&number);
        call.is_some_and(|call| matches!(call.state, CallState::Completed(_)))
    }

    pub(super) fn running(&self) -> impl Iterator<Item = CallNumber> {
        self.calls
            .iter()
            .filter(|(_, call)| matches!(call.state, CallState::Running))
            .map(|(number, _)| *number)
    }

    /// The one place where a session drops a call; false if it has no such call.
    pub(super) fn release(&mut self, number: CallNumber) -> bool {
        let Some(call) = self.calls.remove(&number) else {
            return false;
        };
        self.released_bytes += call.bytes;
        true
    }

    /// The credit to send, if enough of the window has become free since it was last sent.
    pub(super) fn credit_update(&mut self, config: &ServerConfig) -> Option<Credit> {
        let free = config.window_calls.saturating_sub(self.calls.len() as u64);
        let credit = Credit {
            last_call: CallNumber(self.last_call.0 + free),
            bytes: self.released_bytes + config.window_bytes,
        };
        let sent = self.sent_credit;
        let calls_step = config.window_calls / CREDIT_UPDATE_DIVISOR;
        let bytes_step = config.window_bytes / CREDIT_UPDATE_DIVISOR;
        let is_due = sent.last_call == CallNumber::default()
            || credit.last_call.0 > sent.last_call.0 + calls_step
            || credit.bytes > sent.bytes + bytes_step;
        if !is_due {
            return None;
        }
        self.sent_credit = credit;
        Some(credit)
    }
}
