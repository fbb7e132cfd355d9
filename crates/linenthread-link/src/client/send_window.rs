//! Flow control: how much the server allows a session to send, and how much was sent.

use crate::frame::Credit;
use crate::id::CallNumber;

/// The client's side of the flow control. All counts start with the session, as those of [`Credit`] do.
#[derive(Default)]
pub(super) struct SendWindow {
    last_sent: CallNumber,
    /// Total size of all calls sent.
    sent_bytes: u64,
    credit: Credit,
}

impl SendWindow {
    /// Returns the last call sent in the session.
    pub(super) fn last_sent(&self) -> CallNumber {
        self.last_sent
    }

    /// Returns how many more calls the credit allows.
    pub(super) fn remaining_calls(&self) -> u64 {
        self.credit.last_call.0.saturating_sub(self.last_sent.0)
    }

    /// Raises the credit; an outdated update does not lower it.
    pub(super) fn raise(&mut self, credit: Credit) {
        self.credit.last_call = self.credit.last_call.max(credit.last_call);
        self.credit.bytes = self.credit.bytes.max(credit.bytes);
    }

    /// Reports whether a call of this size may be sent.
    pub(super) fn admits(&self, bytes: u64) -> bool {
        self.last_sent < self.credit.last_call && self.sent_bytes + bytes <= self.credit.bytes
    }

    /// Counts a call of this size as sent and returns its number.
    pub(super) fn send(&mut self, bytes: u64) -> CallNumber {
        self.last_sent = self.last_sent.next();
        self.sent_bytes += bytes;
        self.last_sent
    }

    /// Continues at the server's counts. Calls that it did not receive are not counted, and their numbers are reused.
    pub(super) fn resume(&mut self, last_received: CallNumber, received_bytes: u64) {
        self.last_sent = last_received;
        self.sent_bytes = received_bytes;
    }
}
