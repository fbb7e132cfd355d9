//! What schedules counted, and the summary that is printed of them.

use linenthread_core::interface::TenthMillis;

use super::{Outcome, STABLE_TIME};
use crate::number;

/// What a schedule counted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Totals {
    /// Values that were reported as committed, counted at each process.
    pub(super) committed: u64,
    /// How often a process began to lead.
    pub(super) leaders: u64,
    /// Identities that were replaced since a disk was lost.
    pub(super) replaced: u64,
    /// How long after the end of all faults the fleet was complete for [`STABLE_TIME`].
    pub(super) recovered_after: TenthMillis,
}

/// Prints what all schedules counted together.
pub(super) fn print_summary(outcomes: &[Outcome]) {
    let sum = |of: fn(&Totals) -> u64| -> u64 { outcomes.iter().map(|o| of(&o.totals)).sum() };
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
        sum(|totals| totals.replaced),
        percentile(50),
        percentile(99),
    );
}
