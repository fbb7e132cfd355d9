//! The true time of day, and the wall clock of each machine.

use std::time::Duration;

use linenthread_time::{Instant, WallTime, whole_millis};

use super::event::START;
use super::random::Random;

/// True time of day at the start of a schedule, in milliseconds since the Unix epoch.
const TRUE_START_MS: u64 = 1_767_225_600_000;
/// Maximum error of a clock without a fault, in milliseconds.
const MAX_ERROR_MS: u64 = 20;
/// Exclusive upper bound of a step's length beyond [`MIN_STEP_MS`], in milliseconds.
const STEP_RANGE_MS: u64 = 9_000;
/// Minimum length of a step, in milliseconds.
const MIN_STEP_MS: u64 = 1_000;

/// Returns the true time of day at the given simulated time.
pub(super) fn true_time(now: Instant) -> WallTime {
    WallTime::from_millis(TRUE_START_MS + whole_millis(now.since(START)))
}

/// Returns the simulated time of a true time of day; [`START`] for times before the schedule.
pub(super) fn simulated_time_of(time: WallTime) -> Instant {
    START + Duration::from_millis(time.as_millis().saturating_sub(TRUE_START_MS))
}

/// Draws the step of a clock in milliseconds; negative for a step back.
pub(super) fn draw_step_ms(random: &mut Random) -> i64 {
    let step = (MIN_STEP_MS + random.below(STEP_RANGE_MS)).cast_signed();
    if random.one_in(2) { step } else { -step }
}

/// Wall clock of a machine.
pub(super) struct TimeOfDay {
    /// Offset from the true time without a fault, in milliseconds; positive if the clock is ahead.
    error_ms: i64,
    /// Additional offset until `stepped_until`, in milliseconds.
    step_ms: i64,
    stepped_until: Instant,
}

impl TimeOfDay {
    pub(super) fn draw(random: &mut Random) -> TimeOfDay {
        let error = random.below(2 * MAX_ERROR_MS + 1).cast_signed();
        TimeOfDay {
            error_ms: error - MAX_ERROR_MS.cast_signed(),
            step_ms: 0,
            stepped_until: Instant::START,
        }
    }

    /// Returns the clock's reading at the given simulated time.
    pub(super) fn read(&self, now: Instant) -> WallTime {
        let step_ms = if self.is_stepped(now) {
            self.step_ms
        } else {
            0
        };
        let shown = true_time(now)
            .as_millis()
            .saturating_add_signed(self.error_ms + step_ms);
        WallTime::from_millis(shown)
    }

    /// Applies a step until the given time.
    pub(super) fn step(&mut self, step_ms: i64, until: Instant) {
        self.step_ms = step_ms;
        self.stepped_until = until;
    }

    pub(super) fn is_stepped(&self, now: Instant) -> bool {
        self.stepped_until > now
    }

    /// Ends a step.
    pub(super) fn correct(&mut self) {
        self.stepped_until = Instant::START;
    }
}
