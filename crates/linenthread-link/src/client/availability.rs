//! Whether the link accepts calls.

use linenthread_core::interface::TenthMillis;

use super::{ClientAction, LinkAvailability, LinkClient};

/// The state of the link, which determines whether it accepts calls. Only changes between up and down are reported to
/// the driver, by [`ClientAction::Availability`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Availability {
    /// The connection is established, and the server accepts calls.
    Up,
    /// The connection was lost less than the grace period ago. Calls are accepted and queued.
    Interrupted { since: TenthMillis },
    /// Calls are rejected.
    Down,
}

impl Availability {
    /// Returns the availability reported to the driver, which is not notified of short interruptions.
    fn reported(self) -> LinkAvailability {
        match self {
            Availability::Up | Availability::Interrupted { .. } => LinkAvailability::Up,
            Availability::Down => LinkAvailability::Down,
        }
    }

    /// Reports whether calls are accepted.
    pub(super) fn is_usable(self) -> bool {
        self.reported() == LinkAvailability::Up
    }

    /// Returns when an interrupted link is to be reported as down.
    pub(super) fn grace_deadline(self, grace_period: TenthMillis) -> Option<TenthMillis> {
        match self {
            Availability::Interrupted { since } => Some(since + grace_period),
            Availability::Up | Availability::Down => None,
        }
    }
}

impl LinkClient {
    /// Sets the availability and reports it to the driver if it changes whether calls are accepted. All changes of the
    /// availability go through here.
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
