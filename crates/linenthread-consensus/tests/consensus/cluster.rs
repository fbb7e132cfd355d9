//! A simulated cluster of registers with simulated disks, a simulated network and a common clock.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use linenthread_consensus::{
    AfterSync, Change, DurableState, Effect, Epoch, Incarnation, JobId, NodeId, Order, Outcome,
    Register, Revision, SyncedRecord, ValueNumber,
};
use linenthread_messages::{PeerMessage, Record, Value};
use linenthread_time::Instant;

use crate::fixtures::{index, voter};

/// Timeout of a job, as set by `linenthread-control`.
const JOB_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Predicate of sender, receiver and message that selects the messages to lose.
type LossRule = Box<dyn Fn(NodeId, NodeId, &PeerMessage) -> bool>;

struct Node {
    register: Register,
    id: NodeId,
    incarnation_count: u64,
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

/// A message or notification that is on its way to a node.
enum InFlight {
    Message(Message),
    /// Notification of this node that its record is synced.
    RecordSynced(NodeId, SyncedRecord),
}

/// A cluster of the nodes 1 to n. Messages arrive without delay unless they are lost, and records are synced without
/// delay unless the disk is stalled.
pub(crate) struct Cluster {
    nodes: Vec<Node>,
    now: Instant,
    last_job: u64,
    outcomes: BTreeMap<JobId, Outcome>,
    network: VecDeque<InFlight>,
    loss_rule: LossRule,
    sent: Vec<PeerMessage>,
}

/// Returns an order with this text as document.
pub(crate) fn order(base: u64, revision: u64, document: &str) -> Change {
    Change::Order(Order {
        base: Revision::new(base),
        revision: Revision::new(revision),
        document: document.into(),
    })
}

/// Returns the outcome of an order that was accepted under this revision.
pub(crate) fn committed(revision: u64) -> Outcome {
    Outcome::Committed(Revision::new(revision))
}

/// Returns the outcome of an order that was rejected while this revision was the newest one.
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
            incarnation_count: 1,
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
            loss_rule: Box::new(|_, _, _| false),
            sent: Vec::new(),
        }
    }

    pub(crate) fn register(&self, node: u64) -> &Register {
        &self.nodes[index(node)].register
    }

    pub(crate) fn outcome(&self, job: JobId) -> Option<Outcome> {
        self.outcomes.get(&job).cloned()
    }

    /// Sets the rule of sender, receiver and message by which messages are lost from now on.
    pub(crate) fn set_loss_rule(
        &mut self,
        loss_rule: impl Fn(NodeId, NodeId, &PeerMessage) -> bool + 'static,
    ) {
        self.loss_rule = Box::new(loss_rule);
    }

    pub(crate) fn isolate(&mut self, nodes: &[u64]) {
        nodes
            .iter()
            .for_each(|node| self.node(*node).is_isolated = true);
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

    fn node(&mut self, node: u64) -> &mut Node {
        &mut self.nodes[index(node)]
    }

    /// Proposes a change as this job, without waiting for its outcome.
    pub(crate) fn start_proposal(&mut self, node: u64, job: JobId, change: Change) {
        let deadline = self.now + JOB_TIMEOUT;
        self.drive(node, |register, now, effects| {
            register.propose(now, job, change, deadline, effects);
        });
    }

    /// Proposes a change, and waits for its outcome.
    pub(crate) fn propose(&mut self, node: u64, change: Change) -> Outcome {
        self.last_job += 1;
        let job = JobId(self.last_job);
        self.start_proposal(node, job, change);
        self.await_outcome(job)
    }

    fn await_outcome(&mut self, job: JobId) -> Outcome {
        let end = self.now + JOB_TIMEOUT * 2;
        while !self.outcomes.contains_key(&job) && self.now < end {
            self.advance_time(TICK_INTERVAL);
        }
        self.outcome(job).expect("each job is completed in time")
    }

    /// Commits orders of consecutive revisions, each based on the previous one.
    pub(crate) fn commit_orders(&mut self, node: u64, revisions: std::ops::RangeInclusive<u64>) {
        for revision in revisions {
            let change = order(revision - 1, revision, &revision.to_string());
            assert_eq!(self.propose(node, change), committed(revision));
        }
    }

    pub(crate) fn advance_time(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK_INTERVAL;
            for node in 1..=self.nodes.len() as u64 {
                self.drive(node, linenthread_consensus::Register::tick);
            }
        }
    }

    /// Restarts a node, which loses all records that are not synced.
    pub(crate) fn restart(&mut self, node: u64) {
        let node = self.node(node);
        node.incarnation_count += 1;
        node.unsynced.clear();
        let mut state = DurableState::default();
        node.disk
            .iter()
            .for_each(|record| state.add(record.clone()));
        node.register = Register::new(
            node.id,
            state,
            None,
            incarnation(node.id, node.incarnation_count),
        );
    }

    pub(crate) fn restart_all(&mut self) {
        (1..=self.nodes.len() as u64).for_each(|node| self.restart(node));
    }

    /// Replaces a node's disk with an empty one, which gives the node a new identity. The node learns the newest
    /// value and the orders; then another node proposes it as a voter in place of the old identity.
    pub(crate) fn replace_disk(&mut self, node: u64) {
        let other = node % self.nodes.len() as u64 + 1;
        let node = self.node(node);
        let old = node.id;
        node.id.0 += 100;
        (node.incarnation_count, node.disk, node.unsynced) = (1, Vec::new(), Vec::new());
        node.register = Register::new(
            node.id,
            DurableState::default(),
            None,
            incarnation(node.id, 1),
        );
        let new = node.id;
        let value = self
            .register(other)
            .decided()
            .expect("a decided value")
            .clone();
        let (base_number, epoch) = (ValueNumber::of(&value), Epoch::new(value.epoch));
        let mut voters = value.voters.clone();
        let from = self.register(other).id();
        self.send(from, new, PeerMessage::Decided(value));
        self.deliver_all();
        self.advance_time(Duration::from_secs(1));
        voters
            .iter_mut()
            .filter(|voter| NodeId::from(&**voter) == old)
            .for_each(|voter| voter.id = new.0);
        assert!(matches!(
            self.propose(
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

    /// Stops syncing records at this node until [`Cluster::sync_disk`].
    pub(crate) fn stall_disk(&mut self, node: u64) {
        self.node(node).is_stalled = true;
    }

    pub(crate) fn sync_disk(&mut self, node: u64) {
        self.node(node).is_stalled = false;
        self.deliver_all();
    }

    /// Drops the unsynced records of a stalled disk, and the messages that depend on them.
    pub(crate) fn drop_unsynced(&mut self, node: u64) {
        self.node(node).unsynced.clear();
    }

    fn drive(&mut self, node: u64, step: impl FnOnce(&mut Register, Instant, &mut Vec<Effect>)) {
        let (now, mut effects) = (self.now, Vec::new());
        step(&mut self.node(node).register, now, &mut effects);
        self.execute(node, effects);
        self.deliver_all();
    }

    fn execute(&mut self, node: u64, effects: Vec<Effect>) {
        let from = self.node(node).id;
        let ids: Vec<NodeId> = self.nodes.iter().map(|node| node.id).collect();
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(from, to, message),
                Effect::Persist { record, after_sync } => {
                    self.node(node).unsynced.push((record, after_sync));
                }
                Effect::Reply { job, outcome } => _ = self.outcomes.insert(job, outcome),
                // As `linenthread-control` does, sends the value to all other nodes immediately.
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

    /// Delivers messages and syncs records until nothing is in flight.
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
        let lost = to != from && (is_isolated(to) || is_isolated(from))
            || (self.loss_rule)(from, to, &message);
        let Some(index) = self.position(to).filter(|_| !lost) else {
            return;
        };
        self.sent.push(message.clone());
        let (now, mut effects) = (self.now, Vec::new());
        self.nodes[index]
            .register
            .on_message(now, from, message, &mut effects);
        self.execute(index as u64 + 1, effects);
    }

    fn on_synced(&mut self, id: NodeId, synced: SyncedRecord) {
        let Some(index) = self.position(id) else {
            return;
        };
        let (now, mut effects) = (self.now, Vec::new());
        self.nodes[index]
            .register
            .on_synced(now, synced, &mut effects);
        self.execute(index as u64 + 1, effects);
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
