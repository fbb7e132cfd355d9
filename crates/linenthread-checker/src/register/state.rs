//! The state of the register model: all nodes, their disks and the network.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use linenthread_consensus::{DurableState, Incarnation, NodeId, Register, SyncedRecord};
use linenthread_messages::{Envelope, PeerMessage, Record, Value, Voter};
use linenthread_time::Instant;
use prost::Message as _;

use crate::fingerprint::{Fingerprint, Fingerprinted};
use crate::node_index::{NODE_COUNT, NodeIndex};
use crate::register::history::History;
use crate::register::scenario::{EventBudget, Scenario};

/// Initial identities of the nodes, which are the voters of value 0.
const INITIAL_IDS: [NodeId; NODE_COUNT] = [NodeId(1), NodeId(2), NodeId(3)];

/// Identity of a node whose lost disk was replaced by the spare disk.
const SPARE_DISK_ID: NodeId = NodeId(4);

/// Placeholder for the sender of a message whose sender makes no difference.
const ANY_SENDER: NodeId = NodeId(0);

/// Returns an incarnation that is unique across nodes and restarts. The count is in the upper half, because read ids
/// are derived from the upper bits of the incarnation only.
fn incarnation(id: NodeId, count: u64) -> Incarnation {
    Incarnation::new(count << 32 | id.0)
}

fn voter(id: NodeId) -> Voter {
    Voter {
        id: id.0,
        address: String::new(),
    }
}

/// A record that is not synced yet, and the effects that are deferred until it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct UnsyncedRecord {
    pub(crate) record: Record,
    pub(crate) after_sync: Vec<DeferredEffect>,
}

/// An effect that is deferred until a record is synced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum DeferredEffect {
    Message(Box<InFlight>),
    RecordSynced(SyncedRecord),
}

/// A node: its state in memory and the contents of its disk.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Node {
    pub(crate) id: NodeId,
    incarnation_count: u64,
    pub(crate) now: Instant,
    pub(crate) register: Register,
    pub(crate) disk: DurableState,
    pub(crate) unsynced: Vec<UnsyncedRecord>,
}

impl Node {
    fn new(id: NodeId, disk: DurableState) -> Node {
        Node {
            id,
            incarnation_count: 1,
            now: Instant::START,
            register: Register::new(id, disk.clone(), None, incarnation(id, 1)),
            disk,
            unsynced: Vec::new(),
        }
    }

    /// Restarts the process. Unsynced records are lost.
    pub(crate) fn restart(&mut self) {
        self.incarnation_count += 1;
        self.unsynced.clear();
        let incarnation = incarnation(self.id, self.incarnation_count);
        self.register = Register::new(self.id, self.disk.clone(), None, incarnation);
    }

    /// Restarts the process with the empty spare disk.
    pub(crate) fn replace_disk(&mut self) {
        *self = Node {
            now: self.now,
            ..Node::new(SPARE_DISK_ID, DurableState::default())
        };
    }
}

/// A message in flight. The network holds at most one copy of equal messages.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub(crate) to: NodeId,
    pub(crate) from: NodeId,
    pub(crate) message: PeerMessage,
    bytes: Vec<u8>,
    fingerprint: Fingerprint,
}

impl InFlight {
    pub(crate) fn new(from: NodeId, to: NodeId, message: PeerMessage) -> InFlight {
        // Receivers ignore the sender of a decided value, so states that differ only in the sender are merged.
        let from = if matches!(message, PeerMessage::Decided(_)) {
            ANY_SENDER
        } else {
            from
        };
        let envelope = Envelope {
            message: Some(message.clone()),
        };
        let bytes = envelope.encode_to_vec();
        let fingerprint = Fingerprint::of(&(to, from, &bytes));
        InFlight {
            to,
            from,
            message,
            bytes,
            fingerprint,
        }
    }

    fn key(&self) -> (NodeId, NodeId, &[u8]) {
        (self.to, self.from, &self.bytes)
    }
}

impl PartialEq for InFlight {
    fn eq(&self, other: &InFlight) -> bool {
        self.key() == other.key()
    }
}

impl Eq for InFlight {}

impl Hash for InFlight {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint.hash(state);
    }
}

/// A state of a [`Scenario`]. Parts that an action does not change are shared with the previous state.
#[derive(Clone, Debug, Hash)]
pub struct SystemState {
    nodes: [Arc<Fingerprinted<Node>>; NODE_COUNT],
    /// Sorted, so that networks with the same messages are equal.
    pub(crate) network: Vec<Arc<InFlight>>,
    history: Arc<Fingerprinted<History>>,
    /// The remaining number of events of each kind.
    pub(crate) budget: EventBudget,
    /// Bit mask of the calls that were not made yet, by index in the scenario.
    pending_calls: u32,
    /// Identity of the lost disk; `None` if no disk is lost.
    lost_disk: Option<NodeId>,
}

impl SystemState {
    pub(crate) fn new(scenario: &Scenario) -> SystemState {
        let genesis = Value {
            voters: INITIAL_IDS.map(voter).to_vec(),
            ..Value::default()
        };
        let node = |id: NodeId| {
            let mut disk = DurableState::default();
            disk.add(Record {
                id: Some(id.0),
                decided: Some(genesis.clone()),
                ..Record::default()
            });
            Arc::new(Fingerprinted::new(Node::new(id, disk)))
        };
        SystemState {
            nodes: INITIAL_IDS.map(node),
            network: Vec::new(),
            history: Arc::new(Fingerprinted::new(History::new(genesis.clone()))),
            budget: scenario.budget.clone(),
            pending_calls: (1 << scenario.calls.len()) - 1,
            lost_disk: None,
        }
    }

    pub(crate) fn node(&self, node: NodeIndex) -> &Node {
        self.nodes[node.get()].get()
    }

    /// Returns a node to change. Once all changes are made, [`SystemState::refresh`] must be called.
    pub(crate) fn node_mut(&mut self, node: NodeIndex) -> &mut Node {
        Arc::make_mut(&mut self.nodes[node.get()]).get_mut()
    }

    /// Updates the fingerprint of a node after changes through [`SystemState::node_mut`].
    pub(crate) fn refresh(&mut self, node: NodeIndex) {
        Arc::make_mut(&mut self.nodes[node.get()]).refresh();
    }

    pub(crate) fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().map(|node| node.get())
    }

    /// Returns the node with this identity; `None` if the disk with it was lost or is not in use.
    pub(crate) fn find_node(&self, id: NodeId) -> Option<NodeIndex> {
        NodeIndex::ALL
            .into_iter()
            .find(|node| self.node(*node).id == id)
    }

    pub(crate) fn history(&self) -> &History {
        self.history.get()
    }

    pub(crate) fn update_history(&mut self, update: impl FnOnce(&mut History)) {
        let history = Arc::make_mut(&mut self.history);
        update(history.get_mut());
        history.refresh();
    }

    pub(crate) fn is_call_pending(&self, call: usize) -> bool {
        self.pending_calls & 1 << call != 0
    }

    pub(crate) fn clear_pending_call(&mut self, call: usize) {
        self.pending_calls &= !(1 << call);
    }

    /// Adds a message to the network unless an equal one is in flight.
    pub(crate) fn send(&mut self, message: InFlight) {
        if let Err(index) = self
            .network
            .binary_search_by(|other| other.key().cmp(&message.key()))
        {
            self.network.insert(index, Arc::new(message));
        }
    }

    /// Replaces the disk of a node by the spare one. The node loses its identity, so messages to the old identity are
    /// lost as well.
    pub(crate) fn lose_disk(&mut self, node: NodeIndex) {
        let lost = self.node(node).id;
        self.lost_disk = Some(lost);
        self.node_mut(node).replace_disk();
        self.network.retain(|message| message.to != lost);
    }

    /// Returns the voters with the identity of the lost disk replaced by that of the spare disk. If no disk is lost,
    /// the third initial identity is replaced.
    pub(crate) fn with_replaced_voter(&self, voters: &[Voter]) -> Vec<Voter> {
        let [.., third] = INITIAL_IDS;
        let lost = self.lost_disk.unwrap_or(third);
        let replace = |id| if id == lost { SPARE_DISK_ID } else { id };
        voters
            .iter()
            .map(|current| voter(replace(NodeId::from(current))))
            .collect()
    }
}
