//! The record of each call, for the checks at the end of a schedule.

use linenthread_core::interface::{AttemptOutcome, TenthMillis};

use super::invariant::{Invariant, Violation};
use super::{FAULT_DURATION, MILLISECOND, RECOVERY_TIME, START};

/// A call with a longer deadline than this must be answered once the link has recovered. The time is sufficient for the
/// round trip, the queue ahead of the call and its execution.
const SUFFICIENT_TIME: TenthMillis = 500 * MILLISECOND;

/// How often a call really ran, and the outcome that the client reported.
#[derive(Default, Debug)]
pub(super) struct CallRecord {
    pub(super) runs: usize,
    pub(super) outcome: Option<AttemptOutcome>,
    pub(super) made_at: TenthMillis,
    pub(super) deadline: TenthMillis,
}

impl CallRecord {
    /// Returns the violation of an invariant by this call at the end of the schedule, if there is one.
    pub(super) fn violation(&self, call: u64) -> Option<Violation> {
        let has_recovered = self.made_at > START + FAULT_DURATION + RECOVERY_TIME;
        let had_time = self.deadline - self.made_at > SUFFICIENT_TIME;
        match self.outcome {
            None => Some(Violation::new(
                Invariant::OneOutcome,
                format!("call {call} has not ended"),
            )),
            Some(outcome) if outcome.never_ran() && self.runs > 0 => Some(Violation::new(
                Invariant::UnsentIsProven,
                format!("call {call} ended as {outcome:?}, and ran"),
            )),
            Some(
                outcome @ (AttemptOutcome::NotSent
                | AttemptOutcome::ConnectionLost
                | AttemptOutcome::TimedOut),
            ) if has_recovered && had_time => Some(Violation::new(
                Invariant::Recovers,
                format!("call {call} ended as {outcome:?} after the link had recovered"),
            )),
            _ => None,
        }
    }
}
