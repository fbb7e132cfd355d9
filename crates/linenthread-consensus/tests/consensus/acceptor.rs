//! Tests of the acceptor: which nodes vote, on which numbers, and under which ballots.

use linenthread_consensus::{AfterSync, DurableState, Effect, Incarnation, NodeId, Register};
use linenthread_messages::{Accept, Ballot, PeerMessage, Prepare, Record};
use yare::parameterized;

use crate::fixtures::{at, register, value};
use crate::trio::Trio;

fn prepare(number: u64, round: u64, proposer: u64) -> PeerMessage {
    PeerMessage::Prepare(Prepare {
        number,
        ballot: Ballot { round, proposer },
    })
}

/// Reports whether the register makes a promise, for which it writes a record.
fn promises(register: &mut Register, number: u64, round: u64) -> bool {
    let mut effects = Vec::new();
    register.on_message(at(0), NodeId(3), prepare(number, round, 3), &mut effects);
    effects
        .iter()
        .any(|effect| matches!(effect, Effect::Persist { .. }))
}

fn is_rejection(effect: &Effect) -> bool {
    matches!(
        effect,
        Effect::Send {
            message: PeerMessage::Rejected(_),
            ..
        }
    )
}

fn records(effects: Vec<Effect>) -> Vec<Record> {
    let record = |effect| match effect {
        Effect::Persist { record, .. } => Some(record),
        _ => None,
    };
    effects.into_iter().filter_map(record).collect()
}

fn restored(records: &[Record]) -> DurableState {
    let mut state = DurableState::default();
    records.iter().for_each(|record| state.add(record.clone()));
    state
}

#[test]
fn a_lower_ballot_than_the_promised_one_is_rejected() {
    let (mut register, mut effects) = (register(1, 77), Vec::new());
    let promised = Ballot {
        round: 5,
        proposer: 2,
    };
    register.on_message(at(0), NodeId(2), prepare(1, 5, 2), &mut effects);
    assert!(
        matches!(&effects[..], [Effect::Persist { after_sync, .. }] if matches!(after_sync[..], [AfterSync::Send { message: PeerMessage::Promise(_), .. }]))
    );
    effects.clear();
    let accept = Accept {
        ballot: Ballot {
            round: 4,
            proposer: 3,
        },
        value: value(1),
    };
    register.on_message(at(0), NodeId(3), PeerMessage::Accept(accept), &mut effects);
    assert!(
        matches!(&effects[..], [Effect::Send { message: PeerMessage::Rejected(rejected), .. }] if rejected.promised == promised)
    );
}

#[parameterized(
    not_a_voter = { 9, 1, false },
    voter = { 1, 1, true },
    previous_value_missing = { 1, 2, false },
    already_decided = { 1, 0, false },
)]
fn only_a_voter_that_has_the_previous_value_votes(id: u64, number: u64, votes: bool) {
    let (mut register, mut effects) = (register(id, id * 77), Vec::new());
    register.on_message(at(0), NodeId(2), prepare(number, 1, 2), &mut effects);
    assert_eq!(
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::Persist { .. })),
        votes
    );
}

/// A restart may find any prefix of the records on disk. With the complete sequence, the node must keep its promise.
#[test]
fn a_promise_is_kept_after_a_restart() {
    let mut trio = Trio::new();
    trio.propose_order(1, 1, 0, 3);
    let mut effects = Vec::new();
    trio.register(1)
        .on_message(at(0), NodeId(2), prepare(2, 9, 2), &mut effects);
    trio.execute(1, effects);
    let records = trio.records(1);
    for length in 0..=records.len() {
        let state = restored(&records[..length]);
        let compacted = restored(&state.records());
        for state in [state, compacted] {
            let mut restarted =
                Register::new(NodeId(1), state, Some(value(0)), Incarnation::new(5));
            let mut effects = Vec::new();
            restarted.on_message(at(0), NodeId(3), prepare(2, 8, 3), &mut effects);
            let is_complete = length == records.len();
            assert_eq!(effects.iter().any(is_rejection), is_complete);
        }
    }
}

/// Returns the records of a node that learned value 1 and accepted value 2, but whose disk dropped the record of
/// value 1.
fn records_without_value_1() -> Vec<Record> {
    let (mut register, mut effects) = (register(1, 5), Vec::new());
    register.on_message(
        at(0),
        NodeId(2),
        PeerMessage::Decided(value(1)),
        &mut effects,
    );
    effects.clear();
    let accept = Accept {
        ballot: Ballot {
            round: 4,
            proposer: 2,
        },
        value: value(2),
    };
    register.on_message(at(0), NodeId(2), PeerMessage::Accept(accept), &mut effects);
    records(effects)
}

#[test]
fn a_node_does_not_vote_on_numbers_below_the_accepted_one() {
    let state = restored(&records_without_value_1());
    let mut register = Register::new(NodeId(1), state, Some(value(0)), Incarnation::new(6));
    // Value 1 is decided, so the node must not vote for another one.
    assert!(!promises(&mut register, 1, 9));
    // After the node has received value 1 again, its promise for value 2 is still in force.
    register.on_message(
        at(0),
        NodeId(2),
        PeerMessage::Decided(value(1)),
        &mut Vec::new(),
    );
    assert!(!promises(&mut register, 2, 3));
    assert!(promises(&mut register, 2, 5));
    assert!(register.has_undecided_value());
}
