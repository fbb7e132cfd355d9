//! Snapshots of the replica registry on disk, so that after a simultaneous restart of all nodes they need not wait for
//! heartbeats.

use linenthread_consensus::SnapshotNumber;
use linenthread_messages::{Record, Replica};
use linenthread_time::Instant;

use crate::change_log::ChangeLogOffset;
use crate::timing::{SNAPSHOT_INTERVAL, SNAPSHOT_REWRITE_INTERVAL};
use crate::{RegisteredReplica, ReplicaRegistry};

/// A snapshot to be written.
pub(crate) struct Snapshot {
    /// Number of the snapshot.
    pub(crate) number: SnapshotNumber,
    /// The present replicas.
    pub(crate) record: Record,
}

/// Decides when the registry is written to disk.
pub(crate) struct ReplicaSnapshotWriter {
    /// Offset in the change log up to which changes are in the last snapshot.
    written_offset: ChangeLogOffset,
    /// When the last snapshot was written.
    written_at: Instant,
    /// Number of the last snapshot that was written.
    written_number: SnapshotNumber,
    /// Number of the newest snapshot that is synced.
    synced_number: SnapshotNumber,
}

impl ReplicaSnapshotWriter {
    pub(crate) fn new(now: Instant) -> ReplicaSnapshotWriter {
        ReplicaSnapshotWriter {
            written_offset: ChangeLogOffset::START,
            written_at: now,
            written_number: SnapshotNumber::NONE,
            synced_number: SnapshotNumber::NONE,
        }
    }

    /// Records that a snapshot is synced.
    pub(crate) fn on_synced(&mut self, number: SnapshotNumber) {
        self.synced_number = self.synced_number.max(number);
    }

    /// Returns a new snapshot, if replicas changed and the last snapshot is old enough, or if the disk seems to have
    /// dropped the last snapshot.
    pub(crate) fn next_snapshot(
        &mut self,
        now: Instant,
        registry: &ReplicaRegistry,
    ) -> Option<Snapshot> {
        let offset = registry.changes().offset();
        if !self.is_due(now, offset) {
            return None;
        }
        (self.written_offset, self.written_at) = (offset, now);
        self.written_number = self.written_number.next();
        Some(Snapshot {
            number: self.written_number,
            record: snapshot_record(now, registry),
        })
    }

    fn is_due(&self, now: Instant, offset: ChangeLogOffset) -> bool {
        if offset == self.written_offset {
            let is_synced = self.synced_number == self.written_number;
            return !is_synced && now >= self.written_at + SNAPSHOT_REWRITE_INTERVAL;
        }
        now >= self.written_at + SNAPSHOT_INTERVAL
    }
}

/// Builds the record of the present replicas, and of those that drained or ended recently: other disks may list them as
/// present.
fn snapshot_record(now: Instant, registry: &ReplicaRegistry) -> Record {
    let select = |is_selected: fn(&Replica) -> bool| -> Vec<Replica> {
        registry
            .iter()
            .filter(|registered| is_selected(&registered.replica))
            .map(|registered| durable_replica(now, registered))
            .collect()
    };
    let replicas = select(|replica| !replica.timed_out_or_ended);
    Record {
        replicas_cleared: replicas.is_empty(),
        replicas,
        drains: select(|replica| replica.ended || replica.draining && replica.timed_out_or_ended),
        ..Record::default()
    }
}

/// Builds the record of replicas that drain or have ended.
pub(crate) fn drain_record<'a>(
    now: Instant,
    drained: impl Iterator<Item = &'a RegisteredReplica>,
) -> Record {
    Record {
        drains: drained.map(|known| durable_replica(now, known)).collect(),
        ..Record::default()
    }
}

/// Returns the state of a replica without its ages, which mean nothing after a restart.
fn durable_replica(now: Instant, registered: &RegisteredReplica) -> Replica {
    Replica {
        age_ms: 0,
        warmup_ms: 0,
        unconfirmed: false,
        ..registered.snapshot(now)
    }
}
