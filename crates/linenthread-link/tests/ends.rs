//! Both ends joined without a socket: each edge of the greeting, of credit and of leaving.

use linenthread_core::interface::{AttemptOutcome, Phase, TenthMillis};
use linenthread_link::{
    Call, Far, FarDo, FarTerms, Frame, Member, Near, NearDo, NearTerms, Secrets,
};

const OLD: &[u8] = b"the secret that was used";
const NEW: &[u8] = b"the secret that is used now";

fn secrets(all: &[&[u8]]) -> Secrets {
    Secrets::new(all.iter().map(|s| s.to_vec()).collect()).unwrap()
}

fn near(secret: &[&[u8]]) -> Near {
    let terms = NearTerms {
        name: "near".into(),
        most_out: 8,
        most_waiting: 10_000,
        keep: 5_000,
        beat: 1_000,
        hold: 500,
        back_off: (10, 100),
    };
    Near::new(terms, secrets(secret), 7)
}

fn far(secret: &[&[u8]], window: u64) -> Far {
    let terms = FarTerms {
        name: "far".into(),
        window,
        window_bytes: 10_000,
        keep: 5_000,
        most_sessions: 2,
        greeting: 500,
        silence: 5_000,
    };
    Far::new(terms, secrets(secret), 8)
}

fn call(text: &str) -> Call {
    Call {
        replica: "r".into(),
        lookup: "l".into(),
        shard: 0,
        round: 0,
        text: text.into(),
    }
}

/// Two ends and what became of them.
struct Pair {
    near: Near,
    far: Far,
    now: TenthMillis,
    connection: u64,
    started: Vec<(u64, u64, String)>,
    ended: Vec<(u64, AttemptOutcome)>,
    up: Vec<bool>,
    closed: Vec<String>,
    /// The far side's list, as it was told.
    lists: Vec<(bool, Vec<(String, Phase)>)>,
    /// Frames that went to the far side.
    sent: Vec<Frame>,
}

impl Pair {
    fn new(near: Near, far: Far) -> Pair {
        Pair {
            near,
            far,
            now: 1_000,
            connection: 0,
            started: Vec::new(),
            ended: Vec::new(),
            up: Vec::new(),
            closed: Vec::new(),
            lists: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn near_does(&mut self, all: Vec<NearDo>) {
        for one in all {
            match one {
                NearDo::Connect => {
                    self.connection += 1;
                    self.near.connected(self.now);
                    self.at_far(linenthread_link::Far::accepted);
                }
                NearDo::Send(frame) => {
                    if let Frame::Call { number, .. } = &frame {
                        self.near.written(*number);
                    }
                    self.sent.push(frame.clone());
                    self.at_far(|far, now, c, to| far.received(now, c, frame, to));
                }
                NearDo::Close(why) => self.closed.push(why),
                NearDo::Ended { number, ending, .. } => self.ended.push((number, ending)),
                NearDo::Up(up) => self.up.push(up),
                NearDo::Members { whole, members } => {
                    self.lists.push((
                        whole,
                        members.into_iter().map(|m| (m.id, m.phase)).collect(),
                    ));
                }
                NearDo::Probed { .. } => {}
            }
        }
    }

    fn at_far(&mut self, take: impl FnOnce(&mut Far, TenthMillis, u64, &mut Vec<FarDo>)) {
        let mut to = Vec::new();
        take(&mut self.far, self.now, self.connection, &mut to);
        for one in to {
            match one {
                FarDo::Send { connection, frame } if connection == self.connection => {
                    let mut to = Vec::new();
                    self.near.received(self.now, frame, &mut to);
                    self.near_does(to);
                }
                FarDo::Start {
                    session,
                    number,
                    call,
                    ..
                } => self.started.push((session, number, call.text)),
                FarDo::Close { why, .. } => self.closed.push(why),
                _ => {}
            }
        }
    }

    fn wake(&mut self) {
        let mut to = Vec::new();
        self.near.wake(self.now, &mut to);
        self.near_does(to);
    }

    fn call(&mut self, text: &str, gain: u32) -> u64 {
        let mut to = Vec::new();
        let number = self
            .near
            .call(self.now, call(text), self.now + 10_000, gain, &mut to);
        self.near_does(to);
        number
    }

    fn end(&mut self, at: usize, ending: AttemptOutcome) {
        let (session, number, text) = self.started[at].clone();
        self.at_far(|far, _, _, to| far.ended(session, number, ending, None, text, to));
    }

    fn lose(&mut self) {
        let mut to = Vec::new();
        self.near.lost(self.now, &mut to);
        self.near_does(to);
        self.far.lost(self.now, self.connection);
    }
}

#[test]
fn only_who_knows_a_secret_gets_in_and_two_may_be_valid_at_once() {
    for (near_knows, far_knows, gets_in) in [
        (&[NEW][..], &[NEW][..], true),
        (&[OLD], &[NEW, OLD], true),
        (&[NEW, OLD], &[OLD, NEW], true),
        (&[NEW], &[OLD, NEW], true),
        (&[OLD], &[NEW], false),
        (&[NEW, OLD], &[OLD], false),
    ] {
        let mut pair = Pair::new(near(near_knows), far(far_knows, 4));
        pair.wake();
        assert_eq!(
            pair.near.is_up(),
            gets_in,
            "{near_knows:?} {far_knows:?}: {:?}",
            pair.closed
        );
    }
    assert!(Secrets::new(vec![b"too short".to_vec()]).is_err());
}

#[test]
fn a_hello_heard_before_proves_nothing_and_other_versions_are_refused() {
    let mut pair = Pair::new(near(&[NEW]), far(&[NEW], 4));
    pair.wake();
    let hello = pair.sent[0].clone();
    // On a connection of its own, with a nonce of its own.
    pair.connection = 77;
    pair.at_far(linenthread_link::Far::accepted);
    let mut to = Vec::new();
    pair.far.received(pair.now, 77, hello.clone(), &mut to);
    assert!(
        matches!(&to[1], FarDo::Close { why, .. } if why.contains("does not prove")),
        "{to:?}"
    );
    let Frame::Hello {
        name,
        nonce,
        session,
        attempt,
        epoch,
        proof,
        ..
    } = hello
    else {
        panic!("a hello")
    };
    for first in [
        Frame::Hello {
            version: 9,
            name,
            nonce,
            session,
            attempt,
            epoch,
            proof,
        },
        Frame::Goodbye,
    ] {
        let mut to = Vec::new();
        pair.far.accepted(pair.now, 78, &mut to);
        pair.far.received(pair.now, 78, first, &mut to);
        assert!(matches!(to.last(), Some(FarDo::Close { .. })), "{to:?}");
    }
    let mut shy = near(&[NEW]);
    let mut to = Vec::new();
    shy.wake(0, &mut to);
    shy.connected(0);
    to.clear();
    shy.received(
        0,
        Frame::Challenge {
            least: 2,
            most: 3,
            nonce: [0; 16],
            name: "f".into(),
        },
        &mut to,
    );
    assert!(
        matches!(&to[0], NearDo::Close(why) if why.contains("2 to 3")),
        "{to:?}"
    );
}

#[test]
fn where_credit_is_short_the_most_gain_goes_first_and_nothing_waits_beyond_the_hold() {
    let mut pair = Pair::new(near(&[NEW]), far(&[NEW], 2));
    pair.wake();
    let numbers: Vec<u64> = [("a", 1), ("b", 1), ("c", 1), ("d", 3), ("e", 2)]
        .into_iter()
        .map(|(text, gain)| pair.call(text, gain))
        .collect();
    let texts = |pair: &Pair| pair.started.iter().map(|s| s.2.clone()).collect::<String>();
    assert_eq!(texts(&pair), "ab");
    pair.end(0, AttemptOutcome::Success);
    pair.end(1, AttemptOutcome::Rejected);
    assert_eq!(texts(&pair), "abde");
    pair.now += 500;
    pair.wake();
    let ended = [
        (numbers[0], AttemptOutcome::Success),
        (numbers[1], AttemptOutcome::Rejected),
        (numbers[2], AttemptOutcome::NotSent),
    ];
    assert_eq!(pair.ended, ended);
    // Bytes are held to a bound as well as calls.
    let long = "x".repeat(6_000);
    for _ in 0..2 {
        pair.call(&long, 1);
    }
    assert_eq!(
        (pair.ended.len(), pair.near.out()),
        (4, 3),
        "{:?} {:?}",
        pair.ended,
        pair.closed
    );
    assert_eq!(pair.ended[3].1, AttemptOutcome::NotSent);
}

#[test]
fn a_short_flap_is_not_said_and_a_long_one_is() {
    let mut pair = Pair::new(near(&[NEW]), far(&[NEW], 4));
    pair.wake();
    pair.call("a", 1);
    pair.lose();
    let waits = pair.call("b", 1);
    pair.now += 100;
    pair.wake();
    assert_eq!((pair.up.as_slice(), pair.ended.len()), (&[true][..], 0));
    assert_eq!(
        pair.started[1].2, "b",
        "it went with the link that came back"
    );
    pair.end(0, AttemptOutcome::Success);
    pair.end(1, AttemptOutcome::Success);
    assert_eq!(pair.ended[1], (waits, AttemptOutcome::Success));
    pair.lose();
    pair.call("c", 1);
    // It cannot be connected to; once the hold is over that is said, and what waited never ran.
    for _ in 0..6 {
        pair.now += 100;
        let mut to = Vec::new();
        pair.near.wake(pair.now, &mut to);
        to.retain(|one| *one != NearDo::Connect);
        pair.near.lost(pair.now, &mut to);
        pair.near_does(to);
    }
    assert_eq!(pair.up, [true, false]);
    assert_eq!(pair.ended.last().unwrap().1, AttemptOutcome::NotSent);
    let refused = pair.call("d", 1);
    assert_eq!(pair.ended.last(), Some(&(refused, AttemptOutcome::NotSent)));
}

#[test]
fn a_gateway_that_leaves_takes_nothing_new_and_finishes_what_it_has() {
    let mut pair = Pair::new(near(&[NEW]), far(&[NEW], 4));
    pair.wake();
    let runs = pair.call("a", 1);
    pair.at_far(|far, _, _, to| far.leave(to));
    assert_eq!(pair.up, [true, false]);
    let late = pair.call("b", 1);
    assert_eq!(pair.ended, [(late, AttemptOutcome::NotSent)]);
    assert_eq!(pair.far.held(), 1);
    pair.end(0, AttemptOutcome::Success);
    assert_eq!(
        (pair.ended[1], pair.far.held()),
        ((runs, AttemptOutcome::Success), 0)
    );
    // One that was on its way when it said so is turned away unseen.
    pair.at_far(|far, now, c, to| {
        far.received(
            now,
            c,
            Frame::Call {
                number: 2,
                remaining_ms: 9,
                call: call("c"),
            },
            to,
        );
    });
    assert_eq!(pair.started.len(), 1);
}

#[test]
fn what_is_out_of_turn_ends_the_connection_and_nothing_else() {
    let bad = [
        Frame::Call {
            number: 3,
            remaining_ms: 9,
            call: call("x"),
        },
        Frame::Call {
            number: 2,
            remaining_ms: 9,
            call: call(&"x".repeat(20_000)),
        },
        Frame::Credit {
            number: 1,
            bytes: 1,
        },
        Frame::Challenge {
            least: 1,
            most: 1,
            nonce: [0; 16],
            name: "n".into(),
        },
    ];
    for frame in bad {
        let mut pair = Pair::new(near(&[NEW]), far(&[NEW], 4));
        pair.wake();
        let number = pair.call("a", 1);
        pair.at_far(|far, now, c, to| far.received(now, c, frame.clone(), to));
        assert!(!pair.near.is_up() && !pair.closed.is_empty(), "{frame:?}");
        // The session goes on, and the outcome with it.
        pair.now += 150;
        pair.wake();
        pair.end(0, AttemptOutcome::Success);
        assert_eq!(
            pair.ended,
            [(number, AttemptOutcome::Success)],
            "{frame:?}: {:?}",
            pair.closed
        );
    }
}

#[test]
fn a_list_is_told_whole_once_and_then_by_its_changes() {
    let member = |id: &str, phase| Member {
        id: id.into(),
        site: "m".into(),
        cell: 0,
        phase,
        age_ms: None,
        share: 250,
    };
    let (ready, draining, gone) = (Phase::Ready, Phase::Draining, Phase::Removed);
    let mut pair = Pair::new(near(&[NEW]), far(&[NEW], 4));
    pair.at_far(|far, _, _, to| far.members(vec![member("a", ready), member("b", ready)], to));
    pair.wake();
    pair.at_far(|far, _, _, to| far.members(vec![member("a", draining), member("c", ready)], to));
    let said = |of: &[(&str, Phase)]| {
        of.iter()
            .map(|(id, p)| (id.to_string(), *p))
            .collect::<Vec<_>>()
    };
    let whole = (true, said(&[("a", ready), ("b", ready)]));
    let changes = (false, said(&[("a", draining), ("c", ready), ("b", gone)]));
    assert_eq!(pair.lists, [whole, changes]);
    // A change that does not follow on what is known ends the connection: the whole list comes with the next.
    let mut to = Vec::new();
    pair.near.received(
        pair.now,
        Frame::Members {
            revision: 9,
            whole: false,
            members: Vec::new(),
        },
        &mut to,
    );
    pair.near_does(to);
    assert!(!pair.near.is_up());
    pair.far.lost(pair.now, pair.connection);
    pair.now += 150;
    pair.wake();
    assert_eq!(
        pair.lists[2],
        (true, said(&[("a", draining), ("c", ready)]))
    );
}
