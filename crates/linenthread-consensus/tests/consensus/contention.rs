//! Tests of competing proposers: the backoff after a rejection, and the timeout of a round.

use linenthread_consensus::{
    Change, DurableState, Effect, Epoch, Incarnation, JobId, NodeId, Register,
};
use linenthread_messages::{Accept, Ballot, PeerMessage, Prepare, Promise, Rejected, Value};

use crate::cluster::order;
use crate::fixtures::{self, at};

const OTHER_PROPOSER: u64 = 99;

fn value(number: u64) -> Value {
    Value {
        revision: number,
        ..fixtures::value(number)
    }
}

/// Returns the register of node 1. The incarnation is the seed of its random backoff.
fn register(incarnation: u64) -> Register {
    Register::new(
        NodeId(1),
        DurableState::default(),
        Some(value(0)),
        Incarnation::new(incarnation),
    )
}

fn propose_voter_change(register: &mut Register, now: u64) -> Vec<Effect> {
    let base_number = register.value_number();
    let change = Change::Voters {
        base_number,
        voters: value(0).voters[..2].to_vec(),
        epoch: Epoch::FIRST,
    };
    let mut effects = Vec::new();
    register.propose(at(now), JobId(now), change, at(now + 60_000), &mut effects);
    effects
}

fn propose_order(register: &mut Register, now: u64) -> Vec<Effect> {
    let base = register.decided().map_or(0, |value| value.revision);
    let change = order(base, base + 1_000, "routes");
    let mut effects = Vec::new();
    register.propose(at(now), JobId(now), change, at(now + 60_000), &mut effects);
    effects
}

/// Returns the ballot of the round that these effects start, if any.
fn started_round(effects: &[Effect]) -> Option<Ballot> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send {
            message: PeerMessage::Prepare(prepare),
            ..
        } => Some(prepare.ballot),
        _ => None,
    })
}

/// Ticks until a round starts; returns the time in milliseconds and its ballot.
fn next_round(register: &mut Register, from: u64) -> (u64, Ballot) {
    (from..from + 10_000)
        .find_map(|now| {
            let mut effects = Vec::new();
            register.tick(at(now), &mut effects);
            Some((now, started_round(&effects)?))
        })
        .expect("a round starts")
}

fn reject(register: &mut Register, now: u64, number: u64, ballot: Ballot) {
    let promised = Ballot {
        round: ballot.round + 1,
        proposer: OTHER_PROPOSER,
    };
    register.on_message(
        at(now),
        NodeId(2),
        PeerMessage::Rejected(Rejected { number, promised }),
        &mut Vec::new(),
    );
}

#[test]
fn backoff_does_not_grow_across_values() {
    for seed in 1..100 {
        let mut register = register(seed);
        let mut now = 1_000;
        let mut ballot = started_round(&propose_order(&mut register, now)).expect("a round starts");
        for number in 1..10 {
            reject(&mut register, now, number, ballot);
            let (restarted_at, _) = next_round(&mut register, now + 1);
            assert!(
                restarted_at <= now + 51,
                "seed {seed}, number {number}: {} ms",
                restarted_at - now
            );
            now = restarted_at + 500;
            let mut effects = Vec::new();
            register.on_message(
                at(now),
                NodeId(2),
                PeerMessage::Decided(value(number)),
                &mut effects,
            );
            ballot =
                started_round(&effects).expect("the order is still pending, and a round starts");
        }
    }
}

#[test]
fn each_phase_of_a_round_has_the_full_timeout() {
    let mut register = register(7);
    let ballot =
        started_round(&propose_voter_change(&mut register, 1_000)).expect("a round starts");
    let mut effects = Vec::new();
    for from in [2, 3] {
        let promise = Promise {
            number: 1,
            ballot,
            accepted: None,
        };
        register.on_message(
            at(1_400),
            NodeId(from),
            PeerMessage::Promise(promise),
            &mut effects,
        );
    }
    let is_accept = |effect: &Effect| {
        matches!(
            effect,
            Effect::Send {
                message: PeerMessage::Accept(Accept { .. }),
                ..
            }
        )
    };
    assert!(effects.iter().any(is_accept));
    let (restarted_at, _) = next_round(&mut register, 1_401);
    assert!(
        restarted_at >= 1_850,
        "abandoned after {} ms",
        restarted_at - 1_400
    );
}

/// With voters that take 240 ms for a phase, the backoff leaves the competing round that time. Its random part is
/// large enough that two rejected proposers start their next rounds at different times.
#[test]
fn backoff_grows_with_the_latency_of_the_voters() {
    let backoff = |seed| {
        let mut register = register(seed);
        let ballot = started_round(&propose_order(&mut register, 1_000)).expect("a round starts");
        for from in [2, 3] {
            let promise = Promise {
                number: 1,
                ballot,
                accepted: None,
            };
            register.on_message(
                at(1_240),
                NodeId(from),
                PeerMessage::Promise(promise),
                &mut Vec::new(),
            );
        }
        reject(&mut register, 1_300, 1, ballot);
        next_round(&mut register, 1_301).0 - 1_300
    };
    let backoffs: Vec<u64> = (1..50).map(backoff).collect();
    let (shortest, longest) = (
        backoffs.iter().min().expect("backoffs"),
        backoffs.iter().max().expect("backoffs"),
    );
    assert!(
        *shortest >= 240 && (340..=721).contains(longest),
        "{shortest} to {longest} ms"
    );
}

#[test]
fn a_voter_change_has_a_short_backoff() {
    for seed in 1..50 {
        let mut register = register(seed);
        let mut now = 1_000;
        let mut ballot =
            started_round(&propose_voter_change(&mut register, now)).expect("a round starts");
        for _ in 0..8 {
            reject(&mut register, now, 1, ballot);
            let (restarted_at, next) = next_round(&mut register, now + 1);
            assert!(
                restarted_at <= now + 26,
                "seed {seed}: {} ms",
                restarted_at - now
            );
            (now, ballot) = (restarted_at, next);
        }
    }
}

/// Guards against two proposers of voter changes that reject each other forever. With voters that take 130 ms for a
/// phase, the backoff after several rejections is spread over the duration of a round, so that one proposer succeeds.
#[test]
fn repeatedly_rejected_voter_changes_spread_their_backoff_over_a_round() {
    let backoff = |seed, rejections| {
        let mut register = register(seed);
        let (mut now, mut last) = (1_000, 0);
        let mut ballot =
            started_round(&propose_voter_change(&mut register, now)).expect("a round starts");
        for _ in 0..rejections {
            for from in [2, 3] {
                let promise = Promise {
                    number: 1,
                    ballot,
                    accepted: None,
                };
                let promise = PeerMessage::Promise(promise);
                register.on_message(at(now + 130), NodeId(from), promise, &mut Vec::new());
            }
            reject(&mut register, now + 140, 1, ballot);
            let (restarted_at, next) = next_round(&mut register, now + 141);
            last = restarted_at - (now + 140);
            (now, ballot) = (restarted_at, next);
        }
        last
    };
    let longest = |rejections| (1..50).map(|seed| backoff(seed, rejections)).max();
    assert!(longest(2) <= Some(26), "{:?}", longest(2));
    assert!(longest(3) >= Some(400), "{:?}", longest(3));
    assert!(longest(8) <= Some(522), "{:?}", longest(8));
}

/// A node that votes in another node's round delays its own order, but not a voter change.
#[test]
fn an_order_waits_for_a_competing_round() {
    let prepare = Prepare {
        number: 1,
        ballot: Ballot {
            round: 1,
            proposer: OTHER_PROPOSER,
        },
    };
    let voted = || {
        let mut register = register(7);
        register.on_message(
            at(1_000),
            NodeId(2),
            PeerMessage::Prepare(prepare.clone()),
            &mut Vec::new(),
        );
        register
    };
    let mut register = voted();
    assert_eq!(started_round(&propose_order(&mut register, 1_001)), None);
    assert_eq!(next_round(&mut register, 1_002).0, 1_050);
    assert!(started_round(&propose_voter_change(&mut voted(), 1_001)).is_some());
}

/// Ticks until a new round replaces the one of this ballot; returns the time in milliseconds and the new ballot.
fn next_round_after(register: &mut Register, from: u64, ballot: Ballot) -> (u64, Ballot) {
    let (mut now, mut next) = (from, ballot);
    while next == ballot {
        (now, next) = next_round(register, now + 1);
    }
    (now, next)
}

/// The timeout of a phase grows up to its maximum with each phase that times out, and shrinks after short phases.
#[test]
fn the_timeout_of_a_round_adapts_to_the_latency_of_the_voters() {
    let mut register = register(7);
    let mut now = 1_000;
    let mut ballot = started_round(&propose_order(&mut register, now)).expect("a round starts");
    for timeout in [450, 900, 1_500, 1_500] {
        let (abandoned_at, next) = next_round_after(&mut register, now, ballot);
        assert_eq!(abandoned_at - now, timeout);
        (now, ballot) = (abandoned_at, next);
    }
    for number in 1..=3 {
        for from in [2, 3] {
            let promise = Promise {
                number,
                ballot,
                accepted: None,
            };
            let promise = PeerMessage::Promise(promise);
            register.on_message(at(now + 10), NodeId(from), promise, &mut Vec::new());
        }
        now += 20;
        let decided = PeerMessage::Decided(fixtures::value(number));
        let mut effects = Vec::new();
        register.on_message(at(now), NodeId(2), decided, &mut effects);
        ballot = started_round(&effects).expect("the order is still pending, and a round starts");
    }
    let (abandoned_at, _) = next_round_after(&mut register, now, ballot);
    assert_eq!(abandoned_at - now, 450);
}
