//! Tests of suspended processes: messages that were queued during the suspension do not complete jobs or rounds.

use linenthread_consensus::{Effect, JobId, NodeId, Outcome, Register, UnknownReason};
use linenthread_messages::{PeerMessage, Promise, ReadReply};
use linenthread_time::Instant;

use crate::cluster::order;
use crate::fixtures::{at, register};

/// Returns the identifier of the read round that these effects start.
fn read_id_of(effects: &[Effect]) -> u64 {
    let read_id = |effect: &Effect| match effect {
        Effect::Send {
            message: PeerMessage::ReadRequest(request),
            ..
        } => Some(request.read_id),
        _ => None,
    };
    effects.iter().find_map(read_id).expect("a read round")
}

/// Delivers the replies of two voters that know no newer value.
fn deliver_replies(register: &mut Register, now: u64, read_id: u64) -> Vec<Effect> {
    let mut effects = Vec::new();
    for from in [1, 2] {
        let reply = ReadReply {
            read_id,
            decided_number: 0,
            has_undecided_value: false,
        };
        register.on_message(
            at(now),
            NodeId(from),
            PeerMessage::ReadReply(reply),
            &mut effects,
        );
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
fn a_read_past_its_deadline_is_not_completed_by_delayed_replies() {
    let (mut register, mut effects) = (register(1, 77), Vec::new());
    register.read(at(1_000), JobId(1), at(1_900), &mut effects);
    let effects = deliver_replies(&mut register, 21_000, read_id_of(&effects));
    assert_eq!(
        outcomes(effects),
        [(JobId(1), Outcome::Unknown(UnknownReason::TimedOut))]
    );
}

#[test]
fn replies_to_a_request_from_before_the_suspension_do_not_complete_a_read() {
    let (mut register, mut effects) = (register(1, 77), Vec::new());
    // The read has no deadline, so that only the timeout of its round applies.
    register.read(at(1_000), JobId(1), Instant::NEVER, &mut effects);
    let old = read_id_of(&effects);
    let effects = deliver_replies(&mut register, 21_000, old);
    assert!(outcomes(effects).is_empty());
    let mut effects = Vec::new();
    register.tick(at(21_000), &mut effects);
    let new = read_id_of(&effects);
    assert!(new > old);
    let effects = deliver_replies(&mut register, 21_010, new);
    assert!(matches!(
        outcomes(effects)[..],
        [(JobId(1), Outcome::NewestValue(_))]
    ));
}

#[test]
fn a_read_is_completed_only_by_a_round_that_started_after_it() {
    let (mut register, mut effects) = (register(1, 77), Vec::new());
    register.read(at(1_000), JobId(1), at(1_900), &mut effects);
    let first = read_id_of(&effects);
    register.read(at(1_010), JobId(2), at(1_910), &mut Vec::new());
    let effects = deliver_replies(&mut register, 1_020, first);
    let second = read_id_of(&effects);
    assert!(matches!(
        outcomes(effects)[..],
        [(JobId(1), Outcome::NewestValue(_))]
    ));
    let effects = deliver_replies(&mut register, 1_030, second);
    assert!(matches!(
        outcomes(effects)[..],
        [(JobId(2), Outcome::NewestValue(_))]
    ));
}

#[test]
fn a_change_past_its_deadline_is_not_proposed_on_delayed_promises() {
    let (mut register, mut effects) = (register(1, 77), Vec::new());
    let change = order(0, 1, "1");
    register.propose(at(1_000), JobId(1), change, at(1_900), &mut effects);
    let prepare = |effect: &Effect| match effect {
        Effect::Send {
            message: PeerMessage::Prepare(prepare),
            ..
        } => Some(prepare.clone()),
        _ => None,
    };
    let prepare = effects.iter().find_map(prepare).expect("a prepare request");
    let mut effects = Vec::new();
    for from in [1, 2] {
        let promise = Promise {
            number: prepare.number,
            ballot: prepare.ballot,
            accepted: None,
        };
        register.on_message(
            at(21_000),
            NodeId(from),
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
    assert_eq!(
        outcomes(effects),
        [(JobId(1), Outcome::Unknown(UnknownReason::TimedOut))]
    );
}
