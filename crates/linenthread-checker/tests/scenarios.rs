//! Explores small scenarios completely: no invariant is violated, and the situations that they aim at are reached.

use linenthread_checker::{
    EventBudget, LeaseScenario, Model, Report, Scenario, ScheduledCall, explore,
};
use yare::parameterized;

const MAX_STATES: usize = 100_000;

fn scenario(calls: &str) -> Scenario {
    Scenario {
        calls: Scenario::parse_calls(calls).expect("the calls are valid"),
        ..Scenario::default()
    }
}

fn explore_all(model: &impl Model) -> Report {
    let report = explore(model, MAX_STATES);
    assert!(report.complete, "after {} states", report.states);
    for violation in &report.violations {
        println!("{}: {}", violation.invariant, violation.trace.join("\n"));
    }
    assert!(report.violations.is_empty());
    report
}

#[test]
fn competing_orders_on_one_base_are_acknowledged_or_rejected() {
    let report = explore_all(&scenario("1:a,2:b"));
    assert!(report.reached("acknowledged") > 0 && report.reached("rejected") > 0);
}

#[test]
fn an_order_submitted_to_two_nodes_is_acknowledged_and_never_rejected() {
    let report = explore_all(&scenario("1:a,2:a"));
    assert!(report.reached("acknowledged") > 0 && report.reached("rejected") == 0);
}

#[test]
fn a_node_restart_during_an_order_violates_no_invariant() {
    let report = explore_all(&Scenario {
        budget: EventBudget {
            crashes: 1,
            ..EventBudget::default()
        },
        slow_disks: true,
        ..scenario("1:a")
    });
    assert!(report.reached("acknowledged") > 0);
}

#[test]
fn a_read_concurrent_with_an_order_completes() {
    let report = explore_all(&scenario("1:a,1:read"));
    assert!(report.reached("acknowledged") > 0 && report.reached("read") > 0);
}

#[test]
fn a_node_with_a_lost_disk_is_replaced_as_a_voter() {
    let report = explore_all(&Scenario {
        budget: EventBudget {
            lost_disks: 1,
            ..EventBudget::default()
        },
        ..scenario("1:a,1:replace")
    });
    assert!(report.reached("acknowledged") > 0 && report.reached("voter replaced") > 0);
}

#[test]
fn a_lease_is_released_and_granted_to_another_node() {
    let report = explore_all(&LeaseScenario {
        steps: 1,
        requests: 2,
        crashes: 0,
        releases: 1,
    });
    assert!(
        report.reached("held after a release") > 0 && report.reached("held by two in turn") > 0
    );
}

#[test]
fn a_search_that_reaches_the_state_limit_is_reported_as_incomplete() {
    let report = explore(&scenario("1:a,2:b"), 100);
    assert!(!report.complete && report.violations.is_empty());
}

#[parameterized(no_such_node = { "4:a" }, node_zero = { "0:a" }, no_such_call = { "1:d" }, empty = { "" })]
fn a_malformed_call_is_rejected(text: &str) {
    assert!(Scenario::parse_calls(text).is_err());
}

#[test]
fn calls_are_formatted_as_they_are_parsed() {
    let list = "1:a,2:b,1:c,2:replace,3:read";
    let calls = Scenario::parse_calls(list).expect("the calls are valid");
    let written: Vec<String> = calls.iter().map(ScheduledCall::to_string).collect();
    assert_eq!(written.join(","), list);
}
