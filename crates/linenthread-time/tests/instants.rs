//! Arithmetic of instants at the limits of their range.

use std::time::Duration;

use linenthread_time::{Instant, whole_millis};

#[test]
fn arithmetic_saturates_at_the_limits() {
    let second = Duration::from_secs(1);
    assert_eq!(Instant::START + second, Instant::from_millis(1_000));
    assert_eq!(Instant::NEVER + second, Instant::NEVER);
    assert_eq!(Instant::START.saturating_sub(second), Instant::START);
    assert_eq!(
        Instant::from_millis(1_500).saturating_sub(second),
        Instant::from_millis(500)
    );
    assert_eq!(
        Instant::from_millis(1_500) - Instant::from_millis(500),
        second
    );
    assert_eq!(Instant::START - Instant::NEVER, Duration::ZERO);
}

#[test]
fn durations_are_truncated_to_whole_milliseconds() {
    assert_eq!(whole_millis(Duration::from_micros(1_999)), 1);
    assert_eq!(whole_millis(Duration::MAX), u64::MAX);
}
