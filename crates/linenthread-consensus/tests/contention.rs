//! A proposer that clashes with others: how long it rests, and how much time a round has.

use linenthread_consensus::{Change, DurableState, Effect, Register};
use linenthread_messages::{Accept, Ballot, PeerMessage, Promise, Rejected, Value, Voter};

const ANOTHER: u64 = 99;

fn value(number: u64) -> Value {
    let voters = (1..=3).map(|id| Voter { id, address: format!("10.0.0.{id}:80") }).collect();
    Value { number, revision: number, voters, ..Value::default() }
}

fn wants_other_voters(register: &mut Register, now: u64) -> Vec<Effect> {
    let on = register.decided().map_or(0, |value| value.number);
    let change = Change::Voters { on, voters: value(0).voters[..2].to_vec(), epoch: 1 };
    let mut effects = Vec::new();
    register.propose(now, now, change, now + 60_000, &mut effects);
    effects
}

/// The ballot of the round that these effects begin, if they begin one.
fn begun(effects: &[Effect]) -> Option<Ballot> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { word: PeerMessage::Prepare(prepare), .. } => Some(prepare.ballot),
        _ => None,
    })
}

/// Ticks until a round begins, and when.
fn next_round(register: &mut Register, from: u64) -> (u64, Ballot) {
    (from..from + 10_000)
        .find_map(|now| {
            let mut effects = Vec::new();
            register.tick(now, &mut effects);
            Some((now, begun(&effects)?))
        })
        .expect("a round begins")
}

fn reject(register: &mut Register, now: u64, number: u64, ballot: Ballot) {
    let promised = Ballot { round: ballot.round + 1, proposer: ANOTHER };
    register.on_message(now, 2, PeerMessage::Rejected(Rejected { number, promised }), &mut Vec::new());
}

#[test]
fn who_lost_to_many_values_rests_no_longer_than_who_lost_once() {
    for seed in 1..100 {
        let mut register = Register::new(1, DurableState::default(), Some(value(0)), seed);
        let mut now = 1_000;
        for number in 1..10 {
            let ballot = begun(&wants_other_voters(&mut register, now)).expect("a round begins");
            reject(&mut register, now, number, ballot);
            let (again, _) = next_round(&mut register, now + 1);
            assert!(again <= now + 51, "seed {seed}, number {number}: {} ms", again - now);
            now = again + 500;
            register.on_message(now, 2, PeerMessage::Decided(value(number)), &mut Vec::new());
        }
    }
}

#[test]
fn each_half_of_a_round_has_its_time() {
    let mut register = Register::new(1, DurableState::default(), Some(value(0)), 7);
    let ballot = begun(&wants_other_voters(&mut register, 1_000)).expect("a round begins");
    let mut effects = Vec::new();
    for from in [2, 3] {
        let promise = Promise { number: 1, ballot, accepted: None };
        register.on_message(1_400, from, PeerMessage::Promise(promise), &mut effects);
    }
    let asks = |e: &Effect| matches!(e, Effect::Send { word: PeerMessage::Accept(Accept { .. }), .. });
    assert!(effects.iter().any(asks));
    let (again, _) = next_round(&mut register, 1_401);
    assert!(again >= 1_850, "given up after {} ms", again - 1_400);
}
