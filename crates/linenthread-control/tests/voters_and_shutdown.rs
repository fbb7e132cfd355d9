//! Who votes next, and when a node that shuts down may exit, as tables of cases.

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

/// Voters 1, 2, 3 and so on: `+` as they should be, `s` silent for a moment, `l` lost, `g` leaving, `r`
/// replaced at their address, `e` ended after it had left.
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

/// The ids of the next voters, if they change.
fn next_ids(states: &str, standbys: &[u64], min_voters: usize) -> Option<Vec<u64>> {
    let next = next_voters(&view(states, standbys, min_voters))?;
    Some(next.iter().map(|voter| voter.id).collect())
}

#[parameterized(
    nothing = { "+++", &[], 3, None },
    one_more_up_to_the_least = { "+++", &[7], 5, Some(&[1, 2, 3, 7]) },
    one_more_to_an_odd_number = { "++++", &[7], 3, Some(&[1, 2, 3, 4, 7]) },
    two_more = { "+++", &[7, 8], 3, Some(&[1, 2, 3, 7]) },
    one_more_than_enough_stands_by = { "+++", &[7], 3, None },
    one_more_beside_a_silent_one = { "+s+", &[7], 5, None },
    two_more_beside_a_silent_one = { "+s+", &[7, 8], 3, None },
    lost_for_a_standby = { "+l+", &[7, 8], 3, Some(&[1, 7, 3]) },
    lost_and_least = { "+l+", &[], 3, None },
    lost_and_enough = { "+l++", &[], 3, Some(&[1, 3, 4]) },
    leaving_for_a_standby = { "++g", &[7], 3, Some(&[1, 2, 7]) },
    leaving_and_least = { "++g", &[], 3, None },
    leaving_and_one_too_many = { "++g+", &[], 3, Some(&[1, 2, 4]) },
    leaving_of_five_that_bear_one_down = { "++g++", &[], 3, None },
    leaving_of_five_that_must_bear_two = { "++g++", &[], 5, None },
    leaving_of_six_that_must_bear_two = { "++g+++", &[], 5, Some(&[1, 2, 4, 5, 6]) },
    two_leaving_of_five_that_bear_one_down = { "++gg+", &[], 3, Some(&[1, 2, 4, 5]) },
    two_leaving_of_nine_that_must_bear_three = { "++gg+++++", &[], 7, Some(&[1, 2, 4, 5, 6, 7, 8, 9]) },
    one_leaving_of_nine_that_must_bear_three = { "++g++++++", &[], 7, None },
    ended_before_leaving = { "g++e+", &[], 3, Some(&[1, 2, 3, 5]) },
    ended_before_leaving_for_a_standby = { "g+e", &[7], 3, Some(&[1, 2, 7]) },
    lost_before_leaving = { "+gl", &[7], 3, Some(&[1, 2, 7]) },
    replaced_with_no_standby_there = { "+r+", &[], 3, None },
)]
fn one_voter_comes_or_goes_at_a_time(
    states: &str,
    standbys: &[u64],
    min_voters: usize,
    next: Option<&[u64]>,
) {
    let ids = next_ids(states, standbys, min_voters);
    assert_eq!(ids.as_deref(), next);
}

#[test]
fn a_replaced_voter_is_succeeded_by_the_node_at_its_address() {
    let mut view = view("rl+", &[7], 3);
    view.ready_standbys.push(Voter {
        id: 8,
        address: "address 1".into(),
    });
    let ids: Vec<u64> = next_voters(&view).unwrap().iter().map(|v| v.id).collect();
    assert_eq!(ids, [8, 7, 3], "the other one takes the place that is left");
}

#[parameterized(
    two_lost_for_two_standbys = { "+ll++", &[7, 8], 5, Some(&[1, 7, 8, 4, 5]) },
    two_lost_for_one_standby = { "+ll++", &[7], 5, Some(&[1, 7, 3, 4, 5]) },
    the_rest_of_two_lost = { "+l+++", &[], 5, None },
    lost_for_a_standby_and_no_more = { "+l+++", &[7, 8, 9], 5, Some(&[1, 7, 3, 4, 5]) },
    lost_goes_before_leaving = { "gl+l+", &[7, 8], 5, Some(&[1, 7, 3, 8, 5]) },
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

/// Voters 1, 2, 3 and so on, of which this node is `own`: `+` in contact, `l` leaving, `d` departed, `a`
/// absent; upper case (`P` for `+`) where its disk does not hold the newest value.
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
    others_hold_all = { 3, "+++", true },
    one_lags = { 3, "+P+", false },
    one_is_absent = { 3, "+a+", false },
    one_departed = { 3, "+d+", false },
    a_later_one_leaves = { 2, "++l", true },
    an_earlier_one_leaves = { 3, "+l+", false },
    all_others_leave = { 3, "ll+", true },
    all_others_left = { 3, "dd+", true },
    all_others_left_and_one_lagged = { 3, "Dd+", false },
    three_of_five = { 5, "++P++", true },
    two_of_five = { 5, "+PP++", false },
    removed_and_held = { 9, "++P", true },
    removed_and_not_held = { 9, "+PP", false },
    removed_while_a_voter_leaves = { 9, "+lP", true },
    alone = { 1, "+", true },
    of_two = { 1, "+P", false },
    of_two_that_hold = { 1, "++", true },
)]
fn a_node_exits_when_the_others_hold_everything(own: u64, states: &str, exits: bool) {
    assert_eq!(
        next_shutdown_step(&shutdown_view(own, states)) == ShutdownStep::Exit,
        exits
    );
}

#[parameterized(
    undecided = { ShutdownView { local: LocalWork { has_undecided_value: true, ..LocalWork::default() }, ..shutdown_view(3, "+++") }, false },
    busy = { ShutdownView { local: LocalWork { has_pending_calls: true, ..LocalWork::default() }, ..shutdown_view(3, "+++") }, false },
    a_standby_comes = { ShutdownView { peers: PeerWork { has_standby: true, ..PeerWork::default() }, ..shutdown_view(3, "+++") }, false },
    unacknowledged = { ShutdownView { peers: PeerWork { has_unacknowledged: true, ..PeerWork::default() }, ..shutdown_view(3, "+++") }, false },
    voters_change = { ShutdownView { peers: PeerWork { is_reconfiguring: true, ..PeerWork::default() }, ..shutdown_view(3, "+++") }, false },
    others_change = { ShutdownView { peers: PeerWork { is_reconfiguring: true, ..PeerWork::default() }, ..shutdown_view(9, "+++") }, false },
    a_standby_for_others = { ShutdownView { peers: PeerWork { has_standby: true, ..PeerWork::default() }, ..shutdown_view(9, "+++") }, true },
    one_too_many = { shutdown_view(3, "++++"), false },
    five_that_bear_one_down = { shutdown_view(3, "+++++"), true },
    five_with_two_that_go = { shutdown_view(3, "++++l"), false },
    five_with_one_that_went = { shutdown_view(3, "++++d"), false },
)]
fn what_else_a_shutdown_waits_for(view: ShutdownView, exits: bool) {
    assert_eq!(next_shutdown_step(&view) == ShutdownStep::Exit, exits);
}

#[test]
fn a_leader_releases_its_lease_last() {
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
