//! Random times and indexes from a seeded generator.

use linenthread_core::conversion::to_tenth_millis;
use linenthread_core::interface::TenthMillis;
use oorandom::Rand64;

/// Returns a random time below `limit`.
pub(crate) fn random_time(rng: &mut Rand64, limit: TenthMillis) -> TenthMillis {
    to_tenth_millis(rng.rand_float() * limit as f64)
}

/// Returns a random index into a list of `count` items; 0 if the list is empty.
pub(crate) fn random_index(rng: &mut Rand64, count: usize) -> usize {
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    let index = rng.rand_range(0..count.max(1));
    usize::try_from(index).unwrap_or(usize::MAX)
}
