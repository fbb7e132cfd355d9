//! A proposer that clashes with others: how long it rests, and how much time a round has.

use linenthread_consensus::{Change, DurableState, Effect, JobId, Register};
use linenthread_messages::{Accept, Ballot, PeerMessage, Prepare, Promise, Rejected, Value, Voter};
use linenthread_time::Instant;

/// The instant this many milliseconds after the clock's start.
fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

const ANOTHER: u64 = 99;

fn value(number: u64) -> Value {
    let voters = (1..=3)
        .map(|id| Voter {
            id,
            address: format!("10.0.0.{id}:80"),
        })
        .collect();
    Value {
        number,
        revision: number,
        voters,
        ..Value::default()
    }
}

fn wants_other_voters(register: &mut Register, now: u64) -> Vec<Effect> {
    let on = register.decided().map_or(0, |value| value.number);
    let change = Change::Voters {
        base_number: on,
        voters: value(0).voters[..2].to_vec(),
        epoch: 1,
    };
    let mut effects = Vec::new();
    register.propose(at(now), JobId(now), change, at(now + 60_000), &mut effects);
    effects
}

fn wants_an_order(register: &mut Register, now: u64) -> Vec<Effect> {
    let base = register.decided().map_or(0, |value| value.revision);
    let change = Change::Document {
        base,
        revision: base + 1_000,
        document: b"routes".to_vec(),
    };
    let mut effects = Vec::new();
    register.propose(at(now), JobId(now), change, at(now + 60_000), &mut effects);
    effects
}

/// The ballot of the round that these effects begin, if they begin one.
fn begun(effects: &[Effect]) -> Option<Ballot> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send {
            message: PeerMessage::Prepare(prepare),
            ..
        } => Some(prepare.ballot),
        _ => None,
    })
}

/// Ticks until a round begins, and when.
fn next_round(register: &mut Register, from: u64) -> (u64, Ballot) {
    (from..from + 10_000)
        .find_map(|now| {
            let mut effects = Vec::new();
            register.tick(at(now), &mut effects);
            Some((now, begun(&effects)?))
        })
        .expect("a round begins")
}

fn reject(register: &mut Register, now: u64, number: u64, ballot: Ballot) {
    let promised = Ballot {
        round: ballot.round + 1,
        proposer: ANOTHER,
    };
    register.on_message(
        at(now),
        2,
        PeerMessage::Rejected(Rejected { number, promised }),
        &mut Vec::new(),
    );
}

#[test]
fn who_lost_to_many_values_rests_no_longer_than_who_lost_once() {
    for seed in 1..100 {
        let mut register = Register::new(1, DurableState::default(), Some(value(0)), seed);
        let mut now = 1_000;
        let mut ballot = begun(&wants_an_order(&mut register, now)).expect("a round begins");
        for number in 1..10 {
            reject(&mut register, now, number, ballot);
            let (again, _) = next_round(&mut register, now + 1);
            assert!(
                again <= now + 51,
                "seed {seed}, number {number}: {} ms",
                again - now
            );
            now = again + 500;
            let mut effects = Vec::new();
            register.on_message(
                at(now),
                2,
                PeerMessage::Decided(value(number)),
                &mut effects,
            );
            ballot = begun(&effects).expect("the order waits on, and a round begins");
        }
    }
}

#[test]
fn each_half_of_a_round_has_its_time() {
    let mut register = Register::new(1, DurableState::default(), Some(value(0)), 7);
    let ballot = begun(&wants_other_voters(&mut register, 1_000)).expect("a round begins");
    let mut effects = Vec::new();
    for from in [2, 3] {
        let promise = Promise {
            number: 1,
            ballot,
            accepted: None,
        };
        register.on_message(at(1_400), from, PeerMessage::Promise(promise), &mut effects);
    }
    let asks = |e: &Effect| {
        matches!(
            e,
            Effect::Send {
                message: PeerMessage::Accept(Accept { .. }),
                ..
            }
        )
    };
    assert!(effects.iter().any(asks));
    let (again, _) = next_round(&mut register, 1_401);
    assert!(again >= 1_850, "given up after {} ms", again - 1_400);
}

/// Voters that take 240 ms for half a round: who overtook is left that time, and the next ones that clash come apart
/// by more than the least rest.
#[test]
fn a_rest_goes_by_how_long_the_voters_take() {
    let rest = |seed| {
        let mut register = Register::new(1, DurableState::default(), Some(value(0)), seed);
        let ballot = begun(&wants_an_order(&mut register, 1_000)).expect("a round begins");
        for from in [2, 3] {
            let promise = Promise {
                number: 1,
                ballot,
                accepted: None,
            };
            register.on_message(
                at(1_240),
                from,
                PeerMessage::Promise(promise),
                &mut Vec::new(),
            );
        }
        reject(&mut register, 1_300, 1, ballot);
        next_round(&mut register, 1_301).0 - 1_300
    };
    let rests: Vec<u64> = (1..50).map(rest).collect();
    let (shortest, longest) = (
        rests.iter().min().expect("some"),
        rests.iter().max().expect("some"),
    );
    assert!(
        *shortest >= 240 && (340..=721).contains(longest),
        "{shortest} to {longest} ms"
    );
}

#[test]
fn a_change_of_the_voters_hardly_rests() {
    for seed in 1..50 {
        let mut register = Register::new(1, DurableState::default(), Some(value(0)), seed);
        let mut now = 1_000;
        let mut ballot = begun(&wants_other_voters(&mut register, now)).expect("a round begins");
        for _ in 0..8 {
            reject(&mut register, now, 1, ballot);
            let (again, next) = next_round(&mut register, now + 1);
            assert!(again <= now + 26, "seed {seed}: {} ms", again - now);
            (now, ballot) = (again, next);
        }
    }
}

/// A round of another node that this one votes in is left its time, but not by a change of the voters.
#[test]
fn an_order_waits_for_the_round_of_another_node() {
    let prepare = Prepare {
        number: 1,
        ballot: Ballot {
            round: 1,
            proposer: ANOTHER,
        },
    };
    let asked = || {
        let mut register = Register::new(1, DurableState::default(), Some(value(0)), 7);
        register.on_message(
            at(1_000),
            2,
            PeerMessage::Prepare(prepare.clone()),
            &mut Vec::new(),
        );
        register
    };
    let mut register = asked();
    assert_eq!(begun(&wants_an_order(&mut register, 1_001)), None);
    assert_eq!(next_round(&mut register, 1_002).0, 1_050);
    assert!(begun(&wants_other_voters(&mut asked(), 1_001)).is_some());
}
