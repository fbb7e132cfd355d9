//! Flow control: how much a session has received, and how much more its client may send.

use super::ServerConfig;
use crate::frame::Credit;
use crate::id::CallNumber;

/// A credit update is sent once more than this fraction (a quarter) of the window has become free.
const CREDIT_UPDATE_DIVISOR: u64 = 4;

/// The server's side of the flow control. All counts start with the session, as those of [`Credit`] do.
#[derive(Default)]
pub(super) struct ReceiveWindow {
    last_call: CallNumber,
    /// Total size of all received calls.
    received_bytes: u64,
    /// Total size of all released calls.
    released_bytes: u64,
    /// The credit last sent on the current connection.
    sent_credit: Credit,
}

impl ReceiveWindow {
    /// Returns the last call received.
    pub(super) fn last_call(&self) -> CallNumber {
        self.last_call
    }

    /// Returns the total size of all received calls, in bytes.
    pub(super) fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Handles a new connection, on which no credit has been sent yet.
    pub(super) fn on_connected(&mut self) {
        self.sent_credit = Credit::default();
    }

    /// Reports whether a call has the next number and fits the window in addition to the retained calls.
    pub(super) fn admits(
        &self,
        number: CallNumber,
        bytes: u64,
        retained_calls: u64,
        config: &ServerConfig,
    ) -> bool {
        let retained_bytes = self.received_bytes - self.released_bytes;
        number == self.last_call.next()
            && retained_calls < config.window_calls
            && retained_bytes + bytes <= config.window_bytes
    }

    /// Records a received call of this size.
    pub(super) fn receive(&mut self, number: CallNumber, bytes: u64) {
        self.last_call = number;
        self.received_bytes += bytes;
    }

    /// Records that a call of this size is no longer retained.
    pub(super) fn release(&mut self, bytes: u64) {
        self.released_bytes += bytes;
    }

    /// Returns the credit to send, if enough of the window has become free since it was last sent.
    pub(super) fn credit_update(
        &mut self,
        retained_calls: u64,
        config: &ServerConfig,
    ) -> Option<Credit> {
        let free = config.window_calls.saturating_sub(retained_calls);
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
