//! State of an operator.

use linenthread_control::{CallId, Order, Revision};
use linenthread_time::Instant;

/// A call that awaits its response.
#[derive(Clone, Copy)]
pub(super) struct CallInFlight {
    pub(super) call: CallId,
    pub(super) sent_at: Instant,
}

#[derive(Default)]
pub(super) struct Operator {
    /// Revision that the operator has seen last.
    pub(super) revision: Revision,
    /// Change that has had no clear response yet.
    pub(super) change: Option<Order>,
    pub(super) in_flight: Option<CallInFlight>,
}

impl Operator {
    /// Records that a call was sent.
    pub(super) fn on_sent(&mut self, call: CallId, now: Instant) {
        self.in_flight = Some(CallInFlight { call, sent_at: now });
    }

    /// Drops the change, since its outcome is known; `revision` is the newest revision.
    pub(super) fn on_clear_response(&mut self, revision: Revision) {
        *self = Operator {
            revision,
            change: None,
            in_flight: None,
        };
    }
}
