//! The events in simulated time.

use linenthread_core::interface::ReplicaIndex;

use super::decision::Attempt;
use super::fault::DrawnOutcome;

/// An event in the queue.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Event {
    /// An attempt ends with the outcome that was drawn for it.
    AttemptCompleted {
        attempt: Attempt,
        drawn: DrawnOutcome,
    },
    /// A health check completes.
    HealthChecked {
        replica: ReplicaIndex,
        is_alive: bool,
    },
    /// A client makes its next query.
    NextQuery { client: usize },
    /// A random replica stops, drains, is replaced or returns.
    MembershipChange,
    /// A timer of the decision module expires.
    Wake,
}
