use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use linenthread_consensus::{DurableState, JobId, Register};
use linenthread_messages::{Ballot, Envelope, OrderIdentity, PeerMessage, Record, Value};
use linenthread_time::Instant;
use prost::Message as _;

use crate::fingerprint::fingerprint;
use crate::instance::{Instance, VOTERS, voter};

/// Lives are told apart in the upper half, which the numbers of questions begin with.
pub(crate) fn life(id: u64, lives: u64) -> u64 {
    lives << 32 | id
}

/// A record that waits for its sync, with the messages that wait on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Unsynced {
    pub record: Record,
    pub then: Vec<InFlight>,
}

/// Something with the 128 bits that stand for it, so that they are computed once.
#[derive(Clone, Debug)]
pub(crate) struct Marked<T> {
    pub inner: T,
    mark: u128,
}

impl<T: Hash> Marked<T> {
    pub(crate) fn new(inner: T) -> Marked<T> {
        let mark = fingerprint(&inner);
        Marked { inner, mark }
    }

    /// To be called after each change.
    pub(crate) fn mark(&mut self) {
        self.mark = fingerprint(&self.inner);
    }
}

impl<T> Hash for Marked<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u128(self.mark);
    }
}

/// One node: what it has in memory, and what its disk holds.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Node {
    pub id: u64,
    pub lives: u64,
    pub now: Instant,
    pub register: Register,
    pub disk: DurableState,
    pub unsynced: Vec<Unsynced>,
}

/// A message on its way; the same one twice is one.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    /// Disks.
    pub to: u64,
    pub from: u64,
    pub message: PeerMessage,
    bytes: Vec<u8>,
    mark: u128,
}

impl InFlight {
    pub(crate) fn new(from: u64, to: u64, message: PeerMessage) -> InFlight {
        // Who says that a value is decided makes no difference.
        let from = if matches!(message, PeerMessage::Decided(_)) {
            0
        } else {
            from
        };
        let bytes = Envelope {
            message: Some(message.clone()),
        }
        .encode_to_vec();
        let mark = fingerprint(&(to, from, &bytes));
        InFlight {
            to,
            from,
            message,
            bytes,
            mark,
        }
    }

    fn key(&self) -> (u64, u64, &[u8]) {
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
        state.write_u128(self.mark);
    }
}

/// What callers and disks were told so far: what later answers are judged by.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct History {
    /// Each value that some node took for decided, by number.
    pub decided: BTreeMap<u64, Value>,
    /// Two values for one number, or a value that too few of those who count had accepted.
    pub two_values: bool,
    pub too_few: bool,
    /// Which disks have accepted under which ballot for a number that is not decided yet.
    pub accepted_by: BTreeMap<(u64, Ballot), BTreeSet<u64>>,
    pub acknowledged: Vec<OrderIdentity>,
    pub refused: Vec<OrderIdentity>,
    /// The newest number that a caller was told of, and that number when each read under way began.
    pub told: u64,
    pub read_floors: BTreeMap<JobId, u64>,
    pub stale_read: bool,
    pub reads: u8,
}

/// How often what may happen can still happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    pub ticks: u8,
    pub duplicates: u8,
    pub crashes: u8,
    pub lost_disks: u8,
}

/// One state of all there is.
#[derive(Clone, Debug, Hash)]
pub struct World {
    pub(crate) nodes: [Arc<Marked<Node>>; 3],
    /// In order, so that equal networks are equal.
    pub(crate) network: Vec<Arc<InFlight>>,
    pub(crate) history: Arc<Marked<History>>,
    pub(crate) budget: Budget,
    /// Calls that were not made yet, a bit each.
    pub(crate) calls_left: u32,
    /// The disk that was lost.
    pub(crate) lost_disk: Option<u64>,
}

impl World {
    pub(crate) fn new(instance: &Instance) -> World {
        let genesis = Value {
            voters: VOTERS.map(voter).to_vec(),
            ..Value::default()
        };
        let node = |id| {
            let mut disk = DurableState::default();
            disk.add(Record {
                id: Some(id),
                decided: Some(genesis.clone()),
                ..Record::default()
            });
            let register = Register::new(id, disk.clone(), None, life(id, 1));
            Arc::new(Marked::new(Node {
                id,
                lives: 1,
                now: Instant::START,
                register,
                disk,
                unsynced: Vec::new(),
            }))
        };
        let history = History {
            decided: BTreeMap::from([(0, genesis.clone())]),
            ..History::default()
        };
        World {
            nodes: VOTERS.map(node),
            network: Vec::new(),
            history: Arc::new(Marked::new(history)),
            budget: Budget {
                ticks: instance.ticks,
                duplicates: instance.duplicates,
                crashes: instance.crashes,
                lost_disks: instance.lost_disks,
            },
            calls_left: (1 << instance.calls.len()) - 1,
            lost_disk: None,
        }
    }

    /// 128 bits that stand for the state.
    pub(crate) fn fingerprint(&self) -> u128 {
        fingerprint(self)
    }

    /// The place of a disk, if there is a node with it.
    pub(crate) fn place_of(&self, id: u64) -> Option<usize> {
        self.nodes.iter().position(|node| node.inner.id == id)
    }

    pub(crate) fn send(&mut self, message: InFlight) {
        if let Err(at) = self
            .network
            .binary_search_by(|other| other.key().cmp(&message.key()))
        {
            self.network.insert(at, Arc::new(message));
        }
    }
}
