//! Admission control: which calls and ingress sessions a control node accepts.

use linenthread_time::Instant;

use crate::{ControlNode, Response, UnavailableReason};

impl ControlNode {
    /// Returns the response to a call that must be rejected because this node is shutting down or is out of contact with
    /// a majority; `None` if the call is accepted.
    pub(super) fn rejection(&self, now: Instant) -> Option<Response> {
        if self.is_shutting_down() {
            return Some(self.redirect(now));
        }
        (!self.has_quorum(now)).then_some(Response::Unavailable(UnavailableReason::NoQuorum))
    }

    /// Returns the response to a call on the register that must be rejected. Unlike [`ControlNode::rejection`], it accepts
    /// calls during start-up: they wait for a round of the voters anyway, and contact may be established in time.
    pub(super) fn register_call_rejection(&self, now: Instant) -> Option<Response> {
        if !self.is_shutting_down() && self.contact.is_starting(now) {
            return None;
        }
        self.rejection(now)
    }

    /// Redirects a call that arrives during a shutdown to another control node.
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

    /// Reports whether an ingress node may open a session. Without contact with a majority it has to connect to another
    /// control node, except during start-up, when it waits for contact here.
    pub(super) fn accepts_ingress_sessions(&self, now: Instant) -> bool {
        !self.is_shutting_down() && (self.has_quorum(now) || self.contact.is_starting(now))
    }
}
