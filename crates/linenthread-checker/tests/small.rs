//! Small instances, explored to their end: nothing is broken, and what they are about does come about.

use linenthread_checker::{Instance, LeaseInstance, Report, explore};
use yare::parameterized;

const NO_FAULTS: Instance = Instance {
    calls: Vec::new(),
    ticks: 0,
    duplicates: 0,
    crashes: 0,
    lost_disks: 0,
    slow_disks: false,
};

const MOST_STATES: usize = 100_000;

fn explored(calls: &str, faults: Instance) -> Report {
    let calls = Instance::parse_calls(calls).expect("calls");
    whole(explore(&Instance { calls, ..faults }, MOST_STATES))
}

fn whole(report: Report) -> Report {
    assert!(report.complete, "after {} states", report.states);
    for breach in &report.breaches {
        println!("{}: {}", breach.invariant, breach.trace.join("\n"));
    }
    assert!(report.breaches.is_empty());
    report
}

#[test]
fn two_orders_race_for_one_base() {
    let report = explored("1:a,2:b", NO_FAULTS);
    assert!(report.reached("acknowledged") > 0 && report.reached("refused") > 0);
}

#[test]
fn one_order_comes_to_two_nodes() {
    let report = explored("1:a,2:a", NO_FAULTS);
    assert!(report.reached("acknowledged") > 0 && report.reached("refused") == 0);
}

#[test]
fn an_order_and_a_node_that_starts_anew() {
    let report = explored(
        "1:a",
        Instance {
            crashes: 1,
            slow_disks: true,
            ..NO_FAULTS
        },
    );
    assert!(report.reached("acknowledged") > 0);
}

#[test]
fn a_read_beside_an_order() {
    let report = explored("1:a,1:read", NO_FAULTS);
    assert!(report.reached("acknowledged") > 0 && report.reached("read") > 0);
}

#[test]
fn a_lost_disk_is_replaced() {
    let report = explored(
        "1:a,1:replace",
        Instance {
            lost_disks: 1,
            ..NO_FAULTS
        },
    );
    assert!(report.reached("acknowledged") > 0 && report.reached("replaced") > 0);
}

#[test]
fn a_lease_is_released_and_taken_by_another() {
    let instance = LeaseInstance {
        steps: 1,
        requests: 2,
        crashes: 0,
        releases: 1,
    };
    let report = whole(explore(&instance, MOST_STATES));
    assert!(
        report.reached("held after a release") > 0 && report.reached("held by two in turn") > 0
    );
}

#[test]
fn a_search_that_is_cut_short_says_so() {
    let calls = Instance::parse_calls("1:a,2:b").expect("calls");
    let report = explore(&Instance { calls, ..NO_FAULTS }, 100);
    assert!(!report.complete && report.breaches.is_empty());
}

#[parameterized(no_such_node = { "4:a" }, no_node = { "0:a" }, no_such_call = { "1:d" }, no_call = { "" })]
fn what_is_no_call_is_refused(words: &str) {
    assert!(Instance::parse_calls(words).is_err());
}
