//! The worst days that users have met with systems of this kind, on real processes: a few rounds each. What
//! each scenario does and judges stands in `linenthread-demo`; `linenthread-demo rounds` plays them for
//! longer.

use std::path::Path;

use linenthread_demo::rounds::{Scale, Scenario};
use oorandom::Rand64;

/// Plays a scenario once and tells every rule that did not hold.
fn holds(scenario: Scenario, seed: u64) {
    let program = Path::new(env!("CARGO_BIN_EXE_linenthread-node"));
    let mut random = Rand64::new(u128::from(seed));
    let found = scenario
        .play(program, &Scale::BRIEF, &mut random)
        .expect("a cluster");
    let breaches: Vec<String> = found.breaches.iter().map(ToString::to_string).collect();
    assert!(
        breaches.is_empty(),
        "{}\n{}",
        breaches.join("\n"),
        found.notes.join("\n")
    );
    assert!(found.checks > 0);
}

/// Point 1: a control node that was cut off hands out no old configuration and settles no order by old state.
#[test]
fn a_node_that_was_stopped_past_every_lease_answers_nothing_by_old_state() {
    holds(Scenario::FrozenNode, 1);
}

/// Point 1: a control node without a majority confirms and refuses nothing, and traffic goes on.
#[test]
fn a_node_without_the_others_settles_nothing_and_traffic_goes_on() {
    holds(Scenario::Minority, 2);
}

/// Point 2: of two orders under one number one is taken and the other refused, by every node, also after
/// restarts.
#[test]
fn of_two_orders_under_one_number_one_is_taken() {
    holds(Scenario::TwoOperators, 3);
}

/// Point 2: an order that is sent again after a lost answer, a hundred orders later, is not refused.
#[test]
fn an_order_that_is_sent_again_after_many_others_is_not_refused() {
    holds(Scenario::LateRepeat, 4);
}

/// Point 3: a second loss right after a planned replacement leaves a majority, and nothing is lost.
#[test]
fn a_loss_right_after_a_replacement_costs_nothing() {
    holds(Scenario::LossAfterReplacement, 5);
}

/// Point 3: a second loss at any instant of a planned replacement costs nothing either.
#[test]
fn a_loss_during_a_replacement_costs_nothing() {
    holds(Scenario::LossDuringReplacement, 6);
}

/// Point 3: a member that leaves for a restart never holds the only copy.
#[test]
fn a_rolling_restart_loses_and_refuses_no_order() {
    holds(Scenario::RollingRestart, 7);
}

/// Point 4: a member that missed hundreds of changes catches up and never serves old state.
#[test]
fn a_node_that_missed_hundreds_of_changes_catches_up() {
    holds(Scenario::CatchUp, 8);
}

/// Point 5: no answer goes to the wrong caller, and what must not be repeated runs at most once.
#[test]
fn wrong_answers_of_replicas_reach_no_caller() {
    holds(Scenario::WrongAnswers, 9);
}
