//! The session, which outlives connections: it resumes on the next one, or ends.

use std::collections::BTreeSet;

use linenthread_core::interface::{AttemptOutcome, TenthMillis};

use super::connection::Connection;
use super::{ClientAction, ClientCloseReason, LinkClient};
use crate::frame::{Frame, Welcome};
use crate::id::{CallNumber, SessionId};

/// The epoch of a session that the server does not know yet.
const NO_EPOCH: u64 = 0;

/// The session with the server; its calls are in the call table.
pub(super) struct Session {
    pub(super) id: SessionId,
    /// The session's epoch at the server, once it is known.
    pub(super) epoch: u64,
    /// When the session lost its connection; `None` while it has one, or is not known to the server.
    lost_at: Option<TenthMillis>,
    /// Calls withdrawn while the server could not be notified.
    pending_withdrawals: BTreeSet<CallNumber>,
}

impl Session {
    pub(super) fn new(id: SessionId) -> Session {
        Session {
            id,
            epoch: NO_EPOCH,
            lost_at: None,
            pending_withdrawals: BTreeSet::new(),
        }
    }

    /// When the session ends, if it stays without a connection.
    pub(super) fn deadline(&self, session_timeout: TenthMillis) -> Option<TenthMillis> {
        self.lost_at.map(|lost_at| lost_at + session_timeout)
    }

    /// The connection has ended. A further attempt that fails does not extend the session.
    pub(super) fn on_disconnected(&mut self, now: TenthMillis) {
        if self.epoch != NO_EPOCH {
            self.lost_at.get_or_insert(now);
        }
    }

    /// The server knows the session under this epoch, and it has a connection.
    pub(super) fn on_welcome(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.lost_at = None;
    }

    /// Remembers a withdrawal of which the server is to be notified on the next connection. Beyond the bound it
    /// is forgotten: then the server retains the call's outcome until it is acknowledged.
    pub(super) fn add_withdrawal(&mut self, number: CallNumber, max_pending: usize) {
        if self.pending_withdrawals.len() < max_pending {
            self.pending_withdrawals.insert(number);
        }
    }
}

impl LinkClient {
    /// Whether the server goes on with the session that this client knows.
    pub(super) fn is_resumed_by(&self, welcome: &Welcome) -> bool {
        welcome.resumed
            && welcome.epoch == self.session.epoch
            && welcome.last_call <= self.calls.last_sent()
    }

    /// The server goes on with the session; each sent call is known to have arrived or not.
    pub(super) fn resume_session(&mut self, welcome: &Welcome, actions: &mut Vec<ClientAction>) {
        // What the server has not received by now it never will: the old connection is closed there.
        for id in self.calls.not_received(welcome.last_call) {
            self.fail(id, AttemptOutcome::NotSent, actions);
        }
        self.calls.resume(welcome.last_call, welcome.received_bytes);
        let received = std::mem::take(&mut self.session.pending_withdrawals)
            .into_iter()
            .filter(|number| *number <= welcome.last_call);
        actions.extend(received.map(|number| ClientAction::Send(Frame::Withdraw { number })));
    }

    /// Drops the session's state; calls that were written completely may have run. Queued calls were not sent,
    /// and go with the next session.
    pub(super) fn end_session(&mut self, actions: &mut Vec<ClientAction>) {
        for unresolved in self.calls.unresolved() {
            let outcome = if unresolved.may_have_run {
                AttemptOutcome::ConnectionLost
            } else {
                AttemptOutcome::NotSent
            };
            self.fail(unresolved.id, outcome, actions);
        }
        self.calls.begin_session();
        self.session = Session::new(self.session.id);
    }

    /// The session has been without a connection for too long: the next one has another id, so that no outcome of
    /// this one can arrive any more.
    pub(super) fn expire_session(&mut self, now: TenthMillis, actions: &mut Vec<ClientAction>) {
        if matches!(self.connection, Connection::Handshaking { .. }) {
            // The hello may already name the session.
            self.close(now, ClientCloseReason::SessionExpired, actions);
        }
        self.end_session(actions);
        self.session = Session::new(SessionId(self.rng.rand_u64()));
    }
}
