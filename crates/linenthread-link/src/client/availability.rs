//! Whether the link accepts calls.

use linenthread_core::interface::TenthMillis;

use super::{ClientAction, LinkAvailability, LinkClient};

/// Whether the link accepts calls, as last reported to the driver by [`ClientAction::Availability`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Availability {
    /// The connection is established, and the server accepts calls.
    Up,
    /// The connection was lost, and may be back within the grace period. Calls are accepted and queued until then.
    Interrupted { since: TenthMillis },
    /// Calls are rejected.
    Down,
}

impl Availability {
    /// As the driver sees it, which is not told of short interruptions.
    fn reported(self) -> LinkAvailability {
        match self {
            Availability::Up | Availability::Interrupted { .. } => LinkAvailability::Up,
            Availability::Down => LinkAvailability::Down,
        }
    }

    /// Calls are accepted.
    pub(super) fn is_usable(self) -> bool {
        self.reported() == LinkAvailability::Up
    }

    /// When an interrupted link is to be reported as down.
    pub(super) fn grace_deadline(self, grace_period: TenthMillis) -> Option<TenthMillis> {
        match self {
            Availability::Interrupted { since } => Some(since + grace_period),
            Availability::Up | Availability::Down => None,
        }
    }
}

impl LinkClient {
    /// The one place where the availability changes; reported to the driver if that makes a difference to calls.
    pub(super) fn set_availability(
        &mut self,
        availability: Availability,
        actions: &mut Vec<ClientAction>,
    ) {
        let before = std::mem::replace(&mut self.availability, availability);
        if before.reported() != availability.reported() {
            actions.push(ClientAction::Availability(availability.reported()));
        }
    }
}
