//! The outcomes of calls over all schedules, and the printed summary.

use linenthread_core::interface::{AttemptOutcome, TenthMillis};

use super::MILLISECOND;
use crate::number;

/// Counts over all schedules.
#[derive(Default)]
pub(super) struct Statistics {
    calls: usize,
    succeeded: usize,
    never_ran: usize,
    may_have_run: usize,
    timed_out: usize,
    /// The number of connections closed as idle although frames got through.
    pub(super) false_alarms: usize,
    /// The times from the first silent loss on a connection until the client closed it.
    pub(super) detection_times: Vec<TenthMillis>,
}

impl Statistics {
    /// Counts a call by its outcome; `None` if it has not ended.
    pub(super) fn count(&mut self, outcome: Option<AttemptOutcome>) {
        self.calls += 1;
        match outcome {
            Some(AttemptOutcome::Success) => self.succeeded += 1,
            Some(AttemptOutcome::TimedOut) => self.timed_out += 1,
            Some(outcome) if outcome.never_ran() => self.never_ran += 1,
            _ => self.may_have_run += 1,
        }
    }

    /// Prints all counts.
    pub(super) fn print(mut self, schedules: usize) {
        self.detection_times.sort_unstable();
        let calls = self.calls;
        let percent = |count: usize| number::percent(count, calls);
        println!(
            "{calls} calls: {:.1}% succeeded, {:.1}% never ran, {:.1}% may have run, {:.1}% timed out",
            percent(self.succeeded),
            percent(self.never_ran),
            percent(self.may_have_run),
            percent(self.timed_out)
        );
        println!(
            "{} silent connections detected after {} ms (median), {} ms (99%); {} false alarms in {schedules} schedules",
            self.detection_times.len(),
            self.detection_quantile(0.5),
            self.detection_quantile(0.99),
            self.false_alarms
        );
    }

    /// Returns a quantile of the sorted detection times, in milliseconds; 0 if there are none.
    fn detection_quantile(&self, quantile: f64) -> TenthMillis {
        let rank = number::quantile_index(self.detection_times.len(), quantile);
        self.detection_times
            .get(rank)
            .map_or(0, |time| time / MILLISECOND)
    }
}
