//! Tests of usage counts: assignment to windows, which counts are sent, and which are dropped.

use std::rc::Rc;
use std::time::Duration;

use linenthread_dataplane::outcome::SendState;
use linenthread_dataplane::{UsageCounter, UsageRule, requests_to_count};
use linenthread_messages::{TenantCount, WindowCounts};
use linenthread_time::{Instant, WallTime, WindowLength};
use yare::parameterized;

/// The start of window 100 on the monotonic clock.
const START: Instant = Instant::from_millis(1_000_000);
/// The window that starts at [`START`].
const FIRST_WINDOW: u64 = 100;
const WINDOW_MS: u64 = 5_000;

fn counter() -> UsageCounter {
    UsageCounter::new(WindowLength::new(Duration::from_millis(WINDOW_MS)))
}

fn observe(counter: &mut UsageCounter) {
    counter.observe_agreed_time(START, WallTime::from_millis(FIRST_WINDOW * WINDOW_MS));
}

/// Creates a counter that knows the wall-clock time.
fn synchronized() -> UsageCounter {
    let mut counter = counter();
    observe(&mut counter);
    counter
}

fn at(window: u64) -> Instant {
    START + Duration::from_millis((window - FIRST_WINDOW) * WINDOW_MS)
}

fn tenant(name: &str) -> Rc<str> {
    name.into()
}

/// Returns the counts of windows as (window, tenant, requests).
fn flatten(windows: Vec<WindowCounts>) -> Vec<(u64, String, u64)> {
    let counts = windows.into_iter().flat_map(|counts| {
        let window = counts.window;
        let of = move |TenantCount { tenant, requests }| (window, tenant, requests);
        counts.tenants.into_iter().map(of)
    });
    counts.collect()
}

fn counts(expected: &[(u64, &str, u64)]) -> Vec<(u64, String, u64)> {
    let owned =
        |(window, tenant, requests): &(u64, &str, u64)| (*window, (*tenant).to_owned(), *requests);
    expected.iter().map(owned).collect()
}

#[parameterized(
    first_moment = { START, 100 },
    last_moment = { START + Duration::from_millis(4_999), 100 },
    next_window = { START + Duration::from_millis(5_000), 101 },
    before = { Instant::from_millis(999_999), 99 },
)]
fn a_request_counts_in_the_window_in_which_it_started(started_at: Instant, expected: u64) {
    let mut counter = synchronized();
    counter.record(&tenant("a"), started_at, 1);
    assert_eq!(flatten(counter.take_all()), counts(&[(expected, "a", 1)]));
}

#[test]
fn only_increased_counts_are_sent_again_as_totals() {
    let mut counter = synchronized();
    assert!(counter.is_empty());
    let (a, b) = (tenant("a"), tenant("b"));
    counter.record(&a, at(100), 1);
    counter.record(&b, at(100), 2);
    counter.record(&a, at(101), 1);
    let all = counts(&[(100, "a", 1), (100, "b", 2), (101, "a", 1)]);
    assert_eq!(flatten(counter.take_changed()), all);
    assert!(counter.take_changed().is_empty());
    counter.record(&b, at(100), 1);
    assert!(!counter.is_empty());
    assert_eq!(flatten(counter.take_changed()), counts(&[(100, "b", 3)]));
    counter.record(&a, at(101), 1);
    let all = counts(&[(100, "a", 1), (100, "b", 3), (101, "a", 2)]);
    assert_eq!(flatten(counter.take_all()), all);
    assert!(counter.take_changed().is_empty());
}

#[test]
fn requests_recorded_before_the_first_sample_are_assigned_on_it() {
    let mut counter = counter();
    counter.record(&tenant("a"), at(100), 1);
    counter.record(&tenant("a"), at(101), 1);
    assert!(counter.take_all().is_empty());
    observe(&mut counter);
    let expected = counts(&[(100, "a", 1), (101, "a", 1)]);
    assert_eq!(flatten(counter.take_changed()), expected);
    assert_eq!(counter.take_dropped(), 0);
}

#[test]
fn the_number_of_requests_kept_before_the_first_sample_is_bounded() {
    let mut counter = counter();
    (0..4_100).for_each(|_| counter.record(&tenant("a"), at(100), 1));
    assert_eq!(counter.take_dropped(), 4);
    observe(&mut counter);
    assert_eq!(flatten(counter.take_all()), counts(&[(100, "a", 4_096)]));
    assert_eq!(counter.take_dropped(), 0);
}

/// The newest 16 windows are kept. Unsent counts of removed windows are dropped, as are requests that later fall into
/// a removed window.
#[test]
fn old_windows_are_removed_and_unsent_counts_are_reported_as_dropped() {
    let mut counter = synchronized();
    let a = tenant("a");
    counter.record(&a, at(100), 7);
    counter.take_changed();
    counter.record(&a, at(101), 3);
    (102..117).for_each(|window| counter.record(&a, at(window), 1));
    assert_eq!(counter.take_dropped(), 0);
    let kept = |counter: &mut UsageCounter| -> Vec<u64> {
        counter
            .take_all()
            .iter()
            .map(|counts| counts.window)
            .collect()
    };
    counter.record(&a, at(117), 1);
    assert_eq!(counter.take_dropped(), 3);
    assert_eq!(kept(&mut counter), (102..118).collect::<Vec<_>>());
    counter.record(&a, at(101), 2);
    assert_eq!(counter.take_dropped(), 2);
    counter.record(&a, at(118), 1);
    assert_eq!(counter.take_dropped(), 0);
    assert_eq!(kept(&mut counter), (103..119).collect::<Vec<_>>());
}

#[parameterized(
    not_sent = { SendState::NotSent, 0, 0, 0 },
    rejected = { SendState::Rejected, 0, 0, 0 },
    rejected_later = { SendState::Rejected, 1, 0, 0 },
    first = { SendState::MayHaveRun, 0, 1, 1 },
    second = { SendState::MayHaveRun, 1, 0, 1 },
    third = { SendState::MayHaveRun, 2, 0, 1 },
)]
fn attempts_that_may_have_run_count(
    send_state: SendState,
    earlier: usize,
    once_per_request: u64,
    once_per_attempt: u64,
) {
    let started = |rule| requests_to_count(rule, send_state, earlier);
    assert_eq!(started(UsageRule::OncePerRequest), once_per_request);
    assert_eq!(started(UsageRule::OncePerAttempt), once_per_attempt);
}
