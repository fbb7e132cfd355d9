//! Voters that exchange messages at once, one step at a time: how a fleet is founded and keeps its state. Random
//! schedules are run by the simulation of fleets; here are the edge cases that explain them.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use linenthread_fleet::frame::Frame;
use linenthread_fleet::{
    CommittedValue, ConditionalWrite, FleetEvent, NumberedValue, OpenError, ProposeError, Stage,
    Voter, VoterAction, VoterConfig, VoterIncarnation,
};
use linenthread_store::SimulatedDisk;

type Disk = Rc<RefCell<SimulatedDisk>>;

/// Voters on one clock; what they send arrives at once, but where they are partitioned.
struct Cluster {
    now: i64,
    voters: BTreeMap<String, Voter<Disk>>,
    disks: BTreeMap<String, Disk>,
    /// Pairs that cannot reach each other.
    partitions: Vec<(String, String)>,
    committed: BTreeMap<(String, u64), Vec<u8>>,
    events: Vec<(String, FleetEvent)>,
    starts: u64,
}

const NAMES: [&str; 3] = ["catania", "messina", "palermo"];

fn write(topic: &str, expected_number: u64, value: &[u8]) -> ConditionalWrite {
    ConditionalWrite {
        topic: topic.to_owned(),
        expected_number,
        value: value.to_vec(),
    }
}

fn numbered(number: u64, value: &[u8]) -> NumberedValue {
    NumberedValue {
        number,
        value: value.to_vec(),
    }
}

impl Cluster {
    fn new() -> Cluster {
        Cluster {
            now: 1_000_000,
            voters: BTreeMap::new(),
            disks: NAMES
                .iter()
                .map(|n| (n.to_string(), Disk::default()))
                .collect(),
            partitions: Vec::new(),
            committed: BTreeMap::new(),
            events: Vec::new(),
            starts: 0,
        }
    }

    fn is_partitioned(&self, a: &str, b: &str) -> bool {
        self.partitions
            .iter()
            .any(|(x, y)| (x == a && y == b) || (x == b && y == a))
    }

    /// Nobody reaches this one, nor is reached by it.
    fn isolate(&mut self, name: &str) {
        self.partitions = NAMES
            .iter()
            .filter(|n| **n != name)
            .map(|n| (n.to_string(), name.to_owned()))
            .collect();
    }

    fn start(&mut self, name: &str) -> Result<(), OpenError> {
        self.starts += 1;
        let config = VoterConfig {
            name: name.into(),
            voters: NAMES.map(str::to_owned).to_vec(),
            seed: self.starts,
        };
        let mut to = Vec::new();
        let voter = Voter::new(config, self.disks[name].clone(), self.now, &mut to)?;
        self.voters.insert(name.into(), voter);
        let others: Vec<String> = self.voters.keys().filter(|n| *n != name).cloned().collect();
        for other in &others {
            self.act(name, |voter, _, to| voter.on_connected(other, to));
            self.act(other, |voter, _, to| voter.on_connected(name, to));
        }
        Ok(())
    }

    fn stop(&mut self, name: &str) {
        self.voters.remove(name);
        let others: Vec<String> = self.voters.keys().cloned().collect();
        others
            .iter()
            .for_each(|other| self.act(other, |voter, _, _| voter.on_disconnected(name)));
    }

    fn act(&mut self, name: &str, call: impl FnOnce(&mut Voter<Disk>, i64, &mut Vec<VoterAction>)) {
        let mut to = Vec::new();
        let Some(voter) = self.voters.get_mut(name) else {
            return;
        };
        call(voter, self.now, &mut to);
        let mut pending: VecDeque<(String, VoterAction)> =
            to.into_iter().map(|one| (name.to_owned(), one)).collect();
        while let Some((from, one)) = pending.pop_front() {
            match one {
                VoterAction::Send { to: name, frame } if !self.is_partitioned(&name, &from) => {
                    // Over the wire and back.
                    let mut bytes = frame.encode();
                    let mut answers = Vec::new();
                    Frame::drain(&mut bytes, |frame| {
                        if let Some(voter) = self.voters.get_mut(&name) {
                            voter.on_frame(self.now, &from, frame, &mut answers);
                        }
                    })
                    .unwrap();
                    pending.extend(answers.into_iter().map(|one| (name.clone(), one)));
                }
                VoterAction::Send { .. } => {}
                VoterAction::Committed(CommittedValue {
                    topic,
                    number,
                    value,
                }) => {
                    let known = self
                        .committed
                        .entry((topic, number))
                        .or_insert_with(|| value.clone());
                    assert_eq!(*known, value, "one-value");
                }
                VoterAction::Log(event) => self.events.push((from, event)),
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
            .filter(|n| self.voters.get(*n).is_some_and(|v| v.is_leader(self.now)))
            .collect()
    }

    fn propose(
        &mut self,
        topic: &str,
        expected_number: u64,
        value: &[u8],
    ) -> Result<(), ProposeError> {
        let leader = self
            .leaders()
            .first()
            .copied()
            .ok_or(ProposeError::NotLeader)?
            .to_owned();
        let mut done = Ok(());
        self.act(&leader, |v, now, to| {
            done = v.propose(now, &write(topic, expected_number, value), to);
        });
        done
    }

    fn founded() -> Cluster {
        let mut cluster = Cluster::new();
        NAMES.iter().for_each(|name| cluster.start(name).unwrap());
        cluster.run(5);
        assert_eq!(cluster.leaders().len(), 1, "{:?}", cluster.events);
        cluster.propose("table", 0, b"first").unwrap();
        cluster.run(1);
        for voter in cluster.voters.values() {
            assert_eq!(voter.table().value("table"), Some(&numbered(1, b"first")));
        }
        cluster
    }
}

#[test]
fn a_fleet_is_founded_by_all_its_voters_and_by_no_fewer() {
    let mut cluster = Cluster::new();
    cluster.start("catania").unwrap();
    cluster.start("messina").unwrap();
    cluster.run(30);
    assert!(
        cluster.voters.values().all(|v| v.stage() == Stage::Empty),
        "{:?}",
        cluster.events
    );
    cluster.start("palermo").unwrap();
    cluster.run(5);
    assert_eq!(cluster.leaders().len(), 1);
    // A value is written on the number that it is based on, once.
    cluster.propose("table", 0, b"one").unwrap();
    cluster.propose("table", 0, b"other").unwrap();
    cluster.propose("table", 1, b"two").unwrap();
    cluster.run(1);
    assert_eq!(cluster.committed.len(), 2);
    assert_eq!(cluster.committed[&("table".into(), 2)], b"two");
}

#[test]
fn the_state_survives_a_crash_of_all_voters_and_a_minority_commits_nothing() {
    let mut cluster = Cluster::founded();
    let leader = cluster.leaders()[0].to_owned();
    cluster.isolate(&leader);
    cluster.run(3);
    // NodeIdentity led alone leads no more, and says so at once rather than with its next check.
    let new = cluster.leaders();
    assert!(new.len() == 1 && new[0] != leader, "{new:?}");
    let mut refused = Ok(());
    cluster.act(&leader, |v, now, to| {
        refused = v.propose(now, &write("table", 1, b"alone"), to);
    });
    let refused = refused.unwrap_err();
    assert!(matches!(refused, ProposeError::NotLeader));
    assert_eq!(refused.to_string(), "this process does not lead");
    cluster.propose("table", 1, b"second").unwrap();
    NAMES.iter().for_each(|name| cluster.stop(name));
    let mut chance = oorandom::Rand64::new(5);
    cluster
        .disks
        .values()
        .for_each(|disk| disk.borrow_mut().crash(&mut chance));
    cluster.partitions.clear();
    // Two of three are enough once the fleet exists.
    cluster.start("messina").unwrap();
    cluster.start("palermo").unwrap();
    cluster.run(5);
    assert_eq!(cluster.leaders().len(), 1, "{:?}", cluster.events);
    for voter in cluster.voters.values() {
        assert_eq!(voter.table().value("table"), Some(&numbered(2, b"second")));
    }
}

#[test]
fn a_voter_that_lost_its_disk_gets_a_new_identity_and_one_whose_disk_fails_is_not_empty() {
    let mut cluster = Cluster::founded();
    cluster.stop("catania");
    cluster.disks.insert("catania".into(), Disk::default());
    cluster.start("catania").unwrap();
    cluster.run(10);
    let incarnation = cluster.voters["catania"].incarnation().unwrap();
    assert_ne!(incarnation, VoterIncarnation::FOUNDER, "former-self");
    assert!(cluster.voters["catania"].votes(), "{:?}", cluster.events);
    // Both others' disks fail; then this one is lost again. What they hold is unknown: no fleet is founded again.
    for name in ["messina", "palermo"] {
        cluster.disks[name].borrow_mut().syncs_until_failure = Some(0);
    }
    for number in 0..40 {
        cluster.propose("table", number, b"more").ok();
        cluster.run(1);
        if cluster
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
        cluster.events.iter().any(|(_, event)| event
            .to_string()
            .contains("this voter steps down: the disk failed")),
        "{:?}",
        cluster.events
    );
    cluster.stop("catania");
    cluster.disks.insert("catania".into(), Disk::default());
    cluster.start("catania").unwrap();
    cluster.run(20);
    assert_eq!(
        cluster.voters["catania"].stage(),
        Stage::Empty,
        "{:?}",
        cluster.events
    );
    assert!(cluster.leaders().is_empty());
}

#[test]
fn a_suspended_leader_does_not_lead_when_it_resumes() {
    let mut cluster = Cluster::founded();
    let leader = cluster.leaders()[0].to_owned();
    let suspended = cluster.voters.remove(&leader).unwrap();
    cluster.run(10);
    let new = cluster.leaders()[0].to_owned();
    cluster.voters.insert(leader.clone(), suspended);
    // Before any message reaches it, by its own clock alone.
    assert!(!cluster.voters[&leader].is_leader(cluster.now));
    cluster.isolate(&leader);
    cluster.act(&leader, linenthread_fleet::Voter::wake);
    assert!(
        cluster
            .events
            .last()
            .unwrap()
            .1
            .to_string()
            .contains("does not lead any more"),
        "{:?}",
        cluster.events
    );
    cluster.partitions.clear();
    cluster.run(2);
    assert_eq!(cluster.leaders(), [new]);
}

/// One voter is partitioned from the leader and requests the third one's vote again and again. That one restarts and
/// does not remember that it has confirmed the leader: whenever that happens, nobody else leads while the lease lasts.
#[test]
fn a_restarted_voter_does_not_vote_while_a_lease_may_last() {
    for offset in 0..30 {
        let mut cluster = Cluster::founded();
        let leader = cluster.leaders()[0].to_owned();
        let others: Vec<&str> = NAMES.into_iter().filter(|n| *n != leader).collect();
        cluster.partitions = vec![(leader.clone(), others[0].to_owned())];
        cluster.steps(160 + 2 * offset);
        assert_eq!(cluster.leaders(), [leader.as_str()]);
        cluster.stop(others[1]);
        cluster.start(others[1]).unwrap();
        cluster.isolate(&leader);
        for _ in 0..40 {
            cluster.steps(1);
            assert!(
                cluster.leaders().len() < 2,
                "one-leader, {offset}: {:?}",
                cluster.leaders()
            );
        }
        cluster.run(5);
        assert!(cluster.leaders().len() == 1 && others.contains(&cluster.leaders()[0]));
    }
}

#[test]
fn a_damaged_or_foreign_folder_is_not_opened() {
    let mut cluster = Cluster::founded();
    (1..5).for_each(|number| {
        cluster.propose("table", number, b"next").unwrap();
        cluster.run(1);
    });
    cluster.stop("catania");
    let mut chance = oorandom::Rand64::new(3);
    cluster.disks["catania"]
        .borrow_mut()
        .flip_bit(&mut chance)
        .unwrap();
    let error = cluster.start("catania").unwrap_err().to_string();
    assert!(error.contains("is damaged at byte"), "{error}");
    cluster
        .disks
        .insert("catania".into(), cluster.disks["messina"].clone());
    let error = cluster.start("catania").unwrap_err().to_string();
    assert_eq!(
        error,
        "the folder belongs to the voter messina, not to catania"
    );
}

/// What no correct voter sends neither ends the process nor changes what was committed.
#[test]
fn impossible_messages_are_rejected() {
    use raft::eraftpb::{Entry, Message, MessageType};
    let mut cluster = Cluster::founded();
    let leader = cluster.leaders()[0].to_owned();
    let victim = NAMES.into_iter().find(|n| *n != leader).unwrap();
    let term = cluster.voters[victim].term().0;
    let mut seen = None;
    cluster.act(&leader, |v, now, to| {
        v.propose(now, &write("table", 1, b"x"), to).unwrap();
        seen = to.iter().find_map(|one| match one {
            VoterAction::Send {
                to,
                frame: Frame::Raft(m),
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
        cluster.act(victim, |v, now, to| {
            v.on_frame(now, &leader, Frame::Raft(Box::new(message)), to);
        });
        assert!(
            cluster.events.last().unwrap().1.to_string().contains(why),
            "{:?}",
            cluster.events.last()
        );
    }
    cluster.run(2);
    cluster.propose("table", 2, b"goes on").unwrap();
    cluster.run(1);
    assert_eq!(cluster.voters[victim].table().number("table"), 3);
}
