//! Random values of several types from the generator of a run. Each draw consumes the same numbers of the generator,
//! whatever its type.

use std::ops::Range;

use linenthread_core::interface::TenthMillis;
use oorandom::Rand64;

use crate::number;

/// Draws a number from a range.
pub(crate) fn within<T: TryFrom<u64>>(rng: &mut Rand64, range: Range<u64>) -> T {
    T::try_from(rng.rand_range(range))
        .ok()
        .expect("the range fits the type")
}

/// Draws an index into a list of this length; 0 if the list is empty.
pub(crate) fn index(rng: &mut Rand64, length: usize) -> usize {
    within(rng, 0..number::to_u64(length).max(1))
}

/// Draws a simulated time that is at least 0 and below the bound; 0 if the bound is not positive.
pub(crate) fn time_below(rng: &mut Rand64, bound: TenthMillis) -> TenthMillis {
    let bound = u64::try_from(bound).unwrap_or(0);
    within(rng, 0..bound.max(1))
}

/// Returns true with a probability of one half.
pub(crate) fn coin(rng: &mut Rand64) -> bool {
    rng.rand_range(0..2) == 0
}
