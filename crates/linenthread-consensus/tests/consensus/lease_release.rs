//! Tests of the release of the leader lease, with which a lease holder that shuts down ends the grants of its voters
//! early.

use std::collections::BTreeSet;

use linenthread_consensus::{Epoch, Incarnation, LeaderLease, LeaseProgress, NodeId, ValueNumber};
use linenthread_messages::{LeaseRelease, LeaseRequest, Value};
use yare::parameterized;

use crate::fixtures::{at, granted, lease_request};

const LEASE_HOLDER: u64 = 1;
const OTHER: u64 = 2;
const INCARNATION: Incarnation = Incarnation::new(7);
const OTHER_INCARNATION: Incarnation = Incarnation::new(8);
const FIRST: ValueNumber = ValueNumber::FIRST;

fn release(incarnation: Incarnation, epoch: u64) -> LeaseRelease {
    LeaseRelease {
        epoch,
        incarnation: incarnation.get(),
    }
}

/// Reports whether a voter at value 0 grants the request.
fn grants(voter: &mut LeaderLease, now: u64, from: u64, request: &LeaseRequest) -> bool {
    voter
        .on_lease_request(at(now), NodeId(from), request, Some(FIRST))
        .granted
}

/// Returns a candidate on the first start of all nodes.
fn candidate() -> LeaderLease {
    LeaderLease::new(INCARNATION, at(0), true, Epoch::NONE)
}

/// Returns a voter that granted the lease under epoch 3 at 5 s.
fn voter() -> LeaderLease {
    let mut voter = LeaderLease::new(Incarnation::new(9), at(0), false, Epoch::NONE);
    let request = lease_request(INCARNATION, Epoch::new(3), 1);
    assert!(grants(&mut voter, 5_000, LEASE_HOLDER, &request));
    voter
}

#[parameterized(
    by_the_lease_holder = { LEASE_HOLDER, INCARNATION, 3, true },
    under_a_later_epoch = { LEASE_HOLDER, INCARNATION, 4, true },
    under_an_earlier_epoch = { LEASE_HOLDER, INCARNATION, 2, false },
    of_another_incarnation = { LEASE_HOLDER, Incarnation::new(6), 3, false },
    by_another_node = { OTHER, INCARNATION, 3, false },
)]
fn a_release_ends_only_grants_to_its_sender_up_to_its_epoch(
    from: u64,
    incarnation: Incarnation,
    epoch: u64,
    ends_grant: bool,
) {
    let mut voter = voter();
    assert_eq!(
        voter.on_release(NodeId(from), &release(incarnation, epoch)),
        ends_grant
    );
    assert_eq!(
        grants(
            &mut voter,
            5_100,
            OTHER,
            &lease_request(OTHER_INCARNATION, Epoch::new(9), 1)
        ),
        ends_grant
    );
}

#[test]
fn a_request_that_arrives_after_the_release_is_not_granted() {
    let mut voter = voter();
    voter.on_release(NodeId(LEASE_HOLDER), &release(INCARNATION, 4));
    let late_request = lease_request(INCARNATION, Epoch::new(4), 2);
    assert!(!grants(&mut voter, 5_100, LEASE_HOLDER, &late_request));
}

#[test]
fn a_new_voter_does_not_renew_its_earlier_grant() {
    let mut voter = voter();
    voter.on_became_voter(at(9_000));
    let renewal = |request_id| lease_request(INCARNATION, Epoch::new(4), request_id);
    assert!(!grants(&mut voter, 10_900, LEASE_HOLDER, &renewal(2)));
    assert!(grants(&mut voter, 11_000, LEASE_HOLDER, &renewal(3)));
}

#[parameterized(
    the_next_value = { 8, 8, false },
    skipped_values_without_a_change = { 12, 7, false },
    a_skipped_change = { 12, 9, true },
    a_change_by_the_value_itself = { 12, 12, true },
)]
fn a_skipped_voter_change_is_detected(number: u64, voters_since: u64, skips: bool) {
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
    assert_eq!(voter.skips_voter_change(&value), skips);
}

#[test]
fn a_release_does_not_shorten_the_waiting_period_of_a_new_voter() {
    let mut voter = voter();
    voter.on_became_voter(at(5_050));
    assert!(voter.on_release(NodeId(LEASE_HOLDER), &release(INCARNATION, 3)));
    assert!(!grants(
        &mut voter,
        5_100,
        OTHER,
        &lease_request(OTHER_INCARNATION, Epoch::new(9), 1)
    ));
    assert!(grants(
        &mut voter,
        7_100,
        OTHER,
        &lease_request(OTHER_INCARNATION, Epoch::new(9), 2)
    ));
}

#[test]
fn after_a_release_no_lease_is_held_and_the_next_epoch_is_higher() {
    let mut lease = candidate();
    let first = lease.tick(at(0), true, FIRST).expect("a request");
    let is_majority = |ids: &BTreeSet<NodeId>| ids.len() >= 2;
    let grant = granted(&first);
    lease.on_lease_reply(at(1), NodeId(LEASE_HOLDER), &grant, FIRST, is_majority);
    assert_eq!(
        lease.on_lease_reply(at(2), NodeId(OTHER), &grant, FIRST, is_majority),
        LeaseProgress::Acquired {
            epoch: Epoch::new(first.epoch)
        }
    );
    assert!(lease.held_epoch(at(3)).is_some());
    let released = lease.release().expect("a held lease");
    assert_eq!(released, release(INCARNATION, first.epoch));
    // Grants that were in flight do not restore the lease.
    assert_eq!(
        lease.on_lease_reply(at(4), NodeId(3), &grant, FIRST, is_majority),
        LeaseProgress::Pending
    );
    assert!(lease.held_epoch(at(4)).is_none());
    assert!(lease.release().is_none());
    let next = lease.tick(at(6), true, FIRST).expect("a new request");
    assert!(next.epoch > released.epoch);
}

#[test]
fn a_pending_request_is_released_as_well() {
    let mut lease = candidate();
    let pending = lease.tick(at(0), true, FIRST).expect("a request");
    assert_eq!(
        lease.release().map(|release| release.epoch),
        Some(pending.epoch)
    );
    let grant = granted(&pending);
    assert_eq!(
        lease.on_lease_reply(at(2), NodeId(OTHER), &grant, FIRST, |_| true),
        LeaseProgress::Pending
    );
    assert!(lease.held_epoch(at(2)).is_none());
}

#[test]
fn a_suspended_candidate_does_not_acquire_a_lease_that_has_expired() {
    let mut lease = candidate();
    let pending = lease.tick(at(0), true, FIRST).expect("a request");
    // Otherwise the driver would start to act as lease holder.
    assert_eq!(
        lease.on_lease_reply(at(20_000), NodeId(OTHER), &granted(&pending), FIRST, |_| {
            true
        }),
        LeaseProgress::Pending
    );
    assert_eq!(lease.held_epoch(at(20_000)), None);
    assert!(!lease.is_held_at(at(20_000), FIRST));
}
