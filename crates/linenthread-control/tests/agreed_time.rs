//! The wall-clock time that the control nodes agree on while some of their clocks jump.

use linenthread_control::AgreedTime;
use linenthread_time::{ClockOffset, Instant, WallTime};
use yare::parameterized;

/// The true wall-clock time at the start of the monotonic clock.
const TRUE_START_MS: u64 = 1_767_225_600_000;
/// The time at which all clocks are observed.
const OBSERVED: Instant = Instant::from_millis(10_000);
/// A time by which peers that have been silent since [`OBSERVED`] no longer count.
const LONG_AFTER: Instant = Instant::from_millis(41_000);

/// Returns the time of a clock that is off by `error_ms`.
fn clock_time(now: Instant, error_ms: i64) -> WallTime {
    let true_ms = TRUE_START_MS + now.as_millis();
    WallTime::from_millis(true_ms.checked_add_signed(error_ms).expect("after 1970"))
}

fn offset(error_ms: i64) -> ClockOffset {
    ClockOffset::between(OBSERVED, clock_time(OBSERVED, error_ms))
}

/// Returns the agreed time after the clocks of this node and of its peers were observed, with these errors in
/// milliseconds.
fn agreed(own: i64, peers: &[i64]) -> AgreedTime {
    let mut agreed = AgreedTime::default();
    agreed.observe_local(OBSERVED, clock_time(OBSERVED, own));
    for (n, error_ms) in peers.iter().enumerate() {
        agreed.observe_peer(
            OBSERVED,
            &format!("peer-{n}"),
            clock_time(OBSERVED, *error_ms),
        );
    }
    agreed
}

#[parameterized(
    all_agree = { 0, &[0, 0], 0 },
    one_of_three_forward = { 0, &[5_000, 0], 0 },
    one_of_three_back = { 0, &[0, -5_000], 0 },
    local_of_three_forward = { 5_000, &[0, 0], 0 },
    local_of_three_back = { -5_000, &[0, 0], 0 },
    two_of_five_forward = { 0, &[5_000, 3_000, 0, 0], 0 },
    two_of_five_back = { 0, &[-5_000, -3_000, 0, 0], 0 },
    two_of_five_in_opposite_directions = { 0, &[-5_000, 3_000, 0, 0], 0 },
    two_of_five_with_the_local_one = { -5_000, &[-3_000, 0, 0, 0], 0 },
    lower_of_two = { 0, &[4], 0 },
    lower_of_four = { 0, &[1, 2, 3], 1 },
    without_peers = { 7, &[], 7 },
)]
fn the_agreed_offset_is_the_lower_median(own: i64, peers: &[i64], expected: i64) {
    let agreed = agreed(own, peers);
    assert_eq!(agreed.offset(OBSERVED), Some(offset(expected)));
}

#[test]
fn there_is_no_agreed_time_before_a_clock_is_known() {
    let agreed = AgreedTime::default();
    assert_eq!(agreed.offset(OBSERVED), None);
    assert_eq!(agreed.local_wall_time(OBSERVED), None);
}

#[test]
fn a_node_without_peers_follows_its_own_clock() {
    let mut agreed = agreed(0, &[]);
    agreed.observe_local(OBSERVED, clock_time(OBSERVED, 5_000));
    assert_eq!(agreed.offset(OBSERVED), Some(offset(5_000)));
}

#[test]
fn a_clock_that_steps_and_returns_does_not_change_the_agreed_time() {
    let mut agreed = agreed(0, &[0, 0]);
    for (millis, error_ms) in [
        (10_500, 4_000),
        (11_000, 4_000),
        (11_500, -4_000),
        (12_000, 0),
    ] {
        let now = Instant::from_millis(millis);
        agreed.observe_peer(now, "peer-0", clock_time(now, error_ms));
        assert_eq!(agreed.offset(now), Some(offset(0)), "{error_ms}");
    }
}

/// One of three nodes has left while the clock of another one is wrong: the clock of the node that left still counts.
#[parameterized(forward = { 5_000 }, back = { -5_000 })]
fn the_clock_of_a_peer_that_has_just_left_still_counts(error_ms: i64) {
    let mut agreed = agreed(0, &[0, 0]);
    for seconds in 11..=40 {
        let now = Instant::from_millis(seconds * 1_000);
        agreed.observe_local(now, clock_time(now, 0));
        agreed.observe_peer(now, "peer-1", clock_time(now, error_ms));
        agreed.remove_silent_peers(now, |_| true);
        assert_eq!(agreed.offset(now), Some(offset(0)), "{seconds} s");
    }
}

#[test]
fn the_clock_of_a_peer_that_left_long_ago_does_not_count() {
    let mut agreed = agreed(0, &[-9, -5]);
    assert_eq!(agreed.offset(OBSERVED), Some(offset(-5)));
    assert_eq!(agreed.offset(LONG_AFTER), Some(offset(0)));
    agreed.remove_silent_peers(LONG_AFTER, |_| true);
    assert_eq!(agreed.offset(OBSERVED), Some(offset(0)));
}

/// A machine counts once, even after a restart and with two sessions at the same time.
#[test]
fn a_peer_counts_once_per_address() {
    let mut agreed = agreed(0, &[0]);
    for _ in 0..5 {
        agreed.observe_peer(OBSERVED, "peer-1", clock_time(OBSERVED, -5_000));
    }
    assert_eq!(agreed.offset(OBSERVED), Some(offset(0)));
}

// Guards against windows that shift by seconds (simulation, usage-right, core 7, seed 72): the clock of a machine that
// was replaced while its clock was wrong still counted, and a second clock stepped in the same direction.
#[test]
fn the_clock_of_a_peer_that_was_replaced_does_not_count() {
    let mut agreed = agreed(0, &[-8_000, 0]);
    let now = Instant::from_millis(13_000);
    for peer in ["peer-1", "successor"] {
        agreed.observe_peer(now, peer, clock_time(now, 0));
    }
    agreed.observe_local(now, clock_time(now, -8_000));
    // Two of four clocks are wrong, and the median is the lower one of the middle two.
    assert_eq!(agreed.offset(now), Some(offset(-8_000)));
    agreed.remove_silent_peers(now, |address| address != "peer-0");
    assert_eq!(agreed.offset(now), Some(offset(0)));
}
