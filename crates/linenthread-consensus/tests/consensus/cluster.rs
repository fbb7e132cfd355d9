//! Registers on modelled disks and a modelled network, with one clock for all.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use linenthread_consensus::{
    AfterSync, Change, DurableState, Effect, Epoch, Incarnation, JobId, NodeId, Order, Outcome,
    Register, Revision, SyncedRecord, ValueNumber,
};
use linenthread_messages::{PeerMessage, Record, Value};
use linenthread_time::Instant;

use crate::fixtures::{index, voter};

/// The deadline of a job, as `linenthread-control` sets it.
const JOB_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between two ticks.
const STEP: Duration = Duration::from_millis(25);

/// Whether a message from one node to another is lost.
type LossRule = Box<dyn Fn(NodeId, NodeId, &PeerMessage) -> bool>;

struct Node {
    register: Register,
    id: NodeId,
    incarnations: u64,
    disk: Vec<Record>,
    unsynced: Vec<(Record, Vec<AfterSync>)>,
    is_stalled: bool,
    is_isolated: bool,
}

struct Message {
    from: NodeId,
    to: NodeId,
    message: PeerMessage,
}

/// What is on its way to a node.
enum InFlight {
    Message(Message),
    /// A record of this node is synced.
    RecordSynced(NodeId, SyncedRecord),
}

/// Nodes 1 to n; messages and syncs happen at once, unless they are lost or a disk is stalled.
pub(crate) struct Cluster {
    nodes: Vec<Node>,
    now: Instant,
    last_job: u64,
    outcomes: BTreeMap<JobId, Outcome>,
    network: VecDeque<InFlight>,
    lost: LossRule,
    sent: Vec<PeerMessage>,
}

/// An order whose document is this text.
pub(crate) fn order(base: u64, revision: u64, document: &str) -> Change {
    Change::Order(Order {
        base: Revision::new(base),
        revision: Revision::new(revision),
        document: document.into(),
    })
}

/// The outcome of an order that was accepted under this revision.
pub(crate) fn committed(revision: u64) -> Outcome {
    Outcome::Committed(Revision::new(revision))
}

/// The outcome of an order that was rejected while this revision was the newest one.
pub(crate) fn conflict(newest: u64) -> Outcome {
    Outcome::Conflict(Revision::new(newest))
}

fn incarnation(id: NodeId, count: u64) -> Incarnation {
    Incarnation::new(id.0 * 1_000 + count)
}

impl Cluster {
    pub(crate) fn new(size: u64) -> Cluster {
        let genesis = Value {
            voters: (1..=size).map(voter).collect(),
            ..Value::default()
        };
        let node = |id: NodeId| Node {
            register: Register::new(
                id,
                DurableState::default(),
                Some(genesis.clone()),
                incarnation(id, 1),
            ),
            id,
            incarnations: 1,
            disk: vec![Record {
                id: Some(id.0),
                decided: Some(genesis.clone()),
                ..Record::default()
            }],
            unsynced: Vec::new(),
            is_stalled: false,
            is_isolated: false,
        };
        Cluster {
            nodes: (1..=size).map(NodeId).map(node).collect(),
            now: Instant::from_millis(1_000),
            last_job: 1_000,
            outcomes: BTreeMap::new(),
            network: VecDeque::new(),
            lost: Box::new(|_, _, _| false),
            sent: Vec::new(),
        }
    }

    pub(crate) fn register(&self, at: u64) -> &Register {
        &self.nodes[index(at)].register
    }

    pub(crate) fn outcome(&self, job: JobId) -> Option<Outcome> {
        self.outcomes.get(&job).cloned()
    }

    /// From now on messages are lost by this rule of sender, receiver and message.
    pub(crate) fn lose(&mut self, lost: impl Fn(NodeId, NodeId, &PeerMessage) -> bool + 'static) {
        self.lost = Box::new(lost);
    }

    pub(crate) fn isolate(&mut self, nodes: &[u64]) {
        nodes
            .iter()
            .for_each(|at| self.node(*at).is_isolated = true);
    }

    pub(crate) fn heal(&mut self) {
        self.nodes
            .iter_mut()
            .for_each(|node| node.is_isolated = false);
    }

    pub(crate) fn clear_sent(&mut self) {
        self.sent.clear();
    }

    pub(crate) fn count_sent(&self, matches: impl Fn(&PeerMessage) -> bool) -> usize {
        self.sent.iter().filter(|message| matches(message)).count()
    }

    fn node(&mut self, at: u64) -> &mut Node {
        &mut self.nodes[index(at)]
    }

    /// Submits an order as this job.
    pub(crate) fn start_order(&mut self, at: u64, job: JobId, change: Change) {
        let until = self.now + JOB_TIMEOUT;
        self.drive(at, |register, now, effects| {
            register.propose(now, job, change, until, effects);
        });
    }

    /// Submits an order, and waits for its outcome.
    pub(crate) fn order(&mut self, at: u64, change: Change) -> Outcome {
        self.last_job += 1;
        let job = JobId(self.last_job);
        self.start_order(at, job, change);
        self.await_outcome(job)
    }

    fn await_outcome(&mut self, job: JobId) -> Outcome {
        let end = self.now + JOB_TIMEOUT * 2;
        while !self.outcomes.contains_key(&job) && self.now < end {
            self.pass_time(STEP);
        }
        self.outcome(job).expect("each job is completed in time")
    }

    /// Commits orders in a row, each on the one before it.
    pub(crate) fn commit_orders(&mut self, at: u64, revisions: std::ops::RangeInclusive<u64>) {
        for revision in revisions {
            let change = order(revision - 1, revision, &revision.to_string());
            assert_eq!(self.order(at, change), committed(revision));
        }
    }

    pub(crate) fn pass_time(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for at in 1..=self.nodes.len() as u64 {
                self.drive(at, linenthread_consensus::Register::tick);
            }
        }
    }

    /// Starts a new incarnation; what was not synced is lost.
    pub(crate) fn restart(&mut self, at: u64) {
        let node = self.node(at);
        node.incarnations += 1;
        node.unsynced.clear();
        let mut state = DurableState::default();
        node.disk
            .iter()
            .for_each(|record| state.add(record.clone()));
        node.register = Register::new(
            node.id,
            state,
            None,
            incarnation(node.id, node.incarnations),
        );
    }

    pub(crate) fn restart_all(&mut self) {
        (1..=self.nodes.len() as u64).for_each(|at| self.restart(at));
    }

    /// Replaces a disk by an empty one, which learns what is decided; then another node makes it a voter in the place of
    /// the old one.
    pub(crate) fn replace_disk(&mut self, at: u64) {
        let other = at % self.nodes.len() as u64 + 1;
        let node = self.node(at);
        let old = node.id;
        node.id.0 += 100;
        (node.incarnations, node.disk, node.unsynced) = (1, Vec::new(), Vec::new());
        node.register = Register::new(
            node.id,
            DurableState::default(),
            None,
            incarnation(node.id, 1),
        );
        let new = node.id;
        let value = self.register(other).decided().expect("has one").clone();
        let (base_number, epoch) = (ValueNumber::of(&value), Epoch::new(value.epoch));
        let mut voters = value.voters.clone();
        let from = self.register(other).id();
        self.send(from, new, PeerMessage::Decided(value));
        self.deliver_all();
        self.pass_time(Duration::from_secs(1));
        voters
            .iter_mut()
            .filter(|voter| NodeId::from(&**voter) == old)
            .for_each(|voter| voter.id = new.0);
        assert!(matches!(
            self.order(
                other,
                Change::Voters {
                    base_number,
                    voters,
                    epoch
                }
            ),
            Outcome::Committed(_)
        ));
    }

    /// From now on no record is synced at this node, until [`Cluster::sync_disk`].
    pub(crate) fn stall_disk(&mut self, at: u64) {
        self.node(at).is_stalled = true;
    }

    pub(crate) fn sync_disk(&mut self, at: u64) {
        self.node(at).is_stalled = false;
        self.deliver_all();
    }

    /// Drops the records that wait for a stalled disk, and the messages that wait for them.
    pub(crate) fn drop_unsynced(&mut self, at: u64) {
        self.node(at).unsynced.clear();
    }

    fn drive(&mut self, at: u64, step: impl FnOnce(&mut Register, Instant, &mut Vec<Effect>)) {
        let (now, mut effects) = (self.now, Vec::new());
        step(&mut self.node(at).register, now, &mut effects);
        self.carry_out(at, effects);
        self.deliver_all();
    }

    fn carry_out(&mut self, at: u64, effects: Vec<Effect>) {
        let from = self.node(at).id;
        let ids: Vec<NodeId> = self.nodes.iter().map(|node| node.id).collect();
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(from, to, message),
                Effect::Persist { record, after_sync } => {
                    self.node(at).unsynced.push((record, after_sync));
                }
                Effect::Reply { job, outcome } => _ = self.outcomes.insert(job, outcome),
                // The control node sends it to all others at once.
                Effect::Decided(value) => {
                    for to in ids.iter().copied().filter(|to| *to != from) {
                        self.send(from, to, PeerMessage::Decided(value.clone()));
                    }
                }
            }
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: PeerMessage) {
        self.network
            .push_back(InFlight::Message(Message { from, to, message }));
    }

    /// Delivers what is in flight until nothing is.
    fn deliver_all(&mut self) {
        loop {
            self.sync();
            match self.network.pop_front() {
                Some(InFlight::Message(message)) => self.deliver(message),
                Some(InFlight::RecordSynced(id, synced)) => self.on_synced(id, synced),
                None => return,
            }
        }
    }

    fn deliver(&mut self, Message { from, to, message }: Message) {
        let is_isolated = |id| {
            self.nodes
                .iter()
                .any(|node| node.id == id && node.is_isolated)
        };
        let lost =
            to != from && (is_isolated(to) || is_isolated(from)) || (self.lost)(from, to, &message);
        let Some(at) = self.position(to).filter(|_| !lost) else {
            return;
        };
        self.sent.push(message.clone());
        let (now, mut effects) = (self.now, Vec::new());
        self.nodes[at]
            .register
            .on_message(now, from, message, &mut effects);
        self.carry_out(at as u64 + 1, effects);
    }

    fn on_synced(&mut self, id: NodeId, synced: SyncedRecord) {
        let Some(at) = self.position(id) else {
            return;
        };
        let (now, mut effects) = (self.now, Vec::new());
        self.nodes[at].register.on_synced(now, synced, &mut effects);
        self.carry_out(at as u64 + 1, effects);
    }

    fn position(&self, id: NodeId) -> Option<usize> {
        self.nodes.iter().position(|node| node.id == id)
    }

    fn sync(&mut self) {
        for node in self.nodes.iter_mut().filter(|node| !node.is_stalled) {
            let from = node.id;
            for (record, after_sync) in node.unsynced.drain(..) {
                node.disk.push(record);
                self.network
                    .extend(after_sync.into_iter().filter_map(|next| match next {
                        AfterSync::Send { to, message } => {
                            Some(InFlight::Message(Message { from, to, message }))
                        }
                        AfterSync::RecordSynced(synced) => {
                            Some(InFlight::RecordSynced(from, synced))
                        }
                        AfterSync::EpochSynced(_) | AfterSync::SnapshotSynced(_) => None,
                    }));
            }
        }
    }
}
