//! What an operator knows.

use linenthread_control::{CallId, Order, Revision};
use linenthread_time::Instant;

/// A call that has no response yet.
#[derive(Clone, Copy)]
pub(super) struct CallInFlight {
    pub(super) call: CallId,
    pub(super) sent_at: Instant,
}

#[derive(Default)]
pub(super) struct Operator {
    /// The revision that it has seen last.
    pub(super) revision: Revision,
    /// The change that it has had no clear response to.
    pub(super) change: Option<Order>,
    pub(super) in_flight: Option<CallInFlight>,
}

impl Operator {
    /// It has made a call.
    pub(super) fn on_sent(&mut self, call: CallId, now: Instant) {
        self.in_flight = Some(CallInFlight { call, sent_at: now });
    }

    /// It knows what became of its change; `revision` is the newest one.
    pub(super) fn on_clear_response(&mut self, revision: Revision) {
        *self = Operator {
            revision,
            change: None,
            in_flight: None,
        };
    }
}
