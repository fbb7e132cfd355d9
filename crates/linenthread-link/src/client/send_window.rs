//! Flow control: what the server has allowed of the session, and what was sent of it.

use crate::frame::Credit;
use crate::id::CallNumber;

/// The client's side of the flow control. All counts begin with the session, as do those of [`Credit`].
#[derive(Default)]
pub(super) struct SendWindow {
    last_sent: CallNumber,
    /// Bytes of all calls sent.
    sent_bytes: u64,
    credit: Credit,
}

impl SendWindow {
    /// The last call sent in the session.
    pub(super) fn last_sent(&self) -> CallNumber {
        self.last_sent
    }

    /// How many calls the credit allows beyond those that were sent.
    pub(super) fn remaining_calls(&self) -> u64 {
        self.credit.last_call.0.saturating_sub(self.last_sent.0)
    }

    /// Raises the credit; one that arrives late does not lower it.
    pub(super) fn raise(&mut self, credit: Credit) {
        self.credit.last_call = self.credit.last_call.max(credit.last_call);
        self.credit.bytes = self.credit.bytes.max(credit.bytes);
    }

    /// Whether a call of so many bytes may be sent.
    pub(super) fn admits(&self, bytes: u64) -> bool {
        self.last_sent < self.credit.last_call && self.sent_bytes + bytes <= self.credit.bytes
    }

    /// Counts a call of so many bytes as sent; returns its number.
    pub(super) fn send(&mut self, bytes: u64) -> CallNumber {
        self.last_sent = self.last_sent.next();
        self.sent_bytes += bytes;
        self.last_sent
    }

    /// Goes on at the server's counts. What it has not received is not counted, and its numbers are used again.
    pub(super) fn resume(&mut self, last_received: CallNumber, received_bytes: u64) {
        self.last_sent = last_received;
        self.sent_bytes = received_bytes;
    }
}
