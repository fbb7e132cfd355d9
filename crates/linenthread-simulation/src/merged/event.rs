//! What happens at a moment of simulated time.

use super::fault::AttemptFate;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// An attempt ends; a value is there where it succeeded.
    AttemptEnded(usize, usize, usize, AttemptFate),
    Probed(usize, bool),
    Client(usize),
    MembershipChange,
    Wake,
}
