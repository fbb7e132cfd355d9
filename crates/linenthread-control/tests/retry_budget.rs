//! The retry budget: the granted shares never exceed the allowance.

use std::time::Duration;

use linenthread_control::{EarlierGrants, Incarnation, IngressIncarnation, RetryBudget};
use linenthread_time::Instant;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn ingress(name: &str, incarnation: u64) -> IngressIncarnation {
    IngressIncarnation {
        name: name.to_owned(),
        incarnation: Incarnation::new(incarnation),
    }
}

#[test]
fn shares_stay_within_the_allowance_as_ingress_nodes_join_and_restart() {
    let mut budget = RetryBudget::new(12.0, ms(10_000));
    budget.start_granting(at(0), EarlierGrants::None);
    assert_eq!(budget.grant(at(0), &ingress("a", 1), 1), 6.0);
    assert_eq!(budget.grant(at(0), &ingress("b", 1), 2), 4.0);
    // The larger first share of `a` may be in use in full until the grant's lifetime and a window have passed.
    assert_eq!(budget.grant(at(100), &ingress("a", 1), 2), 4.0);
    assert_eq!(budget.grant(at(100), &ingress("c", 1), 3), 2.0);
    assert!(budget.total_granted(at(100)) <= 12.0);
    // A new incarnation is granted only what the old one can't be using.
    assert_eq!(budget.grant(at(200), &ingress("a", 2), 3), 0.0);
    for now in [5_000, 10_000, 14_000].map(at) {
        budget.grant(now, &ingress("b", 1), 3);
        budget.grant(now, &ingress("c", 1), 3);
    }
    assert_eq!(budget.grant(at(15_300), &ingress("a", 2), 3), 3.0);
    assert!(budget.total_granted(at(15_300)) <= 12.0);
}

#[test]
fn a_new_leader_grants_nothing_until_all_earlier_grants_have_expired() {
    let mut budget = RetryBudget::new(12.0, ms(10_000));
    budget.start_granting(at(1_000), EarlierGrants::MayBeInUse);
    assert_eq!(budget.grant(at(15_999), &ingress("a", 1), 1), 0.0);
    assert_eq!(budget.grant(at(16_000), &ingress("a", 1), 1), 6.0);
}
