//! One client's session: its calls with their outcomes, and its flow control.

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;

use super::ServerConfig;
use super::receive_window::ReceiveWindow;
use crate::frame::{CallOutcome, Credit, Welcome};
use crate::id::{CallNumber, ConnectionId};

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

/// Whether a session has a connection.
#[derive(Clone, Copy)]
enum Attachment {
    Connected(ConnectionId),
    /// It began, or lost its connection, at this moment.
    Detached {
        since: TenthMillis,
    },
}

/// A session, whatever connection it has at the moment.
pub(super) struct Session {
    /// Chosen at random as the session began, so that a dropped session is not taken for a later one of its id.
    pub(super) epoch: u64,
    /// The number of the newest hello.
    pub(super) hello_attempt: u64,
    attachment: Attachment,
    calls: BTreeMap<CallNumber, RetainedCall>,
    window: ReceiveWindow,
}

impl Session {
    pub(super) fn new(epoch: u64, now: TenthMillis) -> Session {
        Session {
            epoch,
            hello_attempt: 0,
            attachment: Attachment::Detached { since: now },
            calls: BTreeMap::new(),
            window: ReceiveWindow::default(),
        }
    }

    /// The connection that it has.
    pub(super) fn connection(&self) -> Option<ConnectionId> {
        match self.attachment {
            Attachment::Connected(connection) => Some(connection),
            Attachment::Detached { .. } => None,
        }
    }

    /// When it is to be dropped, if it stays without a connection.
    pub(super) fn deadline(&self, session_timeout: TenthMillis) -> Option<TenthMillis> {
        match self.attachment {
            Attachment::Connected(_) => None,
            Attachment::Detached { since } => Some(since + session_timeout),
        }
    }

    /// Goes on on another connection; returns the older one.
    pub(super) fn attach(
        &mut self,
        connection: ConnectionId,
        hello_attempt: u64,
    ) -> Option<ConnectionId> {
        let older = self.connection();
        self.attachment = Attachment::Connected(connection);
        self.hello_attempt = hello_attempt;
        self.window.on_connected();
        older
    }

    /// A connection has ended; it may be an older one than the session has.
    pub(super) fn detach(&mut self, connection: ConnectionId, now: TenthMillis) {
        if self.connection() == Some(connection) {
            self.attachment = Attachment::Detached { since: now };
        }
    }

    /// What the welcome to a new connection says of the session, without the proof.
    pub(super) fn welcome(&self, resumed: bool) -> Welcome {
        Welcome {
            epoch: self.epoch,
            resumed,
            last_call: self.window.last_call(),
            received_bytes: self.window.received_bytes(),
            proof: [0; 32],
        }
    }

    /// Calls that run or whose outcome is retained.
    pub(super) fn retained_calls(&self) -> usize {
        self.calls.len()
    }

    /// The outcomes that the client has not acknowledged.
    pub(super) fn unacknowledged(&self) -> impl Iterator<Item = CallOutcome> {
        self.calls.values().filter_map(|call| match &call.state {
            CallState::Completed(outcome) => Some(outcome.clone()),
            CallState::Running => None,
        })
    }

    /// Whether a call was received before, retained or not.
    pub(super) fn has_received(&self, number: CallNumber) -> bool {
        number <= self.window.last_call()
    }

    /// Whether a call is the next one by number and within the window.
    pub(super) fn admits(&self, number: CallNumber, bytes: u64, config: &ServerConfig) -> bool {
        let retained_calls = self.calls.len() as u64;
        self.window.admits(number, bytes, retained_calls, config)
    }

    /// Records a call that runs from now on.
    pub(super) fn start(&mut self, number: CallNumber, bytes: u64) {
        self.window.receive(number, bytes);
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
        self.window.release(call.bytes);
        true
    }

    /// The credit to send, if enough of the window has become free since it was last sent.
    pub(super) fn credit_update(&mut self, config: &ServerConfig) -> Option<Credit> {
        let retained_calls = self.calls.len() as u64;
        self.window.credit_update(retained_calls, config)
    }
}
