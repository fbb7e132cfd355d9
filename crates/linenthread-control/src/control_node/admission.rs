//! Which calls and sessions a control node accepts.

use linenthread_time::Instant;

use crate::{ControlNode, Response, UnavailableReason};

impl ControlNode {
    /// Why a call is rejected outright, if so: this node shuts down, or is out of contact with a majority.
    pub(super) fn rejection(&self, now: Instant) -> Option<Response> {
        if self.is_shutting_down() {
            return Some(self.redirect(now));
        }
        (!self.has_quorum(now)).then_some(Response::Unavailable(UnavailableReason::NoQuorum))
    }

    /// Why a call that waits for a round of the voters is rejected outright, if so: as the others, but while the node
    /// starts, contact may come in time.
    pub(super) fn rejection_of_agreement(&self, now: Instant) -> Option<Response> {
        if !self.is_shutting_down() && self.contact.is_starting(now) {
            return None;
        }
        self.rejection(now)
    }

    /// Calls that arrive during a shutdown go to another control node.
    fn redirect(&self, now: Instant) -> Response {
        let other = self
            .membership
            .contacts(now)
            .find(|peer| peer.accepts_calls(now));
        other.map_or(
            Response::Unavailable(UnavailableReason::ShuttingDown),
            |peer| Response::Redirect(peer.hello().control_address.clone()),
        )
    }

    /// Whether an ingress node may open a session: one that would have to wait for contact goes elsewhere at once,
    /// but while this node starts it waits.
    pub(super) fn accepts_ingress_sessions(&self, now: Instant) -> bool {
        !self.is_shutting_down() && (self.has_quorum(now) || self.contact.is_starting(now))
    }
}
