//! The session, which is resumed on the next connection or ends.

use std::collections::BTreeSet;

use linenthread_core::interface::{AttemptOutcome, TenthMillis};

use super::connection::Connection;
use super::{ClientAction, ClientCloseReason, LinkClient};
use crate::frame::{Frame, Welcome};
use crate::id::{CallNumber, SessionId};

/// The epoch of a session that the server does not know yet; servers never choose it.
const NO_EPOCH: u64 = 0;

/// The session with the server; its calls are in the call table.
pub(super) struct Session {
    pub(super) id: SessionId,
    /// The session's epoch, chosen by the server; [`NO_EPOCH`] before the first welcome.
    pub(super) epoch: u64,
    /// When the session lost its connection; `None` while it has one or is not known to the server.
    lost_at: Option<TenthMillis>,
    /// Calls withdrawn while there was no connection to notify the server.
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

    /// Returns when the session ends if it remains without a connection.
    pub(super) fn deadline(&self, session_timeout: TenthMillis) -> Option<TenthMillis> {
        self.lost_at.map(|lost_at| lost_at + session_timeout)
    }

    /// Handles the end of the connection. Failed attempts to reconnect do not extend the session.
    pub(super) fn on_disconnected(&mut self, now: TenthMillis) {
        if self.epoch != NO_EPOCH {
            self.lost_at.get_or_insert(now);
        }
    }

    /// Handles a welcome: the session is connected, and the server knows it by this epoch.
    pub(super) fn on_welcome(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.lost_at = None;
    }

    /// Records a withdrawal that the server is notified of on the next connection. With `max_pending` recorded, further
    /// ones are dropped: the server then retains the call's outcome until it is acknowledged.
    pub(super) fn add_withdrawal(&mut self, number: CallNumber, max_pending: usize) {
        if self.pending_withdrawals.len() < max_pending {
            self.pending_withdrawals.insert(number);
        }
    }
}

impl LinkClient {
    /// Reports whether the server has resumed this client's session.
    pub(super) fn is_resumed_by(&self, welcome: &Welcome) -> bool {
        welcome.resumed
            && welcome.epoch == self.session.epoch
            && welcome.last_call <= self.calls.last_sent()
    }

    /// Resumes the session: fails sent calls that the server did not receive, and sends the pending withdrawals.
    pub(super) fn resume_session(&mut self, welcome: &Welcome, actions: &mut Vec<ClientAction>) {
        // The server has closed the old connection, so it will never receive these calls.
        for id in self.calls.not_received(welcome.last_call) {
            self.fail(id, AttemptOutcome::NotSent, actions);
        }
        self.calls.resume(welcome.last_call, welcome.received_bytes);
        let received = std::mem::take(&mut self.session.pending_withdrawals)
            .into_iter()
            .filter(|number| *number <= welcome.last_call);
        actions.extend(received.map(|number| ClientAction::Send(Frame::Withdraw { number })));
    }

    /// Ends the session. Sent calls fail; those that were written completely may have run. Queued calls stay for the
    /// next session.
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

    /// Ends the session after the session time-out. The next one has another id, so that no outcome of this one can
    /// arrive any more.
    pub(super) fn expire_session(&mut self, now: TenthMillis, actions: &mut Vec<ClientAction>) {
        if matches!(self.connection, Connection::Handshaking { .. }) {
            // The hello may already have named the session.
            self.close(now, ClientCloseReason::SessionExpired, actions);
        }
        self.end_session(actions);
        self.session = Session::new(SessionId(self.rng.rand_u64()));
    }
}
