//! The faults of attempts and replicas, and their probabilities.

use linenthread_core::interface::AttemptOutcome;

/// The outcome that the simulation draws for an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptFate {
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

impl AttemptFate {
    /// Returns the outcome that is reported to the decision module.
    pub(super) fn outcome(self) -> AttemptOutcome {
        match self {
            AttemptFate::Success | AttemptFate::DuplicateSuccess => AttemptOutcome::Success,
            AttemptFate::MalformedValue | AttemptFate::Error => AttemptOutcome::Error,
            AttemptFate::Rejected => AttemptOutcome::Rejected,
            AttemptFate::ConnectFailed => AttemptOutcome::ConnectFailed,
            AttemptFate::ConnectionLost => AttemptOutcome::ConnectionLost,
            AttemptFate::TimedOut => AttemptOutcome::TimedOut,
            AttemptFate::Cancelled => AttemptOutcome::Cancelled,
        }
    }
}

/// How replicas behave. `slow` and `faults` are the shares of attempts that are slow or fail.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplicaBehavior {
    pub(super) slow: f64,
    pub(super) faults: f64,
    /// Whether replicas stop, drain, are replaced and return.
    pub(super) changes: bool,
}
