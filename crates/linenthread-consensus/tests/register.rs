//! One step at a time what the drill plays at random: who takes part, what is promised, what a read must see.

use linenthread_consensus::{Change, DurableState, Effect, JobId, LeaderLease, Outcome, Register};
use linenthread_messages::{
    Accept, Ballot, LeaseRequest, LeaseVote, PeerMessage, Prepare, Record, Value, Voter,
};
use linenthread_time::Instant;
use yare::parameterized;

/// The instant this many milliseconds after the clock's start.
fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn genesis() -> Value {
    let voters = (1..=3)
        .map(|id| Voter {
            id,
            address: format!("10.0.0.{id}:80"),
        })
        .collect();
    Value {
        voters,
        ..Value::default()
    }
}

fn register(id: u64) -> Register {
    Register::new(id, DurableState::default(), Some(genesis()), id * 77)
}

/// Three registers whose words arrive at once, but for those that are cut off.
struct Three {
    all: Vec<Register>,
    off: Vec<u64>,
    replies: Vec<(JobId, Outcome)>,
    disks: Vec<Vec<Record>>,
}

impl Three {
    fn new() -> Three {
        Three {
            all: (1..=3).map(register).collect(),
            off: Vec::new(),
            replies: Vec::new(),
            disks: vec![Vec::new(); 3],
        }
    }

    fn settle(&mut self, from: u64, outs: Vec<Effect>) {
        let mut waiting: Vec<(u64, Effect)> = outs.into_iter().map(|o| (from, o)).collect();
        while !waiting.is_empty() {
            let (from, out) = waiting.remove(0);
            let mut send = |to: u64, word: PeerMessage, waiting: &mut Vec<(u64, Effect)>| {
                if to != from && (self.off.contains(&to) || self.off.contains(&from)) {
                    return;
                }
                let mut outs = Vec::new();
                self.all[to as usize - 1].on_message(at(0), from, word, &mut outs);
                waiting.extend(outs.into_iter().map(|o| (to, o)));
            };
            match out {
                Effect::Send { to, message: word } => send(to, word, &mut waiting),
                Effect::Persist {
                    record,
                    after_sync: then,
                } => {
                    self.disks[from as usize - 1].push(record);
                    then.into_iter()
                        .for_each(|(to, word)| send(to, word, &mut waiting));
                }
                Effect::Reply { job, outcome } => self.replies.push((job, outcome)),
                Effect::Decided(_) => {}
            }
        }
    }

    fn replace(&mut self, node: u64, job: u64, base: u64, revision: u64) {
        let mut outs = Vec::new();
        let change = Change::Document {
            base,
            revision,
            document: format!("{revision}").into(),
        };
        self.all[node as usize - 1].propose(at(0), JobId(job), change, at(900), &mut outs);
        self.settle(node, outs);
        // It may have waited for the round of another node.
        let mut outs = Vec::new();
        self.all[node as usize - 1].tick(at(60), &mut outs);
        self.settle(node, outs);
    }

    fn read(&mut self, node: u64, job: u64) {
        let mut outs = Vec::new();
        self.all[node as usize - 1].read(at(0), JobId(job), at(900), &mut outs);
        self.settle(node, outs);
    }

    fn last(&self) -> &Outcome {
        &self.replies.last().expect("a reply").1
    }
}

#[parameterized(
    on_top = { 3, 5, Outcome::Committed(5) },
    again = { 0, 3, Outcome::Committed(3) },
    on_another = { 0, 5, Outcome::Conflict(3) },
    not_above = { 3, 2, Outcome::Conflict(3) },
)]
fn a_change_is_taken_once_on_its_base(base: u64, revision: u64, outcome: Outcome) {
    let mut three = Three::new();
    three.replace(1, 1, 0, 3);
    three.replace(2, 2, base, revision);
    assert_eq!(three.last(), &outcome);
}

#[test]
fn a_minority_acknowledges_nothing_and_reads_nothing() {
    let mut three = Three::new();
    three.off = vec![2, 3];
    three.replace(1, 1, 0, 3);
    three.read(1, 2);
    assert!(three.replies.is_empty());
    let mut outs = Vec::new();
    three.all[0].tick(at(1_000), &mut outs);
    three.settle(1, outs);
    assert_eq!(
        three.replies,
        [(JobId(1), Outcome::Unknown), (JobId(2), Outcome::Unknown)]
    );
}

#[test]
fn a_read_completes_what_is_half_done() {
    // Machine 1 accepted at 1 and 2, then all of its further words were lost.
    let mut three = Three::new();
    let value = Value {
        number: 1,
        revision: 3,
        document: "3".into(),
        ..genesis()
    };
    let ballot = Ballot {
        round: 1,
        proposer: 9,
    };
    for to in [1, 2] {
        let mut outs = Vec::new();
        three.all[to - 1].on_message(
            at(0),
            9,
            PeerMessage::Accept(Accept {
                ballot,
                value: value.clone(),
            }),
            &mut outs,
        );
    }
    three.off = vec![1];
    three.read(3, 7);
    assert_eq!(three.last(), &Outcome::Newest(value));
    assert_eq!(three.all[2].decided().map(|d| d.number), Some(1));
}

#[test]
fn a_read_does_not_ask_on_and_on_while_a_disk_is_slow() {
    let voters = vec![Voter {
        id: 1,
        address: "10.0.0.1:80".into(),
    }];
    let mut one = Register::new(
        1,
        DurableState::default(),
        Some(Value {
            voters,
            ..Value::default()
        }),
        5,
    );
    let change = Change::Document {
        base: 0,
        revision: 3,
        document: "3".into(),
    };
    let (mut outs, mut asked, mut unsynced) = (Vec::new(), 0, Vec::new());
    one.propose(at(0), JobId(1), change, at(900), &mut outs);
    one.read(at(0), JobId(2), at(900), &mut outs);
    // Words to itself arrive at once; what waits for the disk's second sync does not.
    for _ in 0..100 {
        for out in std::mem::take(&mut outs) {
            match out {
                Effect::Send { message: word, .. } => {
                    asked += usize::from(matches!(word, PeerMessage::ReadRequest(_)));
                    one.on_message(at(0), 1, word, &mut outs);
                }
                Effect::Persist {
                    after_sync: then, ..
                } => {
                    for (_, word) in then {
                        match word {
                            PeerMessage::AcceptAck(_) => unsynced.push(word),
                            word => one.on_message(at(0), 1, word, &mut outs),
                        }
                    }
                }
                _ => {}
            }
        }
    }
    assert!(outs.is_empty() && asked <= 2, "asked {asked} times");
    one.on_message(at(5), 1, unsynced.remove(0), &mut outs);
    assert!(outs.iter().any(|o| matches!(
        o,
        Effect::Reply {
            job: JobId(1),
            outcome: Outcome::Committed(3)
        }
    )));
}

#[test]
fn a_greater_promise_refuses_an_older_ballot() {
    let (mut one, mut outs) = (register(1), Vec::new());
    let newer = Ballot {
        round: 5,
        proposer: 2,
    };
    one.on_message(
        at(0),
        2,
        PeerMessage::Prepare(Prepare {
            number: 1,
            ballot: newer,
        }),
        &mut outs,
    );
    assert!(
        matches!(&outs[..], [Effect::Persist { after_sync: then, .. }] if matches!(then[0].1, PeerMessage::Promise(_)))
    );
    outs.clear();
    let value = Value {
        number: 1,
        ..genesis()
    };
    let accept = Accept {
        ballot: Ballot {
            round: 4,
            proposer: 3,
        },
        value,
    };
    one.on_message(at(0), 3, PeerMessage::Accept(accept), &mut outs);
    assert!(
        matches!(&outs[..], [Effect::Send { message: PeerMessage::Rejected(r), .. }] if r.promised == newer)
    );
}

#[parameterized(
    not_counted = { 9, 1, false },
    counted = { 1, 1, true },
    behind = { 1, 2, false },
    decided_long_ago = { 1, 0, false },
)]
fn only_a_counted_disk_that_has_the_value_before_takes_part(
    id: u64,
    number: u64,
    takes_part: bool,
) {
    let (mut one, mut outs) = (register(id), Vec::new());
    let ballot = Ballot {
        round: 1,
        proposer: 2,
    };
    one.on_message(
        at(0),
        2,
        PeerMessage::Prepare(Prepare { number, ballot }),
        &mut outs,
    );
    assert_eq!(
        outs.iter().any(|o| matches!(o, Effect::Persist { .. })),
        takes_part
    );
}

#[test]
fn what_is_on_disk_binds_the_next_life() {
    let mut three = Three::new();
    three.replace(1, 1, 0, 3);
    let mut outs = Vec::new();
    let ballot = Ballot {
        round: 9,
        proposer: 2,
    };
    three.all[0].on_message(
        at(0),
        2,
        PeerMessage::Prepare(Prepare { number: 2, ballot }),
        &mut outs,
    );
    three.settle(1, outs.split_off(0));
    // Every beginning of what was synced is a state that may be found; whole, it refuses what it promised
    // away.
    for cut in 0..=three.disks[0].len() {
        let mut kept = DurableState::default();
        three.disks[0][..cut]
            .iter()
            .for_each(|r| kept.add(r.clone()));
        let mut copy = DurableState::default();
        kept.records().into_iter().for_each(|r| copy.add(r));
        for kept in [kept, copy] {
            let mut again = Register::new(1, kept, Some(genesis()), 5);
            let older = Ballot {
                round: 8,
                proposer: 3,
            };
            let mut outs = Vec::new();
            again.on_message(
                at(0),
                3,
                PeerMessage::Prepare(Prepare {
                    number: 2,
                    ballot: older,
                }),
                &mut outs,
            );
            let whole = cut == three.disks[0].len();
            assert_eq!(
                outs.iter().any(|o| matches!(
                    o,
                    Effect::Send {
                        message: PeerMessage::Rejected(_),
                        ..
                    }
                )),
                whole
            );
        }
    }
}

#[parameterized(
    nobody_yet = { 5_000, 1, 7, 1, true },
    just_started = { 500, 1, 7, 1, false },
    another_in_its_lease = { 5_100, 2, 8, 2, false },
    another_later = { 8_000, 2, 8, 2, true },
    an_epoch_of_before = { 8_000, 2, 8, 1, false },
    the_same_again = { 5_100, 1, 7, 1, true },
    the_same_anew = { 5_100, 1, 7, 4, true },
    a_new_life_under_its_old_epoch = { 5_100, 1, 6, 1, false },
    a_new_life_under_a_new_one = { 5_100, 1, 6, 2, true },
)]
fn a_duty_is_supported_for_one_at_a_time(now: u64, from: u64, life: u64, epoch: u64, yes: bool) {
    let mut lease = LeaderLease::new(3, 9, at(0), false, 0);
    if now > 5_000 {
        lease.on_lease_request(
            at(5_000),
            1,
            &LeaseRequest {
                epoch: 1,
                request_id: 1,
                lease_ms: 2_000,
                incarnation: 7,
                value_number: 0,
            },
            Some(0),
        );
    }
    assert_eq!(
        lease
            .on_lease_request(
                at(now),
                from,
                &LeaseRequest {
                    epoch,
                    request_id: 2,
                    lease_ms: 2_000,
                    incarnation: life,
                    value_number: 0
                },
                Some(0)
            )
            .granted,
        yes
    );
}

#[test]
fn what_has_lapsed_is_not_held_again_by_a_late_word() {
    let mut lease = LeaderLease::new(1, 9, at(0), true, 0);
    let ask = lease.tick(at(0), true, 0).expect("asks");
    let yes = LeaseVote {
        epoch: ask.epoch,
        request_id: ask.request_id,
        granted: true,
    };
    let most = |ids: Vec<u64>| ids.len() >= 2;
    assert!(!lease.on_lease_vote(at(1), 1, &yes, 0, most));
    assert!(lease.on_lease_vote(at(2), 2, &yes, 0, most));
    assert_eq!(lease.held_epoch(at(1_000)), Some(1));
    assert_eq!(lease.held_epoch(at(3_000)), None);
    assert!(!lease.on_lease_vote(at(3_000), 3, &yes, 0, most));
    let next = lease.tick(at(3_000), true, 0).expect("asks anew");
    assert!(next.epoch > ask.epoch);
}

#[test]
fn who_counts_is_changed_only_by_the_support_of_those_who_count() {
    let mut lease = LeaderLease::new(1, 9, at(0), true, 0);
    let most = |ids: Vec<u64>| ids.len() >= 2;
    let say = |ask: &LeaseRequest| LeaseVote {
        epoch: ask.epoch,
        request_id: ask.request_id,
        granted: true,
    };
    let on_7 = lease.tick(at(0), true, 7).expect("asks");
    lease.on_lease_vote(at(1), 1, &say(&on_7), 7, most);
    assert!(lease.on_lease_vote(at(2), 2, &say(&on_7), 7, most) && lease.is_held_at(at(3), 7));
    // The next value may name others: they are asked at once, and words about the last one count for nothing.
    assert!(lease.held_epoch(at(3)).is_some() && !lease.is_held_at(at(3), 8));
    let on_8 = lease.tick(at(4), true, 8).expect("asks anew");
    lease.on_lease_vote(at(5), 1, &say(&on_7), 8, most);
    assert!(!lease.on_lease_vote(at(5), 2, &say(&on_7), 8, most));
    lease.on_lease_vote(at(6), 1, &say(&on_8), 8, most);
    assert!(lease.on_lease_vote(at(6), 2, &say(&on_8), 8, most) && lease.is_held_at(at(7), 8));
    assert_eq!(
        (on_8.epoch, lease.held_epoch(at(7))),
        (on_7.epoch, Some(on_7.epoch))
    );
}

#[test]
fn support_under_one_epoch_does_not_count_under_another() {
    let mut lease = LeaderLease::new(1, 9, at(0), true, 0);
    let most = |ids: Vec<u64>| ids.len() >= 2;
    let ask = lease.tick(at(0), true, 0).expect("asks");
    let yes = LeaseVote {
        epoch: ask.epoch,
        request_id: ask.request_id,
        granted: true,
    };
    lease.on_lease_vote(at(1), 1, &yes, 0, most);
    lease.on_lease_vote(
        at(2),
        2,
        &LeaseVote {
            epoch: 6,
            granted: false,
            ..yes.clone()
        },
        0,
        most,
    );
    assert!(!lease.on_lease_vote(at(3), 3, &yes, 0, most));
    let next = lease.tick(at(500), true, 0).expect("asks above it");
    assert_eq!((next.epoch, lease.held_epoch(at(500))), (7, None));
}

#[parameterized(
    sound = { Some(0), false, 1, true },
    a_value_is_in_doubt = { None, false, 1, false },
    another_value = { Some(1), false, 1, false },
    counts_only_from_now_on = { Some(0), true, 1, false },
    below_the_values_epoch = { Some(0), false, 0, false },
)]
fn support_waits_for_what_is_decided(number: Option<u64>, anew: bool, above: u64, yes: bool) {
    let mut lease = LeaderLease::new(3, 9, at(0), false, 0);
    lease.observe_epoch(at(5_000), 4, anew);
    let ask = LeaseRequest {
        epoch: 4 + above,
        request_id: 1,
        lease_ms: 2_000,
        incarnation: 7,
        value_number: 0,
    };
    assert_eq!(
        lease.on_lease_request(at(6_900), 1, &ask, number).granted,
        yes
    );
    // Later it waits for nothing but a value that both have, and an epoch above.
    assert_eq!(
        lease.on_lease_request(at(7_100), 1, &ask, Some(0)).granted,
        above > 0
    );
}

#[test]
fn words_that_come_after_the_lease_give_no_duty() {
    let mut lease = LeaderLease::new(1, 9, at(0), true, 0);
    let most = |ids: Vec<u64>| ids.len() >= 2;
    let ask = lease.tick(at(0), true, 0).expect("asks");
    let yes = LeaseVote {
        epoch: ask.epoch,
        request_id: ask.request_id,
        granted: true,
    };
    lease.on_lease_vote(at(1), 1, &yes, 0, most);
    // It was frozen meanwhile.
    lease.on_lease_vote(at(5_000), 2, &yes, 0, most);
    assert_eq!(lease.held_epoch(at(5_000)), None);
    assert!(!lease.is_held_at(at(5_000), 0));
}
