//! A holder that leaves: it holds nothing from then on, and its voters need not wait for the lease to end.

use linenthread_consensus::LeaderLease;
use linenthread_messages::{LeaseRelease, LeaseRequest, LeaseVote, Value};
use linenthread_time::Instant;
use yare::parameterized;

/// The instant this many milliseconds after the clock's start.
fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

const HOLDER: u64 = 1;
const OTHER: u64 = 2;
const LIFE: u64 = 7;

fn request(life: u64, epoch: u64, asked: u64) -> LeaseRequest {
    LeaseRequest {
        epoch,
        request_id: asked,
        lease_ms: 2_000,
        incarnation: life,
        value_number: 0,
    }
}

/// A voter that supports the holder under epoch 3 since 5,000.
fn voter() -> LeaderLease {
    let mut voter = LeaderLease::new(3, 9, at(0), false, 0);
    assert!(
        voter
            .on_lease_request(at(5_000), HOLDER, &request(LIFE, 3, 1), Some(0))
            .granted
    );
    voter
}

#[parameterized(
    said_by_the_holder = { HOLDER, LIFE, 3, true },
    under_a_later_epoch = { HOLDER, LIFE, 4, true },
    under_an_earlier_epoch = { HOLDER, LIFE, 2, false },
    of_another_life = { HOLDER, 6, 3, false },
    said_by_another = { OTHER, LIFE, 3, false },
)]
fn a_release_frees_the_voter_of_that_holder_only(from: u64, life: u64, epoch: u64, free: bool) {
    let mut voter = voter();
    assert_eq!(
        voter.on_release(
            from,
            &LeaseRelease {
                epoch,
                incarnation: life
            }
        ),
        free
    );
    assert_eq!(
        voter
            .on_lease_request(at(5_100), OTHER, &request(8, 9, 1), Some(0))
            .granted,
        free
    );
}

#[test]
fn a_request_that_was_overtaken_by_the_release_is_not_supported() {
    let mut voter = voter();
    voter.on_release(
        HOLDER,
        &LeaseRelease {
            epoch: 4,
            incarnation: LIFE,
        },
    );
    assert!(
        !voter
            .on_lease_request(at(5_100), HOLDER, &request(LIFE, 4, 2), Some(0))
            .granted
    );
}

#[test]
fn a_voter_that_counts_anew_does_not_go_on_with_whom_it_supported_before() {
    let mut voter = voter();
    voter.observe_epoch(at(9_000), 0, true);
    assert!(
        !voter
            .on_lease_request(at(10_900), HOLDER, &request(LIFE, 4, 2), Some(0))
            .granted
    );
    assert!(
        voter
            .on_lease_request(at(11_000), HOLDER, &request(LIFE, 4, 3), Some(0))
            .granted
    );
}

#[parameterized(
    the_next_value = { 8, 8, false },
    values_without_a_change = { 12, 7, false },
    a_change_that_is_passed_over = { 12, 9, true },
    a_change_by_the_value_itself = { 12, 12, true },
)]
fn a_change_of_the_voters_may_be_passed_over(number: u64, voters_since: u64, misses: bool) {
    let mut voter = voter();
    voter.on_decided(&Value {
        number: 7,
        ..Value::default()
    });
    let value = Value {
        number,
        voters_since,
        ..Value::default()
    };
    assert_eq!(voter.skips_voter_change(&value), misses);
}

#[test]
fn a_release_does_not_shorten_the_quiet_time_of_a_voter_that_counts_anew() {
    let mut voter = voter();
    voter.observe_epoch(at(5_050), 0, true);
    assert!(voter.on_release(
        HOLDER,
        &LeaseRelease {
            epoch: 3,
            incarnation: LIFE
        }
    ));
    assert!(
        !voter
            .on_lease_request(at(5_100), OTHER, &request(8, 9, 1), Some(0))
            .granted
    );
    assert!(
        voter
            .on_lease_request(at(7_100), OTHER, &request(8, 9, 2), Some(0))
            .granted
    );
}

#[test]
fn who_has_released_holds_nothing_and_asks_above_it() {
    let mut lease = LeaderLease::new(HOLDER, LIFE, at(0), true, 0);
    let first = lease.tick(at(0), true, 0).expect("asks");
    let is_most = |ids: Vec<u64>| ids.len() >= 2;
    let yes = LeaseVote {
        epoch: first.epoch,
        request_id: first.request_id,
        granted: true,
    };
    lease.on_lease_vote(at(1), HOLDER, &yes, 0, is_most);
    assert!(
        lease.on_lease_vote(at(2), OTHER, &yes, 0, is_most) && lease.held_epoch(at(3)).is_some()
    );
    let release = lease.release().expect("held");
    assert_eq!(
        release,
        LeaseRelease {
            epoch: first.epoch,
            incarnation: LIFE
        }
    );
    // Votes that were under way give nothing back.
    assert!(!lease.on_lease_vote(at(4), 3, &yes, 0, is_most) && lease.held_epoch(at(4)).is_none());
    assert!(lease.release().is_none());
    let next = lease.tick(at(6), true, 0).expect("asks anew");
    assert!(next.epoch > release.epoch);
}

#[test]
fn an_open_request_is_released_as_well() {
    let mut lease = LeaderLease::new(HOLDER, LIFE, at(0), true, 0);
    let open = lease.tick(at(0), true, 0).expect("asks");
    assert_eq!(
        lease.release().map(|release| release.epoch),
        Some(open.epoch)
    );
    let yes = LeaseVote {
        epoch: open.epoch,
        request_id: open.request_id,
        granted: true,
    };
    assert!(
        !lease.on_lease_vote(at(2), OTHER, &yes, 0, |_| true) && lease.held_epoch(at(2)).is_none()
    );
}

#[test]
fn a_node_that_was_frozen_past_its_lease_holds_nothing_when_the_votes_come() {
    let mut lease = LeaderLease::new(HOLDER, LIFE, at(0), true, 0);
    let open = lease.tick(at(0), true, 0).expect("asks");
    let yes = LeaseVote {
        epoch: open.epoch,
        request_id: open.request_id,
        granted: true,
    };
    // The control part would take this for a lease that begins.
    assert!(!lease.on_lease_vote(at(20_000), OTHER, &yes, 0, |_| true));
    assert_eq!(lease.held_epoch(at(20_000)), None);
    assert!(!lease.is_held_at(at(20_000), 0));
}
