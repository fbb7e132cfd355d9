//! A client's session: its calls and their outcomes, and its flow control.

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;

use super::ServerConfig;
use super::receive_window::ReceiveWindow;
use crate::frame::{CallOutcome, Credit, Welcome};
use crate::id::{CallNumber, ConnectionId};

enum CallState {
    Running,
    /// Its outcome is retained until the client acknowledges it.
    Completed(CallOutcome),
}

/// A call that is running or whose outcome the client has not acknowledged.
struct RetainedCall {
    state: CallState,
    /// The bytes of the credit that the call uses.
    bytes: u64,
}

/// The connection state of a session.
#[derive(Clone, Copy)]
enum Attachment {
    Connected(ConnectionId),
    /// The session began, or lost its connection, at `since`.
    Detached {
        since: TenthMillis,
    },
}

/// A session, with or without a connection.
pub(super) struct Session {
    /// Chosen at random when the session began, to distinguish it from an earlier session with the same id.
    pub(super) epoch: u64,
    /// The attempt number of the newest hello.
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

    /// Returns the current connection, if there is one.
    pub(super) fn connection(&self) -> Option<ConnectionId> {
        match self.attachment {
            Attachment::Connected(connection) => Some(connection),
            Attachment::Detached { .. } => None,
        }
    }

    /// Returns when the session is dropped if it remains without a connection.
    pub(super) fn deadline(&self, session_timeout: TenthMillis) -> Option<TenthMillis> {
        match self.attachment {
            Attachment::Connected(_) => None,
            Attachment::Detached { since } => Some(since + session_timeout),
        }
    }

    /// Continues on another connection; returns the superseded one, if there was one.
    pub(super) fn attach(
        &mut self,
        connection: ConnectionId,
        hello_attempt: u64,
    ) -> Option<ConnectionId> {
        let superseded = self.connection();
        self.attachment = Attachment::Connected(connection);
        self.hello_attempt = hello_attempt;
        self.window.on_connected();
        superseded
    }

    /// Handles the end of a connection; ignored if the session has a newer one.
    pub(super) fn detach(&mut self, connection: ConnectionId, now: TenthMillis) {
        if self.connection() == Some(connection) {
            self.attachment = Attachment::Detached { since: now };
        }
    }

    /// Builds the welcome for a new connection, without the proof.
    pub(super) fn welcome(&self, resumed: bool) -> Welcome {
        Welcome {
            epoch: self.epoch,
            resumed,
            last_call: self.window.last_call(),
            received_bytes: self.window.received_bytes(),
            proof: [0; 32],
        }
    }

    /// Returns the number of calls that are running or whose outcome is retained.
    pub(super) fn retained_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the outcomes that the client has not acknowledged.
    pub(super) fn unacknowledged(&self) -> impl Iterator<Item = CallOutcome> {
        self.calls.values().filter_map(|call| match &call.state {
            CallState::Completed(outcome) => Some(outcome.clone()),
            CallState::Running => None,
        })
    }

    /// Reports whether a call was received before, even if it is no longer retained.
    pub(super) fn has_received(&self, number: CallNumber) -> bool {
        number <= self.window.last_call()
    }

    /// Reports whether a call has the next number and fits the window.
    pub(super) fn admits(&self, number: CallNumber, bytes: u64, config: &ServerConfig) -> bool {
        let retained_calls = self.calls.len() as u64;
        self.window.admits(number, bytes, retained_calls, config)
    }

    /// Records a call as running.
    pub(super) fn start(&mut self, number: CallNumber, bytes: u64) {
        self.window.receive(number, bytes);
        let call = RetainedCall {
            state: CallState::Running,
            bytes,
        };
        self.calls.insert(number, call);
    }

    /// Records the outcome of a running call; returns false if there is no such call.
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

    /// Drops a call; returns false if there is no such call. All removals of calls go through here.
    pub(super) fn release(&mut self, number: CallNumber) -> bool {
        let Some(call) = self.calls.remove(&number) else {
            return false;
        };
        self.window.release(call.bytes);
        true
    }

    /// Returns the credit to send, if enough of the window has become free since it was last sent.
    pub(super) fn credit_update(&mut self, config: &ServerConfig) -> Option<Credit> {
        let retained_calls = self.calls.len() as u64;
        self.window.credit_update(retained_calls, config)
    }
}
