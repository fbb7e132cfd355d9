//! What an acceptor holds after a start, where its disk dropped a record in between.

use linenthread_consensus::{DurableState, Effect, Register};
use linenthread_messages::{Accept, Ballot, PeerMessage, Prepare, Record, Value, Voter};
use linenthread_time::Instant;

/// The instant this many milliseconds after the clock's start.
fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn value(number: u64) -> Value {
    let voters = (1..=3)
        .map(|id| Voter {
            id,
            address: format!("10.0.0.{id}:80"),
        })
        .collect();
    Value {
        number,
        voters,
        ..Value::default()
    }
}

/// The records of a node that learned value 1 and accepted value 2; the disk was behind and dropped value 1.
fn records() -> Vec<Record> {
    let mut register = Register::new(1, DurableState::default(), Some(value(0)), 5);
    let mut effects = Vec::new();
    register.on_message(at(0), 2, PeerMessage::Decided(value(1)), &mut effects);
    effects.clear();
    let accept = Accept {
        ballot: Ballot {
            round: 4,
            proposer: 2,
        },
        value: value(2),
    };
    register.on_message(at(0), 2, PeerMessage::Accept(accept), &mut effects);
    let record = |effect| match effect {
        Effect::Persist { record, .. } => Some(record),
        _ => None,
    };
    effects.into_iter().filter_map(record).collect()
}

fn says_a_promise(register: &mut Register, number: u64, round: u64) -> bool {
    let mut effects = Vec::new();
    let request = Prepare {
        number,
        ballot: Ballot { round, proposer: 3 },
    };
    register.on_message(at(0), 3, PeerMessage::Prepare(request), &mut effects);
    effects
        .iter()
        .any(|effect| matches!(effect, Effect::Persist { .. }))
}

#[test]
fn a_number_below_what_was_accepted_is_decided_and_is_not_accepted_anew() {
    let mut kept = DurableState::default();
    records().into_iter().for_each(|record| kept.add(record));
    let mut again = Register::new(1, kept, Some(value(0)), 6);
    // Value 1 was decided; another one must not get this node's vote.
    assert!(!says_a_promise(&mut again, 1, 9));
    // When it has value 1 again, what it promised for value 2 still binds.
    again.on_message(at(0), 2, PeerMessage::Decided(value(1)), &mut Vec::new());
    assert!(!says_a_promise(&mut again, 2, 3));
    assert!(says_a_promise(&mut again, 2, 5));
    assert!(again.has_undecided());
}
