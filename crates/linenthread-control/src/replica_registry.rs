//! The registry of replicas: the state of each, merged from heartbeats in any order, and the log of changes.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use linenthread_hash::fnv1a_64;
use linenthread_messages::Replica;
use linenthread_time::Instant;

use crate::ChangeLog;
use crate::registered_replica::{HeartbeatOutcome, RegisteredReplica, is_present_unconfirmed};

/// How long an ended replica is retained, so that a late heartbeat does not add it again.
const ENDED_RETENTION: Duration = Duration::from_millis(60_000);

/// How many departures of replicas that never sent a heartbeat are retained.
const MAX_UNKNOWN_DEPARTURES: usize = 4_096;

/// How many changes of replicas are retained. An ingress node that lacks more is sent the whole registry.
const MAX_LOGGED_CHANGES: usize = 4_096;

/// The result of [`ReplicaRegistry::observe`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The change to the reported replica.
    pub outcome: HeartbeatOutcome,
    /// The ids of other replicas that the report showed to have ended.
    pub superseded: Vec<String>,
}

/// The replicas of all backends, by id.
pub struct ReplicaRegistry {
    replicas: BTreeMap<String, RegisteredReplica>,
    changes: ChangeLog,
    /// Whether heartbeats were received for so long that a replica which is not in the registry can't be running.
    is_complete: bool,
    /// The cached digest; `None` if the replicas it covers have changed.
    digest: Cell<Option<u64>>,
}

impl Default for ReplicaRegistry {
    fn default() -> ReplicaRegistry {
        ReplicaRegistry {
            replicas: BTreeMap::new(),
            changes: ChangeLog::new(MAX_LOGGED_CHANGES),
            is_complete: false,
            digest: Cell::new(None),
        }
    }
}

impl ReplicaRegistry {
    /// Returns the replica with this id, even if it ended recently.
    pub fn get(&self, id: &str) -> Option<&RegisteredReplica> {
        self.replicas.get(id)
    }

    /// Returns all replicas in the order of their ids, including those that ended recently.
    pub fn iter(&self) -> impl Iterator<Item = &RegisteredReplica> {
        self.replicas.values()
    }

    /// Returns the state of all replicas, with ages as of now.
    pub(crate) fn snapshot(&self, now: Instant) -> Vec<Replica> {
        self.iter().map(|known| known.snapshot(now)).collect()
    }

    /// Returns how many replicas are known, including those that ended recently.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Reports whether no replica is known.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Returns the log of changes, which ingress nodes follow.
    pub fn changes(&self) -> &ChangeLog {
        &self.changes
    }

    /// Reports whether heartbeats were received for so long that a replica which is not in the registry can't be
    /// running.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Records whether the registry is complete; returns whether it has just become so.
    pub(crate) fn set_complete(&mut self, is_complete: bool) -> bool {
        let was_complete = std::mem::replace(&mut self.is_complete, is_complete);
        is_complete && !was_complete
    }

    /// Restores the replicas from disk; later ones prevail. They are not logged as changes, since nobody has been sent
    /// an offset of this log yet. See [`ReplicaRegistry::confirm`].
    pub(crate) fn restore<'a>(
        &mut self,
        now: Instant,
        replicas: impl IntoIterator<Item = &'a Replica>,
    ) {
        for replica in replicas {
            let restored = Replica {
                unconfirmed: true,
                ..replica.clone()
            };
            self.merge(now, &restored);
        }
    }

    /// Marks the present replicas as unconfirmed, after the node was out of contact: they may have departed.
    pub(crate) fn mark_unconfirmed(&mut self) {
        for known in self.replicas.values_mut() {
            known.replica.unconfirmed = true;
        }
    }

    /// Removes the unconfirmed replicas that the complete registry of another node does not list. They may have
    /// departed, and the other node may have known that and have forgotten it by now. A replica that is running sends
    /// its next heartbeat soon.
    pub(crate) fn confirm(&mut self, complete: &[Replica]) {
        let listed: BTreeSet<&str> = complete.iter().map(|replica| replica.id.as_str()).collect();
        let count = self.replicas.len();
        self.replicas
            .retain(|id, known| !known.is_unconfirmed() || listed.contains(id.as_str()));
        if self.replicas.len() < count {
            self.digest.set(None);
        }
    }

    /// Merges a report of a replica, sent by itself or by another control node, and logs the changes. A replica that is
    /// present and unconfirmed at another node is not added.
    pub fn observe(&mut self, now: Instant, report: &Replica) -> Observation {
        if is_present_unconfirmed(report) && !self.replicas.contains_key(&report.id) {
            return Observation {
                outcome: HeartbeatOutcome::Stale,
                superseded: Vec::new(),
            };
        }
        let observation = self.merge(now, report);
        if observation.outcome == HeartbeatOutcome::Changed {
            for id in observation.superseded.iter().chain([&report.id]) {
                self.changes.append(id);
            }
        }
        observation
    }

    fn merge(&mut self, now: Instant, report: &Replica) -> Observation {
        let observation = if let Some(known) = self.replicas.get_mut(&report.id) {
            Observation {
                outcome: known.merge(now, report),
                superseded: Vec::new(),
            }
        } else {
            Observation {
                outcome: HeartbeatOutcome::Changed,
                superseded: self.insert(now, report),
            }
        };
        if observation.outcome == HeartbeatOutcome::Changed {
            self.digest.set(None);
        }
        observation
    }

    /// Adds an unknown replica; returns the ids of other replicas that it shows to have ended.
    fn insert(&mut self, now: Instant, report: &Replica) -> Vec<String> {
        let mut superseded = Vec::new();
        let mut new = RegisteredReplica::new(now, report);
        // Of two incarnations at one address, the one with the newer heartbeat is running. A report of an ended
        // incarnation tells nothing about others.
        for other in self
            .replicas
            .values_mut()
            .filter(|other| !other.replica.ended && other.replica.address == report.address)
        {
            if new.replica.ended {
                break;
            }
            let ended = if other.last_heartbeat_at > new.last_heartbeat_at {
                &mut new
            } else {
                other
            };
            ended.end(now);
            superseded.push(ended.replica.id.clone());
        }
        superseded.retain(|id| *id != report.id);
        self.replicas.insert(report.id.clone(), new);
        superseded
    }

    /// Reports whether the departure of a replica can be recorded. That of an unknown one can't while too many such
    /// departures are retained.
    pub fn can_record_departure(&self, id: &str) -> bool {
        self.replicas.contains_key(id)
            || self
                .replicas
                .values()
                .filter(|known| known.is_unknown_departure())
                .count()
                < MAX_UNKNOWN_DEPARTURES
    }

    /// Records that a replica announced its end; returns whether it had not ended before. An unknown replica is
    /// recorded, too: its first heartbeat may still be on the way.
    pub fn mark_departed(&mut self, now: Instant, id: &str) -> bool {
        let known = self
            .replicas
            .entry(id.to_owned())
            .or_insert_with(|| RegisteredReplica::unknown(now, id));
        if known.replica.ended {
            return false;
        }
        known.end(now);
        self.changes.append(id);
        self.digest.set(None);
        true
    }

    /// Times out the replicas without a heartbeat for longer than `timeout`, and returns their ids. Times out none if
    /// more than half would time out at once, since the cause is then more likely a loss of heartbeats. Also removes
    /// replicas that ended, or timed out while they drained, long ago.
    pub fn expire(&mut self, now: Instant, timeout: Duration) -> Vec<String> {
        self.replicas.retain(|_, known| {
            known
                .gone_since(timeout)
                .is_none_or(|gone_since| now < gone_since + ENDED_RETENTION)
        });
        let timed_out = |known: &RegisteredReplica| {
            !known.replica.timed_out_or_ended && now > known.last_heartbeat_at + timeout
        };
        let present = self
            .replicas
            .values()
            .filter(|known| !known.replica.timed_out_or_ended)
            .count();
        let timed_out_count = self
            .replicas
            .values()
            .filter(|known| timed_out(known))
            .count();
        if timed_out_count * 2 > present {
            return Vec::new();
        }
        let mut expired = Vec::new();
        for known in self.replicas.values_mut().filter(|known| timed_out(known)) {
            known.replica.timed_out_or_ended = true;
            self.changes.append(&known.replica.id);
            expired.push(known.replica.id.clone());
        }
        expired
    }

    /// Returns a checksum of the replicas that have not ended. It is equal for registries with the same replicas,
    /// whatever the order of the reports.
    pub fn digest(&self) -> u64 {
        if let Some(digest) = self.digest.get() {
            return digest;
        }
        let digest = self.compute_digest();
        self.digest.set(Some(digest));
        digest
    }

    fn compute_digest(&self) -> u64 {
        self.replicas
            .values()
            .filter(|known| !known.replica.ended)
            .map(|known| {
                let Replica {
                    id,
                    backend,
                    address,
                    draining,
                    ..
                } = &known.replica;
                let text = format!("{id} {backend} {address} {draining}");
                fnv1a_64(text.as_bytes())
            })
            .fold(0, u64::wrapping_add)
    }
}
