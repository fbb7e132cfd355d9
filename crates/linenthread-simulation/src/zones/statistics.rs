//! The printed summary of all schedules.

use linenthread_core::interface::TenthMillis;

use super::Outcome;
use crate::number;

/// Prints how long after their start the faults were handled.
pub(super) fn print_summary(outcomes: &[Outcome]) {
    let handled = outcomes.iter().filter_map(|outcome| outcome.handled_after);
    let mut handled: Vec<TenthMillis> = handled.collect();
    handled.sort_unstable();
    let percentile = |percent| number::percentile_seconds(&handled, percent);
    println!(
        "{} faults handled by the routing table after {:.1} s in the median, {:.1} s at the 99th percentile",
        handled.len(),
        percentile(50),
        percentile(99)
    );
}
