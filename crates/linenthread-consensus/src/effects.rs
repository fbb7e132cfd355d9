//! What the state machines ask of their driver.

use linenthread_messages::{PeerMessage, Record, Value, Voter};

use crate::epoch::Epoch;
use crate::jobs::{JobId, Outcome};
use crate::node_id::NodeId;
use crate::value_number::ValueNumber;

/// One step for the driver of a [`crate::Register`], which carries out effects in the order it receives them.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A message is to be sent to a node, perhaps to this one.
    Send {
        /// The receiving node.
        to: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// A record is to be appended to this node's disk.
    Persist {
        /// The record.
        record: Record,
        /// What is to be done once the record is synced, not before, in this order.
        after_sync: Vec<AfterSync>,
    },
    /// This node has learned a newer decided value.
    Decided(Value),
    /// A job is completed.
    Reply {
        /// The job.
        job: JobId,
        /// Its result.
        outcome: Outcome,
    },
}

/// What depends on a record: it is to be done only once the record is synced, and never if the record is dropped.
#[derive(Clone, Debug, PartialEq)]
pub enum AfterSync {
    /// A message is to be sent.
    Send {
        /// The receiving node, perhaps this one.
        to: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// The register is to be told, by [`crate::Register::on_synced`].
    RecordSynced(SyncedRecord),
    /// The node's disk holds this epoch of the leader lease. It comes from whoever drives the lease, not from a
    /// [`crate::Register`].
    EpochSynced(Epoch),
    /// The node's disk holds this snapshot of the replicas. It comes from whoever writes snapshots, not from a
    /// [`crate::Register`].
    SnapshotSynced(SnapshotNumber),
}

/// Numbers the snapshots of the replicas, from 1 within this incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SnapshotNumber(u64);

impl SnapshotNumber {
    /// Before the first snapshot.
    pub const NONE: SnapshotNumber = SnapshotNumber(0);

    /// The number of the snapshot after this one.
    #[must_use]
    pub fn next(self) -> SnapshotNumber {
        SnapshotNumber(self.0 + 1)
    }
}

/// What a synced record of a register's decided state held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SyncedRecord {
    /// The decided value of this number.
    Value(ValueNumber),
    /// Orders.
    Orders(OrderLogRecordNumber),
}

/// Numbers the records of the order log, from 1 within this incarnation: raised with each one that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderLogRecordNumber(u64);

impl OrderLogRecordNumber {
    /// Before the first record.
    pub(crate) const NONE: OrderLogRecordNumber = OrderLogRecordNumber(0);

    pub(crate) fn next(self) -> OrderLogRecordNumber {
        OrderLogRecordNumber(self.0 + 1)
    }
}

/// Sends a message to each of the voters, this node included if it is one.
pub(crate) fn send_to_all(voters: &[Voter], message: &PeerMessage, effects: &mut Vec<Effect>) {
    effects.extend(voters.iter().map(|voter| Effect::Send {
        to: NodeId::from(voter),
        message: message.clone(),
    }));
}
