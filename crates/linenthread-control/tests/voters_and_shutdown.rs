//! Tables of cases for the choice of the next voters and for the steps of a graceful shutdown.

use linenthread_consensus::NodeId;
use linenthread_control::graceful_shutdown::{
    LocalWork, PeerVoter, PeerWork, Presence, ShutdownStep, ShutdownView, next_shutdown_step,
};
use linenthread_control::reconfiguration::{VoterContact, VoterState, VotersView, next_voters};
use linenthread_messages::Voter;
use yare::parameterized;

fn voter(id: u64) -> Voter {
    Voter {
        id,
        address: format!("address {id}"),
    }
}

/// Voters 1, 2, 3 and so on: `+` in contact, `s` silent for a short time, `l` lost, `g` shutting down, `r` replaced at
/// their address, `e` exited after a graceful shutdown.
fn view(states: &str, standbys: &[u64], min_voters: usize) -> VotersView {
    let state = |(i, c): (usize, char)| VoterState {
        voter: voter(i as u64 + 1),
        contact: match c {
            'l' => VoterContact::Lost,
            's' | 'r' | 'e' => VoterContact::OutOfContact,
            _ => VoterContact::InContact,
        },
        shutting_down: c == 'g' || c == 'e',
        replaced: c == 'r',
    };
    let standbys = standbys.iter().map(|id| voter(*id)).collect();
    VotersView {
        voters: states.chars().enumerate().map(state).collect(),
        ready_standbys: standbys,
        min_voters,
    }
}

/// Returns the ids of the next voters, if they change.
fn next_ids(states: &str, standbys: &[u64], min_voters: usize) -> Option<Vec<u64>> {
    let next = next_voters(&view(states, standbys, min_voters))?;
    Some(next.iter().map(|voter| voter.id).collect())
}

#[parameterized(
    no_change = { "+++", &[], 3, None },
    added_below_the_minimum = { "+++", &[7], 5, Some(&[1, 2, 3, 7]) },
    added_to_an_even_number = { "++++", &[7], 3, Some(&[1, 2, 3, 4, 7]) },
    added_with_two_standbys = { "+++", &[7, 8], 3, Some(&[1, 2, 3, 7]) },
    not_added_with_one_standby = { "+++", &[7], 3, None },
    not_added_beside_a_silent_voter = { "+s+", &[7], 5, None },
    not_added_beside_a_silent_voter_with_two_standbys = { "+s+", &[7, 8], 3, None },
    lost_with_a_standby = { "+l+", &[7, 8], 3, Some(&[1, 7, 3]) },
    lost_at_the_minimum = { "+l+", &[], 3, None },
    lost_above_the_minimum = { "+l++", &[], 3, Some(&[1, 3, 4]) },
    shutting_down_with_a_standby = { "++g", &[7], 3, Some(&[1, 2, 7]) },
    shutting_down_at_the_minimum = { "++g", &[], 3, None },
    shutting_down_of_four = { "++g+", &[], 3, Some(&[1, 2, 4]) },
    shutting_down_of_five_that_tolerate_one_down = { "++g++", &[], 3, None },
    shutting_down_of_five_that_must_tolerate_two = { "++g++", &[], 5, None },
    shutting_down_of_six_that_must_tolerate_two = { "++g+++", &[], 5, Some(&[1, 2, 4, 5, 6]) },
    two_shutting_down_of_five_that_tolerate_one_down = { "++gg+", &[], 3, Some(&[1, 2, 4, 5]) },
    two_shutting_down_of_nine_that_must_tolerate_three = { "++gg+++++", &[], 7, Some(&[1, 2, 4, 5, 6, 7, 8, 9]) },
    one_shutting_down_of_nine_that_must_tolerate_three = { "++g++++++", &[], 7, None },
    departed_is_removed_before_shutting_down = { "g++e+", &[], 3, Some(&[1, 2, 3, 5]) },
    departed_is_replaced_before_shutting_down = { "g+e", &[7], 3, Some(&[1, 2, 7]) },
    lost_is_replaced_before_shutting_down = { "+gl", &[7], 3, Some(&[1, 2, 7]) },
    replaced_without_a_standby = { "+r+", &[], 3, None },
)]
fn one_voter_changes_at_a_time(
    states: &str,
    standbys: &[u64],
    min_voters: usize,
    next: Option<&[u64]>,
) {
    let ids = next_ids(states, standbys, min_voters);
    assert_eq!(ids.as_deref(), next);
}

#[test]
fn the_node_at_the_address_of_a_replaced_voter_succeeds_it() {
    let mut view = view("rl+", &[7], 3);
    view.ready_standbys.push(Voter {
        id: 8,
        address: "address 1".into(),
    });
    let ids: Vec<u64> = next_voters(&view).unwrap().iter().map(|v| v.id).collect();
    assert_eq!(ids, [8, 7, 3], "the other standby replaces the lost voter");
}

#[parameterized(
    two_lost_with_two_standbys = { "+ll++", &[7, 8], 5, Some(&[1, 7, 8, 4, 5]) },
    two_lost_with_one_standby = { "+ll++", &[7], 5, Some(&[1, 7, 3, 4, 5]) },
    lost_without_a_standby = { "+l+++", &[], 5, None },
    lost_with_more_standbys_than_needed = { "+l+++", &[7, 8, 9], 5, Some(&[1, 7, 3, 4, 5]) },
    two_lost_are_replaced_before_shutting_down = { "gl+l+", &[7, 8], 5, Some(&[1, 7, 3, 8, 5]) },
)]
fn all_lost_voters_are_replaced_at_once(
    states: &str,
    standbys: &[u64],
    min_voters: usize,
    next: Option<&[u64]>,
) {
    let ids = next_ids(states, standbys, min_voters);
    assert_eq!(ids.as_deref(), next);
}

/// Voters 1, 2, 3 and so on, where this node has the id `own`: `+` in contact, `l` shutting down, `d` departed, `a` out
/// of contact; in upper case (`P` for `+`) if the voter's disk does not hold the newest value.
fn shutdown_view(own: u64, states: &str) -> ShutdownView {
    let voter = |(i, c): (usize, char)| PeerVoter {
        node_id: NodeId(i as u64 + 1),
        durable: !c.is_uppercase(),
        presence: match c.to_ascii_lowercase() {
            'l' => Presence::ShuttingDown,
            'd' => Presence::Departed,
            'a' => Presence::OutOfContact,
            _ => Presence::InContact,
        },
    };
    let voters = states.chars().enumerate().map(voter).collect();
    ShutdownView {
        node_id: NodeId(own),
        voters,
        min_voters: 3,
        local: LocalWork::default(),
        peers: PeerWork::default(),
    }
}

#[parameterized(
    all_others_have_copies = { 3, "+++", true },
    one_other_lacks_a_copy = { 3, "+P+", false },
    one_is_out_of_contact = { 3, "+a+", false },
    one_departed = { 3, "+d+", false },
    a_later_one_shuts_down = { 2, "++l", true },
    an_earlier_one_shuts_down = { 3, "+l+", false },
    all_others_shut_down = { 3, "ll+", true },
    all_others_departed = { 3, "dd+", true },
    all_others_departed_and_one_lacks_a_copy = { 3, "Dd+", false },
    three_copies_of_five = { 5, "++P++", true },
    two_copies_of_five = { 5, "+PP++", false },
    not_a_voter_with_a_majority_of_copies = { 9, "++P", true },
    not_a_voter_without_a_majority_of_copies = { 9, "+PP", false },
    not_a_voter_while_a_voter_shuts_down = { 9, "+lP", true },
    only_voter = { 1, "+", true },
    one_of_two_without_another_copy = { 1, "+P", false },
    one_of_two_with_another_copy = { 1, "++", true },
)]
fn a_node_exits_when_enough_other_voters_hold_the_newest_value(
    own: u64,
    states: &str,
    exits: bool,
) {
    assert_eq!(
        next_shutdown_step(&shutdown_view(own, states)) == ShutdownStep::Exit,
        exits
    );
}

#[parameterized(
    undecided_value = { ShutdownView { local: LocalWork { has_undecided_value: true, ..LocalWork::default() }, ..shutdown_view(3, "+++") }, false },
    pending_calls = { ShutdownView { local: LocalWork { has_pending_calls: true, ..LocalWork::default() }, ..shutdown_view(3, "+++") }, false },
    a_standby_replaces_it = { ShutdownView { peers: PeerWork { has_standby: true, ..PeerWork::default() }, ..shutdown_view(3, "+++") }, false },
    unacknowledged = { ShutdownView { peers: PeerWork { has_unacknowledged: true, ..PeerWork::default() }, ..shutdown_view(3, "+++") }, false },
    the_voters_change = { ShutdownView { peers: PeerWork { is_reconfiguring: true, ..PeerWork::default() }, ..shutdown_view(3, "+++") }, false },
    the_voters_change_for_a_node_that_is_not_a_voter = { ShutdownView { peers: PeerWork { is_reconfiguring: true, ..PeerWork::default() }, ..shutdown_view(9, "+++") }, false },
    a_standby_for_a_node_that_is_not_a_voter = { ShutdownView { peers: PeerWork { has_standby: true, ..PeerWork::default() }, ..shutdown_view(9, "+++") }, true },
    one_of_four_is_removed = { shutdown_view(3, "++++"), false },
    five_that_tolerate_one_down = { shutdown_view(3, "+++++"), true },
    five_with_two_that_shut_down = { shutdown_view(3, "++++l"), false },
    five_with_one_that_departed = { shutdown_view(3, "++++d"), false },
)]
fn a_shutdown_waits_for_calls_values_and_voter_changes(view: ShutdownView, exits: bool) {
    assert_eq!(next_shutdown_step(&view) == ShutdownStep::Exit, exits);
}

#[test]
fn a_leader_releases_its_lease_only_when_nothing_else_is_left() {
    let view = ShutdownView {
        local: LocalWork {
            is_leader: true,
            ..LocalWork::default()
        },
        ..shutdown_view(3, "+++")
    };
    assert_eq!(next_shutdown_step(&view), ShutdownStep::ReleaseLease);
    let waits = ShutdownView {
        local: LocalWork {
            is_leader: true,
            ..LocalWork::default()
        },
        ..shutdown_view(3, "+P+")
    };
    assert!(matches!(next_shutdown_step(&waits), ShutdownStep::Wait(_)));
}
