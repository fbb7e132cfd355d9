//! Monotonic clock of each machine.
//!
//! Leases and agreement do not use the time of day, so steps of it affect only usage reports;
//! `tests/no_wall_clock.rs` checks that. [`super::time_of_day`] simulates the clocks that show the time of day.

use std::time::Duration;

use linenthread_time::{Instant, whole_millis};

use super::event::START;
use super::random::Random;

/// Exclusive upper bound of a clock's offset, in milliseconds.
const OFFSET_RANGE_MS: u64 = 1 << 40;
/// Maximum drift of a clock from simulated time in either direction, in parts per million.
const MAX_DRIFT_PPM: u64 = 200;

/// A monotonic clock with a random offset and drift.
pub(super) struct MachineClock {
    offset: Duration,
    /// Drift relative to simulated time, in parts per million; positive if the clock runs fast.
    drift_ppm: i64,
}

impl MachineClock {
    pub(super) fn draw(random: &mut Random) -> MachineClock {
        let offset = random.millis_below(OFFSET_RANGE_MS);
        let drift = random.below(2 * MAX_DRIFT_PPM + 1).cast_signed();
        MachineClock {
            offset,
            drift_ppm: drift - MAX_DRIFT_PPM.cast_signed(),
        }
    }

    /// Returns the clock's reading at the given simulated time.
    pub(super) fn read(&self, now: Instant) -> Instant {
        let elapsed = whole_millis(now.since(START)).cast_signed();
        let drift = elapsed * self.drift_ppm / 1_000_000;
        let shown = now + self.offset;
        let correction = Duration::from_millis(drift.unsigned_abs());
        if drift < 0 {
            shown.saturating_sub(correction)
        } else {
            shown + correction
        }
    }
}
