//! Flow control: what a session has received, and how much more its client may send.

use super::ServerConfig;
use crate::frame::Credit;
use crate::id::CallNumber;

/// Credit is sent again once so much of the window has become free: a quarter.
const CREDIT_UPDATE_DIVISOR: u64 = 4;

/// The server's side of the flow control. All counts begin with the session, as do those of [`Credit`].
#[derive(Default)]
pub(super) struct ReceiveWindow {
    /// The last call that was received.
    last_call: CallNumber,
    /// Bytes of all calls that were received.
    received_bytes: u64,
    /// Bytes of all calls that were released.
    released_bytes: u64,
    /// The credit that was last sent on the present connection.
    sent_credit: Credit,
}

impl ReceiveWindow {
    /// The last call that was received.
    pub(super) fn last_call(&self) -> CallNumber {
        self.last_call
    }

    /// Bytes of all calls that were received.
    pub(super) fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// A new connection, to which no credit has been sent.
    pub(super) fn on_connected(&mut self) {
        self.sent_credit = Credit::default();
    }

    /// Whether a call is the next one by number and fits the window, beside so many that are retained.
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

    /// A call of so many bytes was received.
    pub(super) fn receive(&mut self, number: CallNumber, bytes: u64) {
        self.last_call = number;
        self.received_bytes += bytes;
    }

    /// A call of so many bytes is not retained any more.
    pub(super) fn release(&mut self, bytes: u64) {
        self.released_bytes += bytes;
    }

    /// The credit to send, if enough of the window has become free since it was last sent.
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
