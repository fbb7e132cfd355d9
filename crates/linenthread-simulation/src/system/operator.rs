//! What an operator knows.

use linenthread_control::{CallId, Revision};
use linenthread_time::Instant;

use super::history::Change;

#[derive(Default)]
pub(super) struct Operator {
    /// The revision that it has seen last.
    pub(super) revision: Revision,
    /// The change that it has had no clear response to.
    pub(super) change: Option<Change>,
    /// The call in flight, and since when.
    pub(super) in_flight: Option<(CallId, Instant)>,
}

impl Operator {
    /// It knows what became of its change; `revision` is the newest one.
    pub(super) fn on_clear_response(&mut self, revision: Revision) {
        *self = Operator {
            revision,
            change: None,
            in_flight: None,
        };
    }
}
