//! Tests of granting and holding the leader lease.

use std::collections::BTreeSet;

use linenthread_consensus::{Epoch, Incarnation, LeaderLease, LeaseProgress, NodeId, ValueNumber};
use linenthread_messages::{LeaseReply, Value};
use yare::parameterized;

use crate::fixtures::{self, at, granted, lease_request};

/// The incarnation of the node under test.
const INCARNATION: Incarnation = Incarnation::new(9);

/// The value of requests in tests that do not depend on it.
const FIRST: ValueNumber = ValueNumber::FIRST;

fn is_majority(ids: &BTreeSet<NodeId>) -> bool {
    ids.len() >= 2
}

/// Returns a candidate of three voters on the first start of all nodes.
fn candidate() -> LeaderLease {
    LeaderLease::new(INCARNATION, at(0), true, Epoch::NONE)
}

#[parameterized(
    no_grant_yet = { 5_000, 1, 7, 1, true },
    just_started = { 500, 1, 7, 1, false },
    another_within_the_grant = { 5_100, 2, 8, 2, false },
    another_after_the_grant = { 8_000, 2, 8, 2, true },
    an_earlier_epoch = { 8_000, 2, 8, 1, false },
    the_same_again = { 5_100, 1, 7, 1, true },
    the_same_under_a_new_epoch = { 5_100, 1, 7, 4, true },
    a_new_incarnation_under_the_old_epoch = { 5_100, 1, 6, 1, false },
    a_new_incarnation_under_a_new_epoch = { 5_100, 1, 6, 2, true },
)]
fn the_lease_is_granted_to_one_candidate_at_a_time(
    now: u64,
    from: u64,
    incarnation: u64,
    epoch: u64,
    granted: bool,
) {
    let mut lease = LeaderLease::new(INCARNATION, at(0), false, Epoch::NONE);
    if now > 5_000 {
        let earlier = lease_request(Incarnation::new(7), Epoch::FIRST, 1);
        lease.on_lease_request(at(5_000), NodeId(1), &earlier, Some(FIRST));
    }
    let request = lease_request(Incarnation::new(incarnation), Epoch::new(epoch), 2);
    let reply = lease.on_lease_request(at(now), NodeId(from), &request, Some(FIRST));
    assert_eq!(reply.granted, granted);
}

#[test]
fn an_expired_lease_is_not_held_again_by_a_late_grant() {
    let mut lease = candidate();
    let first = lease.tick(at(0), true, FIRST).expect("a request");
    let grant = granted(&first);
    assert_eq!(
        lease.on_lease_reply(at(1), NodeId(1), &grant, FIRST, is_majority),
        LeaseProgress::Pending
    );
    assert_eq!(
        lease.on_lease_reply(at(2), NodeId(2), &grant, FIRST, is_majority),
        LeaseProgress::Acquired {
            epoch: Epoch::FIRST
        }
    );
    assert_eq!(lease.held_epoch(at(1_000)), Some(Epoch::FIRST));
    assert_eq!(lease.held_epoch(at(3_000)), None);
    assert_eq!(
        lease.on_lease_reply(at(3_000), NodeId(3), &grant, FIRST, is_majority),
        LeaseProgress::Pending
    );
    let next = lease.tick(at(3_000), true, FIRST).expect("a new request");
    assert!(next.epoch > first.epoch);
}

#[test]
fn a_lease_is_held_at_a_value_only_by_grants_at_that_value() {
    let mut lease = candidate();
    let (seven, eight) = (ValueNumber::new(7), ValueNumber::new(8));
    let at_7 = lease.tick(at(0), true, seven).expect("a request");
    lease.on_lease_reply(at(1), NodeId(1), &granted(&at_7), seven, is_majority);
    assert_eq!(
        lease.on_lease_reply(at(2), NodeId(2), &granted(&at_7), seven, is_majority),
        LeaseProgress::Acquired {
            epoch: Epoch::new(at_7.epoch)
        }
    );
    assert!(lease.is_held_at(at(3), seven));
    // The next value may have other voters. They are asked immediately, and grants at the previous value no longer
    // count.
    assert!(lease.held_epoch(at(3)).is_some() && !lease.is_held_at(at(3), eight));
    let at_8 = lease.tick(at(4), true, eight).expect("a new request");
    lease.on_lease_reply(at(5), NodeId(1), &granted(&at_7), eight, is_majority);
    assert_eq!(
        lease.on_lease_reply(at(5), NodeId(2), &granted(&at_7), eight, is_majority),
        LeaseProgress::Pending
    );
    lease.on_lease_reply(at(6), NodeId(1), &granted(&at_8), eight, is_majority);
    assert_eq!(
        lease.on_lease_reply(at(6), NodeId(2), &granted(&at_8), eight, is_majority),
        LeaseProgress::RenewedAtNewValue
    );
    assert!(lease.is_held_at(at(7), eight));
    assert_eq!(
        (at_8.epoch, lease.held_epoch(at(7))),
        (at_7.epoch, Some(Epoch::new(at_7.epoch)))
    );
}

#[test]
fn grants_under_one_epoch_do_not_count_under_another() {
    let mut lease = candidate();
    let first = lease.tick(at(0), true, FIRST).expect("a request");
    let grant = granted(&first);
    lease.on_lease_reply(at(1), NodeId(1), &grant, FIRST, is_majority);
    let denied = LeaseReply {
        epoch: 6,
        granted: false,
        ..grant.clone()
    };
    lease.on_lease_reply(at(2), NodeId(2), &denied, FIRST, is_majority);
    assert_eq!(
        lease.on_lease_reply(at(3), NodeId(3), &grant, FIRST, is_majority),
        LeaseProgress::Pending
    );
    let next = lease.tick(at(500), true, FIRST).expect("a new request");
    assert_eq!((next.epoch, lease.held_epoch(at(500))), (7, None));
}

#[parameterized(
    same_value = { Some(FIRST), false, 1, true },
    a_value_is_undecided = { None, false, 1, false },
    another_value = { Some(FIRST.next()), false, 1, false },
    a_new_voter = { Some(FIRST), true, 1, false },
    not_above_the_epoch_of_the_value = { Some(FIRST), false, 0, false },
)]
fn a_voter_grants_only_at_its_own_value_and_above_its_epoch(
    value_number: Option<ValueNumber>,
    is_new_voter: bool,
    above: u64,
    granted: bool,
) {
    let mut lease = LeaderLease::new(INCARNATION, at(0), false, Epoch::NONE);
    lease.observe_epoch(Epoch::new(4));
    if is_new_voter {
        lease.on_became_voter(at(5_000));
    }
    let request = lease_request(Incarnation::new(7), Epoch::new(4 + above), 1);
    let reply = lease.on_lease_request(at(6_900), NodeId(1), &request, value_number);
    assert_eq!(reply.granted, granted);
    // After the waiting period, only the value and the epoch matter.
    let reply = lease.on_lease_request(at(7_100), NodeId(1), &request, Some(FIRST));
    assert_eq!(reply.granted, above > 0);
}

#[test]
fn grants_that_arrive_after_the_lease_would_have_expired_do_not_count() {
    let mut lease = candidate();
    let request = lease.tick(at(0), true, FIRST).expect("a request");
    let grant = granted(&request);
    lease.on_lease_reply(at(1), NodeId(1), &grant, FIRST, is_majority);
    // The process was suspended in the meantime.
    lease.on_lease_reply(at(5_000), NodeId(2), &grant, FIRST, is_majority);
    assert_eq!(lease.held_epoch(at(5_000)), None);
    assert!(!lease.is_held_at(at(5_000), FIRST));
}

/// Returns a value of this number whose voters were first named by the value of the number `voters_since`.
fn value_with_voters_since(number: u64, voters_since: u64) -> Value {
    Value {
        voters_since,
        ..fixtures::value(number)
    }
}

#[test]
fn the_epoch_of_a_new_request_is_above_all_earlier_eras() {
    let mut lease = candidate();
    let first = lease.tick(at(0), true, FIRST).expect("a request");
    assert_eq!(Epoch::new(first.epoch), Epoch::FIRST);
    let ninth = ValueNumber::new(9);
    lease.on_decided(&value_with_voters_since(9, 7));
    let next = lease.tick(at(10), true, ninth).expect("a request");
    let era = Epoch::before_era(ValueNumber::new(7));
    assert_eq!(Epoch::new(next.epoch), era.next());
    // Even the highest possible epoch of an earlier era is lower.
    let earlier = Epoch::before_era(ValueNumber::new(6));
    assert!(Epoch::new(earlier.get() + u64::from(u32::MAX)) < Epoch::new(next.epoch));
}

#[test]
fn a_held_lease_keeps_its_epoch_when_the_voters_change() {
    let mut lease = candidate();
    let first = lease.tick(at(0), true, FIRST).expect("a request");
    for voter in [1, 2] {
        lease.on_lease_reply(at(1), NodeId(voter), &granted(&first), FIRST, is_majority);
    }
    lease.on_decided(&value_with_voters_since(1, 1));
    let renewal = lease.tick(at(500), true, ValueNumber::new(1));
    assert_eq!(renewal.map(|request| request.epoch), Some(first.epoch));
}

#[parameterized(
    first_era = { Epoch::new(5), "5" },
    later_era = { Epoch::before_era(ValueNumber::new(7)).next(), "7.1" },
)]
fn an_epoch_is_displayed_as_era_and_count(epoch: Epoch, text: &str) {
    assert_eq!(epoch.to_string(), text);
}
