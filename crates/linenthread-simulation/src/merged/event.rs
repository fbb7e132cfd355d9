//! What happens at a moment of simulated time.

use linenthread_core::interface::ReplicaIndex;

use super::decision::Attempt;
use super::fault::AttemptFate;

/// An event in the queue.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Event {
    /// An attempt ends; a value is there where it succeeded.
    AttemptCompleted { attempt: Attempt, fate: AttemptFate },
    /// A health check ends.
    HealthChecked {
        replica: ReplicaIndex,
        is_alive: bool,
    },
    /// A client makes its next query.
    NextQuery { client: usize },
    /// A replica dies, drains or comes back.
    MembershipChange,
    /// A timer of the decision module expires.
    Wake,
}
