//! Incarnations: random numbers that distinguish one run of a process from all others.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::time::{SystemTime, UNIX_EPOCH};

/// Generates an incarnation, which is never 0. The wall-clock time is not unique, since it may jump; it only adds
/// entropy to the random state.
pub(crate) fn generate() -> u64 {
    let since_epoch_nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_nanos());
    RandomState::new().hash_one(since_epoch_nanos) | 1
}
