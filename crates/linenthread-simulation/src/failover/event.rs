//! What happens at a moment of simulated time.

use linenthread_core::interface::AttemptOutcome;

/// An index into the world's attempts.
pub(super) type AttemptIndex = usize;

/// An event in the queue. Events of one moment happen in the order in which they were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// An attempt arrives at its replica.
    Arrive { attempt: AttemptIndex },
    /// A replica has processed an attempt; void if it has stopped since.
    Processed {
        replica: usize,
        attempt: AttemptIndex,
        incarnation: u32,
    },
    /// An attempt's outcome arrives at its coordinator.
    Respond {
        attempt: AttemptIndex,
        outcome: Outcome,
    },
    /// An attempt has timed out.
    TimeOut { attempt: AttemptIndex },
    /// The outcome of a health check arrives.
    HealthChecked {
        coordinator: usize,
        replica: usize,
        outcome: Outcome,
    },
    /// A client sends a query.
    Query { coordinator: usize },
    /// A change of the membership reaches all coordinators.
    Membership { update: usize },
}

/// The outcomes that events carry, in an order of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Outcome {
    Success,
    ConnectFailed,
    ConnectionLost,
    TimedOut,
}

impl From<Outcome> for AttemptOutcome {
    fn from(outcome: Outcome) -> AttemptOutcome {
        match outcome {
            Outcome::Success => AttemptOutcome::Success,
            Outcome::ConnectFailed => AttemptOutcome::ConnectFailed,
            Outcome::ConnectionLost => AttemptOutcome::ConnectionLost,
            Outcome::TimedOut => AttemptOutcome::TimedOut,
        }
    }
}
