//! The number that distinguishes this run of the process from all others.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::time::{SystemTime, UNIX_EPOCH};

/// Draws an incarnation, which is never 0. The time of day only adds to the randomness: it may jump.
pub(crate) fn draw() -> u64 {
    let time_of_day = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_nanos());
    RandomState::new().hash_one(time_of_day) | 1
}
