//! The registry of replicas on disk, so that a start of all nodes at once need not wait for their heartbeats.

use linenthread_messages::{Record, Replica};
use linenthread_time::Instant;

use crate::ReplicaRegistry;
use crate::change_log::ChangeLogOffset;
use crate::timing::SNAPSHOT_INTERVAL;

/// Decides when the registry is written to disk.
pub(crate) struct ReplicaSnapshotWriter {
    /// Offset in the change log up to which changes are on disk.
    written_offset: ChangeLogOffset,
    /// When the registry was last written.
    written_at: Instant,
}

impl ReplicaSnapshotWriter {
    pub(crate) fn new(now: Instant) -> ReplicaSnapshotWriter {
        ReplicaSnapshotWriter {
            written_offset: ChangeLogOffset::START,
            written_at: now,
        }
    }

    /// A record of the replicas that are there, if they changed and the last one is old enough.
    pub(crate) fn next_record(
        &mut self,
        now: Instant,
        registry: &ReplicaRegistry,
    ) -> Option<Record> {
        let offset = registry.changes().offset();
        if offset == self.written_offset || now < self.written_at + SNAPSHOT_INTERVAL {
            return None;
        }
        (self.written_offset, self.written_at) = (offset, now);
        let replicas = registry
            .iter()
            .filter(|registered| !registered.replica.timed_out_or_ended)
            .map(|registered| Replica {
                age_ms: 0,
                warmup_ms: 0,
                ..registered.snapshot(now)
            })
            .collect();
        Some(Record {
            replicas,
            ..Record::default()
        })
    }
}
