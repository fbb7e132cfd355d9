//! Voters that talk to each other at once, one step at a time: how a fleet is founded and keeps its record. Random
//! schedules are played by `linenthread-drill fleet`; here stand the edges that explain them.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use linenthread_fleet::frame::{Frame, Standing};
use linenthread_fleet::{
    Agreed, Members, MembersDo, MembersTerms, Stage, Voter, VoterDo, VoterTerms, Who,
};
use linenthread_frames::Secrets;
use linenthread_store::SimulatedDisk;
use proptest::prelude::*;

type Disk = Rc<RefCell<SimulatedDisk>>;

/// Voters on one clock; what is said arrives at once, but over ways that are cut.
struct Room {
    now: i64,
    voters: BTreeMap<String, Voter<Disk>>,
    disks: BTreeMap<String, Disk>,
    /// Pairs that can't reach each other.
    cut: Vec<(String, String)>,
    agreed: BTreeMap<(String, u64), Vec<u8>>,
    lines: Vec<String>,
    starts: u64,
}

const NAMES: [&str; 3] = ["catania", "messina", "palermo"];

impl Room {
    fn new() -> Room {
        Room {
            now: 1_000_000,
            voters: BTreeMap::new(),
            disks: NAMES
                .iter()
                .map(|n| (n.to_string(), Disk::default()))
                .collect(),
            cut: Vec::new(),
            agreed: BTreeMap::new(),
            lines: Vec::new(),
            starts: 0,
        }
    }

    fn is_cut(&self, a: &str, b: &str) -> bool {
        self.cut
            .iter()
            .any(|(x, y)| (x == a && y == b) || (x == b && y == a))
    }

    /// Nobody reaches this one, nor is reached by it.
    fn cut_off(&mut self, name: &str) {
        self.cut = NAMES
            .iter()
            .filter(|n| **n != name)
            .map(|n| (n.to_string(), name.to_owned()))
            .collect();
    }

    fn start(&mut self, name: &str) -> Result<(), String> {
        self.starts += 1;
        let terms = VoterTerms {
            own: name.into(),
            voters: NAMES.map(str::to_owned).to_vec(),
        };
        let mut to = Vec::new();
        let voter = Voter::new(
            terms,
            self.disks[name].clone(),
            self.starts,
            self.now,
            &mut to,
        )?;
        self.voters.insert(name.into(), voter);
        let others: Vec<String> = self.voters.keys().filter(|n| *n != name).cloned().collect();
        for other in &others {
            self.act(name, |voter, _, to| voter.opened(other, to));
            self.act(other, |voter, _, to| voter.opened(name, to));
        }
        Ok(())
    }

    fn stop(&mut self, name: &str) {
        self.voters.remove(name);
        let others: Vec<String> = self.voters.keys().cloned().collect();
        others
            .iter()
            .for_each(|other| self.act(other, |voter, _, _| voter.lost(name)));
    }

    fn act(&mut self, name: &str, call: impl FnOnce(&mut Voter<Disk>, i64, &mut Vec<VoterDo>)) {
        let mut to = Vec::new();
        let Some(voter) = self.voters.get_mut(name) else {
            return;
        };
        call(voter, self.now, &mut to);
        let mut said: VecDeque<(String, VoterDo)> =
            to.into_iter().map(|one| (name.to_owned(), one)).collect();
        while let Some((from, one)) = said.pop_front() {
            match one {
                VoterDo::Say { to: name, frame } if !self.is_cut(&name, &from) => {
                    // Over the wire and back.
                    let mut bytes = frame.encode();
                    let mut answers = Vec::new();
                    Frame::take_all(&mut bytes, |frame| {
                        if let Some(voter) = self.voters.get_mut(&name) {
                            voter.received(self.now, &from, frame, &mut answers);
                        }
                    })
                    .unwrap();
                    said.extend(answers.into_iter().map(|one| (name.clone(), one)));
                }
                VoterDo::Say { .. } => {}
                VoterDo::Agreed(Agreed {
                    topic,
                    number,
                    value,
                }) => {
                    let known = self
                        .agreed
                        .entry((topic, number))
                        .or_insert_with(|| value.clone());
                    assert_eq!(*known, value, "one-value");
                }
                VoterDo::Line(line) => self.lines.push(format!("{from}: {line}")),
            }
        }
    }

    fn run(&mut self, seconds: i64) {
        self.steps(seconds * 40);
    }

    fn steps(&mut self, steps: i64) {
        for _ in 0..steps {
            self.now += 250;
            NAMES
                .iter()
                .for_each(|name| self.act(name, linenthread_fleet::Voter::wake));
        }
    }

    fn leaders(&self) -> Vec<&str> {
        NAMES
            .into_iter()
            .filter(|n| self.voters.get(*n).is_some_and(|v| v.leads(self.now)))
            .collect()
    }

    fn propose(&mut self, topic: &str, based_on: u64, value: &[u8]) -> Result<(), String> {
        let leader = self
            .leaders()
            .first()
            .copied()
            .ok_or("nobody leads")?
            .to_owned();
        let mut done = Ok(());
        self.act(&leader, |v, now, to| {
            done = v.propose(now, topic, based_on, value.to_vec(), to);
        });
        done
    }

    fn founded() -> Room {
        let mut room = Room::new();
        NAMES.iter().for_each(|name| room.start(name).unwrap());
        room.run(5);
        assert_eq!(room.leaders().len(), 1, "{:?}", room.lines);
        room.propose("table", 0, b"first").unwrap();
        room.run(1);
        for voter in room.voters.values() {
            assert_eq!(voter.board().value("table"), Some((1, &b"first"[..])));
        }
        room
    }
}

#[test]
fn a_fleet_is_founded_by_all_its_voters_and_by_no_fewer() {
    let mut room = Room::new();
    room.start("catania").unwrap();
    room.start("messina").unwrap();
    room.run(30);
    assert!(
        room.voters.values().all(|v| v.stage() == Stage::Empty),
        "{:?}",
        room.lines
    );
    room.start("palermo").unwrap();
    room.run(5);
    assert_eq!(room.leaders().len(), 1);
    // A value is written on the number that it is based on, once.
    room.propose("table", 0, b"one").unwrap();
    room.propose("table", 0, b"other").unwrap();
    room.propose("table", 1, b"two").unwrap();
    room.run(1);
    assert_eq!(room.agreed.len(), 2);
    assert_eq!(room.agreed[&("table".into(), 2)], b"two");
}

#[test]
fn a_record_outlasts_all_its_voters_and_a_minority_writes_nothing() {
    let mut room = Room::founded();
    let leader = room.leaders()[0].to_owned();
    room.cut_off(&leader);
    room.run(3);
    // Who led alone leads no more, and says so at once rather than with its next check.
    let new = room.leaders();
    assert!(new.len() == 1 && new[0] != leader, "{new:?}");
    let mut refused = Ok(());
    room.act(&leader, |v, now, to| {
        refused = v.propose(now, "table", 1, b"alone".to_vec(), to);
    });
    assert_eq!(refused, Err("this process does not lead".into()));
    room.propose("table", 1, b"second").unwrap();
    NAMES.iter().for_each(|name| room.stop(name));
    let mut chance = oorandom::Rand64::new(5);
    room.disks
        .values()
        .for_each(|disk| disk.borrow_mut().crash(&mut chance));
    room.cut.clear();
    // Two of three are enough, once there is a record.
    room.start("messina").unwrap();
    room.start("palermo").unwrap();
    room.run(5);
    assert_eq!(room.leaders().len(), 1, "{:?}", room.lines);
    for voter in room.voters.values() {
        assert_eq!(voter.board().value("table"), Some((2, &b"second"[..])));
    }
}

#[test]
fn a_voter_without_its_disk_is_another_and_one_whose_disk_fails_is_not_empty() {
    let mut room = Room::founded();
    room.stop("catania");
    room.disks.insert("catania".into(), Disk::default());
    room.start("catania").unwrap();
    room.run(10);
    let life = room.voters["catania"].life().unwrap();
    assert_ne!(life, 0, "former-self");
    assert!(room.voters["catania"].votes(), "{:?}", room.lines);
    // Both others' disks fail; then this one is lost again. What they hold is not known: nothing is founded anew.
    for name in ["messina", "palermo"] {
        room.disks[name].borrow_mut().syncs_until_failure = Some(0);
    }
    for number in 0..40 {
        room.propose("table", number, b"more").ok();
        room.run(1);
        if room
            .voters
            .values()
            .filter(|v| matches!(v.stage(), Stage::Stopped(_)))
            .count()
            == 2
        {
            break;
        }
    }
    assert!(
        room.lines
            .iter()
            .any(|l| l.contains("this voter steps down: the disk failed")),
        "{:?}",
        room.lines
    );
    room.stop("catania");
    room.disks.insert("catania".into(), Disk::default());
    room.start("catania").unwrap();
    room.run(20);
    assert_eq!(
        room.voters["catania"].stage(),
        Stage::Empty,
        "{:?}",
        room.lines
    );
    assert!(room.leaders().is_empty());
}

#[test]
fn one_that_was_stopped_leads_no_more_when_it_goes_on() {
    let mut room = Room::founded();
    let leader = room.leaders()[0].to_owned();
    let held = room.voters.remove(&leader).unwrap();
    room.run(10);
    let new = room.leaders()[0].to_owned();
    room.voters.insert(leader.clone(), held);
    // Before a word reaches it, by its own clock alone.
    assert!(!room.voters[&leader].leads(room.now));
    room.cut_off(&leader);
    room.act(&leader, linenthread_fleet::Voter::wake);
    assert!(
        room.lines
            .last()
            .unwrap()
            .contains("does not lead any more"),
        "{:?}",
        room.lines
    );
    room.cut.clear();
    room.run(2);
    assert_eq!(room.leaders(), [new]);
}

/// One is cut off from who leads, and asks the other for its vote again and again. That other starts anew, knows
/// nothing of the word it gave, and is asked: whenever that is, there is no second who leads while the lease lasts.
#[test]
fn one_that_has_just_started_gives_no_vote_for_as_long_as_a_lease_may_last() {
    for offset in 0..30 {
        let mut room = Room::founded();
        let leader = room.leaders()[0].to_owned();
        let others: Vec<&str> = NAMES.into_iter().filter(|n| *n != leader).collect();
        room.cut = vec![(leader.clone(), others[0].to_owned())];
        room.steps(160 + 2 * offset);
        assert_eq!(room.leaders(), [leader.as_str()]);
        room.stop(others[1]);
        room.start(others[1]).unwrap();
        room.cut_off(&leader);
        for _ in 0..40 {
            room.steps(1);
            assert!(
                room.leaders().len() < 2,
                "one-leader, {offset}: {:?}",
                room.leaders()
            );
        }
        room.run(5);
        assert!(room.leaders().len() == 1 && others.contains(&room.leaders()[0]));
    }
}

#[test]
fn damage_refuses_to_start_and_a_folder_belongs_to_one_voter() {
    let mut room = Room::founded();
    (1..5).for_each(|number| {
        room.propose("table", number, b"next").unwrap();
        room.run(1);
    });
    room.stop("catania");
    let mut chance = oorandom::Rand64::new(3);
    room.disks["catania"]
        .borrow_mut()
        .flip_bit(&mut chance)
        .unwrap();
    let said = room.start("catania").unwrap_err();
    assert!(said.contains("is damaged at byte"), "{said}");
    room.disks
        .insert("catania".into(), room.disks["messina"].clone());
    let said = room.start("catania").unwrap_err();
    assert_eq!(
        said,
        "the folder belongs to the voter messina, not to catania"
    );
}

/// What no sound voter says ends neither the process nor what was agreed on.
#[test]
fn messages_that_cannot_be_are_refused() {
    use raft::eraftpb::{Entry, Message, MessageType};
    let mut room = Room::founded();
    let leader = room.leaders()[0].to_owned();
    let victim = NAMES.into_iter().find(|n| *n != leader).unwrap();
    let term = room.voters[victim].term();
    let mut seen = None;
    room.act(&leader, |v, now, to| {
        v.propose(now, "table", 1, b"x".to_vec(), to).unwrap();
        seen = to.iter().find_map(|one| match one {
            VoterDo::Say {
                to,
                frame: Frame::Record(m),
            } if to == victim => Some(m.clone()),
            _ => None,
        });
    });
    let good = *seen.unwrap();
    let mut beyond = Message {
        msg_type: MessageType::MsgHeartbeat,
        term,
        ..good.clone()
    };
    beyond.commit = 1_000_000;
    let mut other = Message {
        index: 1,
        log_term: 1,
        ..good.clone()
    };
    other.entries = vec![Entry {
        index: 2,
        term: 1,
        ..Entry::default()
    }]
    .into();
    let mut gap = good.clone();
    gap.entries[0].index += 7;
    for (message, why) in [
        (beyond, "cannot be agreed on"),
        (other, "cannot stand there"),
        (gap, "cannot stand there"),
    ] {
        room.act(victim, |v, now, to| {
            v.received(now, &leader, Frame::Record(Box::new(message)), to);
        });
        assert!(
            room.lines.last().unwrap().contains(why),
            "{:?}",
            room.lines.last()
        );
    }
    room.run(2);
    room.propose("table", 2, b"goes on").unwrap();
    room.run(1);
    assert_eq!(room.voters[victim].board().number("table"), 3);
}

fn member(n: usize, now: i64) -> Members {
    let at = |n: usize| ([127, 0, 0, 1], 4_000 + n as u16).into();
    let own = Who {
        life: 1,
        zone: "z".into(),
        ..Who::stranger(&format!("m{n}"), at(n))
    };
    let terms = MembersTerms {
        own,
        ask: vec![("m0".into(), at(0))],
        expected: 8,
        probe: 5_000,
    };
    Members::new(
        terms,
        Secrets::new(vec![vec![7; 16]]).unwrap(),
        n as u64,
        now,
    )
}

/// Eight members: all know all, one that falls silent is gone for all within seconds, one that leaves at once.
#[test]
fn members_find_each_other_and_those_who_are_gone() {
    let mut now = 0;
    let mut all: Vec<Option<Members>> = (0..8).map(|n| Some(member(n, now))).collect();
    let mut mail = VecDeque::new();
    let mut run = |all: &mut Vec<Option<Members>>,
                   seconds: i64,
                   until: &dyn Fn(&[Option<Members>]) -> bool| {
        let end = now + seconds * 10_000;
        while now < end && !until(all) {
            now += 500;
            for one in all.iter_mut().flatten() {
                let mut to = Vec::new();
                one.wake(now, &mut to);
                mail.extend(to);
            }
            while let Some(one) = mail.pop_front() {
                let MembersDo::Send { to, bytes } = one else {
                    continue;
                };
                if let Some(Some(member)) = all.get_mut(usize::from(to.port()) - 4_000) {
                    let mut answers = Vec::new();
                    member.received(now, &bytes, &mut answers).unwrap();
                    // A word that was changed on its way proves nothing.
                    let mut spoilt = bytes.clone();
                    spoilt[9] ^= 1;
                    assert!(member.received(now, &spoilt, &mut answers).is_err());
                    mail.extend(answers);
                }
            }
        }
        until(all)
    };
    let known = |n: usize| {
        move |all: &[Option<Members>]| all.iter().flatten().all(|m| m.alive().count() == n)
    };
    assert!(run(&mut all, 20, &known(7)), "all know all");
    all[3] = None;
    assert!(
        run(&mut all, 20, &known(6)),
        "one that fell silent is gone for all"
    );
    let mut to = Vec::new();
    all[5].as_mut().unwrap().leave(1_000_000, &mut to);
    assert!(to.iter().any(|one| matches!(one, MembersDo::Send { .. })));
    all[5] = None;
    assert!(
        run(&mut all, 20, &known(5)),
        "one that left is gone for all"
    );
    // Back under its name, as a later life.
    let mut back = member(3, 0);
    back = Members::new(
        MembersTerms {
            own: Who {
                life: 2,
                ..back.own().clone()
            },
            ask: vec![("m0".into(), ([127, 0, 0, 1], 4_000).into())],
            expected: 8,
            probe: 5_000,
        },
        Secrets::new(vec![vec![7; 16]]).unwrap(),
        99,
        0,
    );
    all[3] = Some(back);
    assert!(
        run(&mut all, 30, &known(6)),
        "one that is back is known to all"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any bytes are frames or an error, and frames come back as they went.
    #[test]
    fn hostile_bytes_are_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300), kind in 1_u8..12) {
        let fields = [vec![kind], bytes.clone()].concat();
        if let Ok(frame) = Frame::fields(&fields) {
            let again = frame.encode();
            prop_assert_eq!(Frame::fields(&again[4..]), Ok(frame));
        }
        let mut read = bytes;
        let _ = Frame::take_all(&mut read, |_| {});
    }

    #[test]
    fn standings_cross(life in any::<u64>(), at in 0_usize..4) {
        let standing = [Standing::Empty, Standing::Founded, Standing::Holding, Standing::Stopped][at];
        let frame = Frame::Standing { standing, life, founders: 7 };
        prop_assert_eq!(Frame::fields(&frame.encode()[4..]), Ok(frame));
    }
}
