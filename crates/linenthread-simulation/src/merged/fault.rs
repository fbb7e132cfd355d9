//! The faults of attempts and replicas, and their probabilities.

use linenthread_core::interface::AttemptOutcome;

/// The outcome that the simulation draws for an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum DrawnOutcome {
    Success,
    DuplicateSuccess,
    MalformedValue,
    Error,
    Rejected,
    ConnectFailed,
    ConnectionLost,
    TimedOut,
    Cancelled,
}

impl DrawnOutcome {
    /// Returns the outcome that is reported to the decision module.
    pub(super) fn outcome(self) -> AttemptOutcome {
        match self {
            DrawnOutcome::Success | DrawnOutcome::DuplicateSuccess => AttemptOutcome::Success,
            DrawnOutcome::MalformedValue | DrawnOutcome::Error => AttemptOutcome::Error,
            DrawnOutcome::Rejected => AttemptOutcome::Rejected,
            DrawnOutcome::ConnectFailed => AttemptOutcome::ConnectFailed,
            DrawnOutcome::ConnectionLost => AttemptOutcome::ConnectionLost,
            DrawnOutcome::TimedOut => AttemptOutcome::TimedOut,
            DrawnOutcome::Cancelled => AttemptOutcome::Cancelled,
        }
    }
}

/// How replicas behave.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplicaBehavior {
    /// The share of attempts that take longer than a query waits.
    pub(super) slow_share: f64,
    /// The share of the other attempts that get a faulty outcome.
    pub(super) fault_share: f64,
    /// Whether replicas stop, drain, are replaced and return.
    pub(super) replicas_change: bool,
}
