//! Conversions between [`Duration`] and tenths of a millisecond.

use std::time::Duration;

use linenthread_core::conversion::{duration_to_tenth_millis, tenth_millis_to_duration};
use linenthread_core::interface::TenthMillis;

#[test]
fn durations_are_truncated_to_tenths_of_a_millisecond() {
    let cases = [
        (Duration::ZERO, 0),
        (Duration::from_micros(99), 0),
        (Duration::from_micros(100), 1),
        (Duration::from_micros(1_299), 12),
        (Duration::from_secs(3), 30_000),
        (Duration::MAX, TenthMillis::MAX),
    ];
    for (duration, tenths) in cases {
        assert_eq!(duration_to_tenth_millis(duration), tenths, "{duration:?}");
    }
}

#[test]
fn negative_times_become_zero_durations() {
    let cases = [
        (TenthMillis::MIN, Duration::ZERO),
        (-1, Duration::ZERO),
        (0, Duration::ZERO),
        (13, Duration::from_micros(1_300)),
        (TenthMillis::MAX, Duration::from_micros(u64::MAX)),
    ];
    for (tenths, duration) in cases {
        assert_eq!(tenth_millis_to_duration(tenths), duration, "{tenths}");
    }
}
