//! Test cluster of three voters with a common clock.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use linenthread_fleet::frame::Frame;
use linenthread_fleet::{
    CommittedValue, ConditionalWrite, FleetEvent, OpenError, ProposeError, Voter, VoterAction,
    VoterConfig,
};
use linenthread_store::SimulatedDisk;

/// A disk that outlives its voter, so that a restarted voter finds its contents.
pub(crate) type Disk = Rc<RefCell<SimulatedDisk>>;

/// The voters' names.
pub(crate) const NAMES: [&str; 3] = ["catania", "messina", "palermo"];
/// Time between two wake-ups, in tenths of a millisecond.
const STEP: i64 = 250;
const STEPS_PER_SECOND: i64 = 40;

/// An event or action of one of the voters.
pub(crate) struct FromVoter<T> {
    /// The voter's name.
    pub(crate) voter: String,
    pub(crate) item: T,
}

/// Voters with a common clock; their frames are delivered immediately, except between partitioned voters.
pub(crate) struct Cluster {
    pub(crate) now: i64,
    pub(crate) voters: BTreeMap<String, Voter<Disk>>,
    pub(crate) disks: BTreeMap<String, Disk>,
    /// Pairs of voters that cannot reach each other.
    pub(crate) partitions: Vec<(String, String)>,
    /// Committed values by topic and number.
    pub(crate) committed: BTreeMap<(String, u64), Vec<u8>>,
    pub(crate) events: Vec<FromVoter<FleetEvent>>,
    starts: u64,
}

impl Cluster {
    pub(crate) fn new() -> Cluster {
        let disks = NAMES.map(|name| (name.to_owned(), Disk::default()));
        Cluster {
            now: 1_000_000,
            voters: BTreeMap::new(),
            disks: BTreeMap::from(disks),
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

    pub(crate) fn start(&mut self, name: &str) -> Result<(), OpenError> {
        self.starts += 1;
        let config = VoterConfig {
            name: name.to_owned(),
            voters: NAMES.map(str::to_owned).to_vec(),
            seed: self.starts,
        };
        let disk = self.disks[name].clone();
        let voter = Voter::new(config, disk, self.now, &mut Vec::new())?;
        self.voters.insert(name.to_owned(), voter);
        for other in self.others(name) {
            self.act(name, |voter, _, actions| {
                voter.on_connected(&other, actions);
            });
            self.act(&other, |voter, _, actions| {
                voter.on_connected(name, actions);
            });
        }
        Ok(())
    }

    pub(crate) fn stop(&mut self, name: &str) {
        self.voters.remove(name);
        for other in self.others(name) {
            self.act(&other, |voter, _, _| voter.on_disconnected(name));
        }
    }

    fn others(&self, name: &str) -> Vec<String> {
        let running = self.voters.keys();
        running.filter(|other| *other != name).cloned().collect()
    }

    /// Calls a voter and performs its actions, including those that the frames it sends cause at other voters.
    pub(crate) fn act(
        &mut self,
        name: &str,
        call: impl FnOnce(&mut Voter<Disk>, i64, &mut Vec<VoterAction>),
    ) {
        let Some(voter) = self.voters.get_mut(name) else {
            return;
        };
        let mut actions = Vec::new();
        call(voter, self.now, &mut actions);
        let mut pending = VecDeque::new();
        let with_voter = |voter: &str, actions: Vec<VoterAction>| {
            let voter = voter.to_owned();
            let from_voter = move |item| FromVoter {
                voter: voter.clone(),
                item,
            };
            actions.into_iter().map(from_voter)
        };
        pending.extend(with_voter(name, actions));
        while let Some(FromVoter { voter, item }) = pending.pop_front() {
            match item {
                VoterAction::Send { to, frame } => {
                    let actions = self.deliver(&voter, &to, &frame);
                    pending.extend(with_voter(&to, actions));
                }
                VoterAction::Committed(committed) => self.on_committed(committed),
                VoterAction::Log(event) => self.events.push(FromVoter { voter, item: event }),
            }
        }
    }

    /// Encodes and delivers a frame, and returns the receiver's actions.
    fn deliver(&mut self, from: &str, to: &str, frame: &Frame) -> Vec<VoterAction> {
        let mut actions = Vec::new();
        if self.is_partitioned(from, to) {
            return actions;
        }
        let mut bytes = frame.encode();
        let drained = Frame::drain(&mut bytes, |frame| {
            if let Some(voter) = self.voters.get_mut(to) {
                voter.on_frame(self.now, from, frame, &mut actions);
            }
        });
        drained.expect("the frame decodes");
        actions
    }

    fn on_committed(&mut self, committed: CommittedValue) {
        let CommittedValue {
            topic,
            number,
            value,
        } = committed;
        let known_value = self.committed.entry((topic, number));
        let known_value = known_value.or_insert_with(|| value.clone());
        assert_eq!(*known_value, value, "one-value-per-number");
    }

    pub(crate) fn run(&mut self, seconds: i64) {
        self.steps(seconds * STEPS_PER_SECOND);
    }

    pub(crate) fn steps(&mut self, steps: i64) {
        for _ in 0..steps {
            self.now += STEP;
            for name in NAMES {
                self.act(name, Voter::wake);
            }
        }
    }

    pub(crate) fn leaders(&self) -> Vec<&'static str> {
        let is_leader = |name: &&str| {
            let voter = self.voters.get(*name);
            voter.is_some_and(|voter| voter.is_leader(self.now))
        };
        NAMES.into_iter().filter(is_leader).collect()
    }

    /// Proposes a value at the leader.
    pub(crate) fn propose(
        &mut self,
        topic: &str,
        expected_number: u64,
        value: &[u8],
    ) -> Result<(), ProposeError> {
        let leaders = self.leaders();
        let leader = leaders.first().ok_or(ProposeError::NotLeader)?;
        let write = write(topic, expected_number, value);
        let mut result = Ok(());
        self.act(leader, |voter, now, actions| {
            result = voter.propose(now, &write, actions);
        });
        result
    }
}

pub(crate) fn write(topic: &str, expected_number: u64, value: &[u8]) -> ConditionalWrite {
    ConditionalWrite {
        topic: topic.to_owned(),
        expected_number,
        value: value.to_vec(),
    }
}
