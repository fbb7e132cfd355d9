//! Tests of orders and reads with and without a majority.

use linenthread_consensus::{JobId, Outcome, UnknownReason};
use yare::parameterized;

use crate::cluster::{committed, conflict};
use crate::fixtures::at;
use crate::trio::Trio;

#[parameterized(
    on_the_newest_revision = { 3, 5, committed(5) },
    resubmitted = { 0, 3, committed(3) },
    on_another_base = { 0, 5, conflict(3) },
    not_above_the_newest_revision = { 3, 2, conflict(3) },
)]
fn an_order_is_committed_once_and_only_on_its_base(base: u64, revision: u64, outcome: Outcome) {
    let mut trio = Trio::new();
    trio.propose_order(1, 1, 0, 3);
    trio.propose_order(2, 2, base, revision);
    assert_eq!(trio.last_outcome(), &outcome);
}

#[test]
fn a_minority_acknowledges_nothing_and_reads_nothing() {
    let mut trio = Trio::new();
    trio.isolated = vec![2, 3];
    trio.propose_order(1, 1, 0, 3);
    trio.read(1, 2);
    assert!(trio.replies.is_empty());
    let mut effects = Vec::new();
    trio.register(1).tick(at(1_000), &mut effects);
    trio.execute(1, effects);
    assert_eq!(
        trio.replies,
        [
            (JobId(1), Outcome::Unknown(UnknownReason::TimedOut)),
            (JobId(2), Outcome::Unknown(UnknownReason::TimedOut))
        ]
    );
}
