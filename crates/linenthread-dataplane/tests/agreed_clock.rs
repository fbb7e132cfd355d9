//! Tests of the agreed-time estimate with samples that are delayed or temporarily wrong.

use linenthread_dataplane::AgreedClock;
use linenthread_time::{ClockOffset, Instant, WallTime};
use yare::parameterized;

/// The true wall-clock time at the start of the monotonic clock.
const TRUE_START_MS: u64 = 1_767_225_600_000;
/// The interval between samples.
const INTERVAL_MS: u64 = 500;

/// Returns the error of the estimate in milliseconds, after one sample with each of these errors per interval.
fn error_after(sample_errors: &[i64]) -> i64 {
    let mut clock = AgreedClock::default();
    let mut now = Instant::START;
    for (error_ms, n) in sample_errors.iter().zip(1..) {
        now = Instant::from_millis(n * INTERVAL_MS);
        let truth = TRUE_START_MS + now.as_millis();
        let agreed = truth.checked_add_signed(*error_ms).expect("after 1970");
        clock.observe(now, WallTime::from_millis(agreed));
    }
    let estimated = clock.offset().expect("samples").wall_time(now).as_millis();
    estimated.cast_signed() - (TRUE_START_MS + now.as_millis()).cast_signed()
}

#[test]
fn there_is_no_estimate_before_the_first_sample() {
    assert_eq!(AgreedClock::default().offset(), None);
}

#[parameterized(
    first = { &[-3], -3 },
    smallest_delay = { &[-9, -2, -7], -2 },
    late_at_first = { &[-2_000, -3], -3 },
    one_late = { &[-1, -1, -1, -1, -1, -1, -1, -1, -2_000], -1 },
    seven_late = { &[-1, -2, -2_000, -1_900, -1_800, -1_700, -1_600, -1_500, -1_400], -2 },
    one_ahead = { &[-1, -1, -1, -1, -1, -1, -1, -1, 5_000], -1 },
    seven_ahead = { &[-1, -1, -1, -1, -1, -1, -1, -1, 5_000, 5_000, 5_000, 5_000, 5_000, 5_000, 5_000], -1 },
    eight_ahead = { &[-1, -1, -1, -1, -1, -1, -1, -1, 5_000, 5_000, 5_000, 5_001, 5_000, 5_000, 5_000, 5_000], 5_001 },
    eight_behind = { &[0, 0, 0, 0, 0, 0, 0, 0, -5_000, -5_000, -5_000, -4_999, -5_000, -5_000, -5_000, -5_000], -4_999 },
    temporarily_ahead = { &[0, 0, 0, 0, 0, 0, 0, 0, 5_000, 5_000, 5_000, 5_000, 0, 0, 0, 0, 0, 0, 0, 0], 0 },
    within_the_tolerance = { &[0, 0, 0, 0, 0, 0, 0, 0, 250], 250 },
    beyond_the_tolerance = { &[0, 0, 0, 0, 0, 0, 0, 0, 251], 0 },
    drift = { &[0, -1, -2, -3, -4, -5, -6, -7, -8, -9], -2 },
)]
fn the_largest_sample_within_the_tolerance_is_used(sample_errors: &[i64], expected: i64) {
    assert_eq!(error_after(sample_errors), expected);
}

#[test]
fn the_difference_of_offsets_is_symmetric() {
    let offset = |wall| ClockOffset::between(Instant::START, WallTime::from_millis(wall));
    assert_eq!(offset(7).difference(offset(9)).as_millis(), 2);
    assert_eq!(offset(9).difference(offset(7)).as_millis(), 2);
}
