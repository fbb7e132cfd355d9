//! Three registers with immediate delivery of messages, which do not broadcast decided values.

use linenthread_consensus::{AfterSync, Effect, JobId, NodeId, Outcome, Register};
use linenthread_messages::{PeerMessage, Record};

use crate::cluster::order;
use crate::fixtures::{at, index, register};

/// The nodes 1, 2 and 3.
pub(crate) struct Trio {
    registers: Vec<Register>,
    /// Nodes that neither send messages to other nodes nor receive any from them.
    pub(crate) isolated: Vec<u64>,
    pub(crate) replies: Vec<(JobId, Outcome)>,
    records: Vec<Vec<Record>>,
}

impl Trio {
    pub(crate) fn new() -> Trio {
        Trio {
            registers: (1..=3).map(|id| register(id, id * 77)).collect(),
            isolated: Vec::new(),
            replies: Vec::new(),
            records: vec![Vec::new(); 3],
        }
    }

    pub(crate) fn register(&mut self, node: u64) -> &mut Register {
        &mut self.registers[index(node)]
    }

    /// Returns the records of a node in the order in which they were synced.
    pub(crate) fn records(&self, node: u64) -> &[Record] {
        &self.records[index(node)]
    }

    /// Executes the effects of a node and all effects that result from them.
    pub(crate) fn execute(&mut self, node: u64, effects: Vec<Effect>) {
        let mut pending: Vec<(u64, Effect)> =
            effects.into_iter().map(|effect| (node, effect)).collect();
        while !pending.is_empty() {
            let (from, effect) = pending.remove(0);
            match effect {
                Effect::Send { to, message } => pending.extend(self.deliver(from, to.0, message)),
                Effect::Persist { record, after_sync } => {
                    self.records[index(from)].push(record);
                    for next in after_sync {
                        pending.extend(self.after_sync(from, next));
                    }
                }
                Effect::Reply { job, outcome } => self.replies.push((job, outcome)),
                Effect::Decided(_) => {}
            }
        }
    }

    fn after_sync(&mut self, node: u64, next: AfterSync) -> Vec<(u64, Effect)> {
        let mut effects = Vec::new();
        match next {
            AfterSync::Send { to, message } => return self.deliver(node, to.0, message),
            AfterSync::RecordSynced(synced) => {
                self.register(node).on_synced(at(0), synced, &mut effects);
            }
            AfterSync::EpochSynced(_) | AfterSync::SnapshotSynced(_) => {}
        }
        effects.into_iter().map(|effect| (node, effect)).collect()
    }

    fn deliver(&mut self, from: u64, to: u64, message: PeerMessage) -> Vec<(u64, Effect)> {
        if to != from && (self.isolated.contains(&to) || self.isolated.contains(&from)) {
            return Vec::new();
        }
        let mut effects = Vec::new();
        self.register(to)
            .on_message(at(0), NodeId(from), message, &mut effects);
        effects.into_iter().map(|effect| (to, effect)).collect()
    }

    pub(crate) fn propose_order(&mut self, node: u64, job: u64, base: u64, revision: u64) {
        let mut effects = Vec::new();
        let change = order(base, revision, &revision.to_string());
        self.register(node)
            .propose(at(0), JobId(job), change, at(900), &mut effects);
        self.execute(node, effects);
        // The order may have been delayed by a round of another node.
        let mut effects = Vec::new();
        self.register(node).tick(at(60), &mut effects);
        self.execute(node, effects);
    }

    pub(crate) fn read(&mut self, node: u64, job: u64) {
        let mut effects = Vec::new();
        self.register(node)
            .read(at(0), JobId(job), at(900), &mut effects);
        self.execute(node, effects);
    }

    pub(crate) fn last_outcome(&self) -> &Outcome {
        &self.replies.last().expect("a reply").1
    }
}
