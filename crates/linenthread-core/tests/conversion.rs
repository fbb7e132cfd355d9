//! Conversions between lengths of time.

use std::time::Duration;

use linenthread_core::conversion::{duration_to_tenth_millis, tenth_millis_to_duration};
use linenthread_core::interface::TenthMillis;

#[test]
fn a_duration_loses_what_is_less_than_a_tenth_of_a_millisecond() {
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
fn a_negative_length_of_time_is_no_duration() {
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
