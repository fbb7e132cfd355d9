//! The worst faults that users have met with systems of this kind, as scenarios on real processes, a few rounds each.
//! The scenarios and their checks are in `linenthread-demo`; `linenthread-demo rounds` runs them for longer. The points
//! are those of its option `--point`.

mod scenario;

use linenthread_demo::scenarios::Scenario;

use scenario::assert_scenario_holds;

/// Point 1: a control node that was paused sends no outdated configuration and decides no order from outdated state.
#[test]
fn a_node_paused_past_every_lease_does_not_answer_from_outdated_state() {
    assert_scenario_holds(Scenario::PausedNode, 1);
}

/// Point 1: a control node without a majority neither confirms nor rejects an order, and traffic continues.
#[test]
fn a_node_without_quorum_confirms_no_order_and_traffic_continues() {
    assert_scenario_holds(Scenario::LostQuorum, 2);
}

/// Point 2: of two conflicting orders with the same revision, every node commits the same one and rejects the other,
/// also after restarts.
#[test]
fn of_two_orders_with_the_same_revision_only_one_is_committed() {
    assert_scenario_holds(Scenario::ConflictingOrders, 3);
}

/// Point 2: an order that is retried after a lost response is not rejected, even after a hundred later orders.
#[test]
fn an_order_that_is_retried_after_many_others_is_not_rejected() {
    assert_scenario_holds(Scenario::LateRetry, 4);
}

/// Point 3: if another node is lost right after a planned replacement, a majority remains and no order is lost.
#[test]
fn losing_a_node_right_after_a_replacement_loses_no_order() {
    assert_scenario_holds(Scenario::LossAfterReplacement, 5);
}

/// Point 3: if another node is lost at any time during a planned replacement, no order is lost.
#[test]
fn losing_a_node_during_a_replacement_loses_no_order() {
    assert_scenario_holds(Scenario::LossDuringReplacement, 6);
}

/// Point 3: a node that shuts down for a restart never has the only copy of an order.
#[test]
fn a_rolling_restart_loses_and_rejects_no_order() {
    assert_scenario_holds(Scenario::RollingRestart, 7);
}

/// Point 4: a node that missed hundreds of changes catches up and never serves outdated state.
#[test]
fn a_node_that_missed_hundreds_of_changes_catches_up() {
    assert_scenario_holds(Scenario::CatchUp, 8);
}

/// Point 6: guards against a revoked key that is still accepted (CONFIG), and a key that leaves the system (UNASKED).
#[test]
fn a_revoked_key_is_rejected_in_time_on_open_connections_and_no_key_is_logged() {
    assert_scenario_holds(Scenario::RevokedKeys, 10);
}

/// Point 5: no response reaches the wrong client, and requests that must not be repeated run at most once.
#[test]
fn invalid_responses_of_replicas_reach_no_client() {
    assert_scenario_holds(Scenario::FaultyReplicas, 9);
}
