//! Usage reports by real processes while their senders are killed and paused and the platform fails.
//!
//! These scenarios are a separate test program: reports have to arrive within the time that the platform sets, so these
//! clusters must not share the machine with those of all other scenarios.

mod scenario;

use linenthread_demo::scenarios::Scenario;

use scenario::assert_scenario_holds;

/// Point 7: guards against two senders, or two reports of a window, after a kill or a pause (ONE, Duty).
#[test]
fn each_window_is_reported_once_while_duty_holders_are_killed_and_paused() {
    assert_scenario_holds(Scenario::UsageReports, 11);
}

/// Point 7: guards against a report that is lost or differs after the platform was down, silent or slow (ONE, Duty).
#[test]
fn each_window_is_reported_once_after_the_platform_recovers() {
    assert_scenario_holds(Scenario::PlatformTrouble, 12);
}
