//! The counters of schedules, and the printed summary.

use linenthread_core::interface::TenthMillis;

use super::{Outcome, STABLE_TIME};
use crate::number;

/// The counters of a schedule.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Totals {
    /// The number of values reported as committed, summed over all processes.
    pub(super) committed: u64,
    /// How often a process became the leader.
    pub(super) leaders: u64,
    /// The number of identities that were replaced because a disk was lost.
    pub(super) replaced_identities: u64,
    /// The time from the end of all faults until the fleet had been complete for [`STABLE_TIME`].
    pub(super) recovered_after: TenthMillis,
}

/// Prints the sums of all counters, and percentiles of the recovery time.
pub(super) fn print_summary(outcomes: &[Outcome]) {
    let sum =
        |counter: fn(&Totals) -> u64| -> u64 { outcomes.iter().map(|o| counter(&o.totals)).sum() };
    let recovery = outcomes
        .iter()
        .map(|o| o.totals.recovered_after - STABLE_TIME);
    let mut recovery: Vec<TenthMillis> = recovery.collect();
    recovery.sort_unstable();
    let percentile = |percent| number::percentile_seconds(&recovery, percent);
    println!(
        "{} values reported as committed, {} leaders elected, {} identities replaced; complete again after {:.1} s in \
         the median, {:.1} s at the 99th percentile",
        sum(|totals| totals.committed),
        sum(|totals| totals.leaders),
        sum(|totals| totals.replaced_identities),
        percentile(50),
        percentile(99),
    );
}
