//! Actions that the state machines request from their driver.

use linenthread_messages::{PeerMessage, Record, Value, Voter};

use crate::epoch::Epoch;
use crate::jobs::{JobId, Outcome};
use crate::node_id::NodeId;
use crate::value_number::ValueNumber;

/// An action for the driver of a [`crate::Register`]. The driver executes effects in the order in which it receives
/// them.
#[derive(Clone, Debug, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "effects live for one step, and a box would cost an allocation for each record"
)]
pub enum Effect {
    /// Send a message to a node, possibly to this one.
    Send {
        /// The receiving node.
        to: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// Append a record to this node's disk.
    Persist {
        /// The record.
        record: Record,
        /// Actions to execute in this order once the record is synced, not before.
        after_sync: Vec<AfterSync>,
    },
    /// This node has learned a newer decided value.
    Decided(Value),
    /// A job is completed; its caller must be notified.
    Reply {
        /// The job.
        job: JobId,
        /// The outcome of the job.
        outcome: Outcome,
    },
}

/// An action that depends on a record: executed only once the record is synced, and never if the record is dropped.
#[derive(Clone, Debug, PartialEq)]
pub enum AfterSync {
    /// Send a message.
    Send {
        /// The receiving node, possibly this one.
        to: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// Notify the register by [`crate::Register::on_synced`].
    RecordSynced(SyncedRecord),
    /// This epoch of the leader lease is on the node's disk. Requested by the driver of the lease, not by a
    /// [`crate::Register`].
    EpochSynced(Epoch),
    /// This snapshot of the replicas is on the node's disk. Requested by the writer of the snapshots, not by a
    /// [`crate::Register`].
    SnapshotSynced(SnapshotNumber),
}

/// Number of a snapshot of the replicas, counted from 1 within an incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SnapshotNumber(u64);

impl SnapshotNumber {
    /// Stands for no snapshot; the first one has the next number.
    pub const NONE: SnapshotNumber = SnapshotNumber(0);

    /// Returns the number of the following snapshot.
    #[must_use]
    pub fn next(self) -> SnapshotNumber {
        SnapshotNumber(self.0 + 1)
    }
}

/// The content of a synced record of a register's decided state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SyncedRecord {
    /// The decided value of this number.
    Value(ValueNumber),
    /// Entries of the order log, written in the record of this number.
    Orders(OrderLogRecordNumber),
}

/// Number of a record of the order log, counted from 1 within an incarnation in the order in which they are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderLogRecordNumber(u64);

impl OrderLogRecordNumber {
    /// Stands for no record; the first one has the next number.
    pub(crate) const NONE: OrderLogRecordNumber = OrderLogRecordNumber(0);

    pub(crate) fn next(self) -> OrderLogRecordNumber {
        OrderLogRecordNumber(self.0 + 1)
    }
}

/// Sends a message to each of the voters, including this node if it is one of them.
pub(crate) fn send_to_all(voters: &[Voter], message: &PeerMessage, effects: &mut Vec<Effect>) {
    effects.extend(voters.iter().map(|voter| Effect::Send {
        to: NodeId::from(voter),
        message: message.clone(),
    }));
}
