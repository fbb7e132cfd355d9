//! The events in simulated time.

use linenthread_core::interface::AttemptOutcome;

/// An index into the world's attempts.
pub(super) type AttemptIndex = usize;

/// An event in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Event {
    /// An attempt arrives at its replica.
    Arrive { attempt: AttemptIndex },
    /// A replica has processed an attempt. Ignored if the replica has stopped since.
    Processed {
        replica: usize,
        attempt: AttemptIndex,
        incarnation: u32,
    },
    /// An attempt's outcome arrives at its coordinator.
    Respond {
        attempt: AttemptIndex,
        outcome: AttemptOutcome,
    },
    /// An attempt has timed out.
    TimeOut { attempt: AttemptIndex },
    /// The outcome of a health check arrives.
    HealthChecked {
        coordinator: usize,
        replica: usize,
        outcome: AttemptOutcome,
    },
    /// A client sends a query.
    Query { coordinator: usize },
    /// A change of the membership reaches all coordinators.
    Membership { update: usize },
}
