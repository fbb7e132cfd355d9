//! A node that was frozen: what waited for it meanwhile neither makes a read nor a lease of what is old.

use linenthread_consensus::{Change, DurableState, Effect, JobId, Outcome, Register};
use linenthread_messages::{PeerMessage, Promise, ReadReply, Value, Voter};
use linenthread_time::Instant;

/// The instant this many milliseconds after the clock's start.
fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn one_of_three() -> Register {
    let voters = (1..=3)
        .map(|id| Voter {
            id,
            address: format!("10.0.0.{id}:80"),
        })
        .collect();
    Register::new(
        1,
        DurableState::default(),
        Some(Value {
            voters,
            ..Value::default()
        }),
        77,
    )
}

fn question_of(effects: &[Effect]) -> u64 {
    let question = |effect: &Effect| match effect {
        Effect::Send {
            message: PeerMessage::ReadRequest(request),
            ..
        } => Some(request.read_id),
        _ => None,
    };
    effects.iter().find_map(question).expect("asks")
}

fn answers(register: &mut Register, now: u64, question: u64) -> Vec<Effect> {
    let mut effects = Vec::new();
    for from in [1, 2] {
        let reply = ReadReply {
            read_id: question,
            decided: 0,
            pending: false,
        };
        register.on_message(at(now), from, PeerMessage::ReadReply(reply), &mut effects);
    }
    effects
}

fn outcomes(effects: Vec<Effect>) -> Vec<(JobId, Outcome)> {
    let outcome = |effect| match effect {
        Effect::Reply { job, outcome } => Some((job, outcome)),
        _ => None,
    };
    effects.into_iter().filter_map(outcome).collect()
}

#[test]
fn a_read_whose_time_is_over_is_not_answered_by_what_waited_while_the_node_was_frozen() {
    let (mut register, mut effects) = (one_of_three(), Vec::new());
    register.read(at(1_000), JobId(1), at(1_900), &mut effects);
    let effects = answers(&mut register, 21_000, question_of(&effects));
    assert_eq!(outcomes(effects), [(JobId(1), Outcome::Unknown)]);
}

#[test]
fn a_question_of_before_the_freeze_confirms_nothing() {
    let (mut register, mut effects) = (one_of_three(), Vec::new());
    // A read without an end, so that only the age of its question can tell.
    register.read(at(1_000), JobId(1), Instant::NEVER, &mut effects);
    let old = question_of(&effects);
    let effects = answers(&mut register, 21_000, old);
    assert!(outcomes(effects).is_empty());
    let mut effects = Vec::new();
    register.tick(at(21_000), &mut effects);
    let new = question_of(&effects);
    assert!(new > old);
    let effects = answers(&mut register, 21_010, new);
    assert!(matches!(
        outcomes(effects)[..],
        [(JobId(1), Outcome::Newest(_))]
    ));
}

#[test]
fn a_read_is_answered_only_by_a_question_that_began_after_it() {
    let (mut register, mut effects) = (one_of_three(), Vec::new());
    register.read(at(1_000), JobId(1), at(1_900), &mut effects);
    let first = question_of(&effects);
    register.read(at(1_010), JobId(2), at(1_910), &mut Vec::new());
    let effects = answers(&mut register, 1_020, first);
    let second = question_of(&effects);
    assert!(matches!(
        outcomes(effects)[..],
        [(JobId(1), Outcome::Newest(_))]
    ));
    let effects = answers(&mut register, 1_030, second);
    assert!(matches!(
        outcomes(effects)[..],
        [(JobId(2), Outcome::Newest(_))]
    ));
}

#[test]
fn a_change_whose_time_is_over_goes_no_further_on_waking() {
    let (mut register, mut effects) = (one_of_three(), Vec::new());
    let change = Change::Document {
        base: 0,
        revision: 1,
        document: "1".into(),
    };
    register.propose(at(1_000), JobId(1), change, at(1_900), &mut effects);
    let prepare = |effect: &Effect| match effect {
        Effect::Send {
            message: PeerMessage::Prepare(prepare),
            ..
        } => Some(prepare.clone()),
        _ => None,
    };
    let prepare = effects.iter().find_map(prepare).expect("asks");
    let mut effects = Vec::new();
    for from in [1, 2] {
        let promise = Promise {
            number: prepare.number,
            ballot: prepare.ballot,
            accepted: None,
        };
        register.on_message(
            at(21_000),
            from,
            PeerMessage::Promise(promise),
            &mut effects,
        );
    }
    assert!(
        !effects
            .iter()
            .any(|effect| matches!(effect, Effect::Send { .. })),
        "{effects:?}"
    );
    assert_eq!(outcomes(effects), [(JobId(1), Outcome::Unknown)]);
}
