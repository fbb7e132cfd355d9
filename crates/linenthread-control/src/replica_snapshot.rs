//! The registry of replicas on disk, so that a start of all nodes at once need not wait for their heartbeats.

use linenthread_consensus::SnapshotNumber;
use linenthread_messages::{Record, Replica};
use linenthread_time::Instant;

use crate::ReplicaRegistry;
use crate::change_log::ChangeLogOffset;
use crate::timing::{SNAPSHOT_INTERVAL, SNAPSHOT_REWRITE_INTERVAL};

/// The replicas as they are to be written.
pub(crate) struct Snapshot {
    /// Which snapshot it is.
    pub(crate) number: SnapshotNumber,
    /// The replicas that are there.
    pub(crate) record: Record,
}

/// Decides when the registry is written to disk.
pub(crate) struct ReplicaSnapshotWriter {
    /// Offset in the change log up to which changes were written.
    written_offset: ChangeLogOffset,
    /// When the registry was last written.
    written_at: Instant,
    /// The newest snapshot that was written.
    written_number: SnapshotNumber,
    /// The newest snapshot that is synced.
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

    /// A snapshot is synced.
    pub(crate) fn on_synced(&mut self, number: SnapshotNumber) {
        self.synced_number = self.synced_number.max(number);
    }

    /// The replicas that are there, if they changed and the last snapshot is old enough, or if that one seems to have
    /// been dropped by the disk.
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
            record: record_of(now, registry),
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

/// The replicas that are there as a record.
fn record_of(now: Instant, registry: &ReplicaRegistry) -> Record {
    let replicas: Vec<Replica> = registry
        .iter()
        .filter(|registered| !registered.replica.timed_out_or_ended)
        .map(|registered| Replica {
            age_ms: 0,
            warmup_ms: 0,
            ..registered.snapshot(now)
        })
        .collect();
    Record {
        replicas_cleared: replicas.is_empty(),
        replicas,
        ..Record::default()
    }
}
