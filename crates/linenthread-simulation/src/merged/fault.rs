//! What can go wrong with an attempt, and how often.

use linenthread_core::interface::AttemptOutcome;

/// What becomes of an attempt.
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
    /// The outcome that the decision module is notified of.
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

/// How replicas behave: shares of their attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplicaBehavior {
    pub(super) slow: f64,
    pub(super) faults: f64,
    /// Replicas die, drain, restart and come back.
    pub(super) changes: bool,
}
