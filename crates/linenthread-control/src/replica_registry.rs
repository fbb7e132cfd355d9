//! The registry of replicas: the state of each, merged from heartbeats in any order, and the log of changes.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use linenthread_hash::fnv1a_64;
use linenthread_messages::Replica;
use linenthread_time::{Instant, whole_millis};
use serde::Deserialize;

use crate::ChangeLog;

/// How long an ended replica is retained, so that a late heartbeat does not add it again.
const ENDED_RETENTION: Duration = Duration::from_millis(60_000);

/// How many departures of replicas that never sent a heartbeat are retained.
const MAX_UNKNOWN_DEPARTURES: usize = 4_096;

/// How many changes of replicas are retained. An ingress node that lacks more is sent the whole registry.
const MAX_LOGGED_CHANGES: usize = 4_096;

/// The body of a replica's heartbeat call, in JSON.
#[derive(Clone, Debug, Deserialize)]
pub struct ReplicaHeartbeat {
    /// Name of the backend that the replica belongs to.
    pub backend: String,
    /// `host:port` at which the replica serves requests.
    pub address: String,
    /// The failure domain in which the replica runs.
    pub zone: String,
    /// The revision of the replica's software.
    #[serde(default)]
    pub revision: String,
    /// How many requests the replica processes concurrently; 0 if it is not reported.
    #[serde(default)]
    pub capacity: u32,
    /// Whether the replica accepts requests.
    pub phase: ReportedPhase,
    /// The remaining time of the replica's warm-up, in milliseconds. Only the value in the first heartbeat is used.
    #[serde(default)]
    pub warmup_ms: u32,
    /// The replica's count of its calls to control nodes, which orders the calls.
    pub call_count: u64,
}

impl ReplicaHeartbeat {
    /// Converts the heartbeat to the form that control nodes send to each other.
    pub(crate) fn into_replica(self, id: &str) -> Replica {
        Replica {
            id: id.to_owned(),
            backend: self.backend,
            address: self.address,
            zone: self.zone,
            revision: self.revision,
            capacity: self.capacity,
            call_count: self.call_count,
            draining: self.phase == ReportedPhase::Draining,
            warmup_ms: self.warmup_ms,
            ..Replica::default()
        }
    }
}

/// Whether a replica accepts requests, as reported in its heartbeats.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum ReportedPhase {
    /// The replica accepts requests.
    Available,
    /// The replica accepts no new requests and is about to end.
    Draining,
}

/// One incarnation of a replica in the registry.
#[derive(Clone, Debug)]
pub struct RegisteredReplica {
    /// The merged state of the replica, without ages, which [`RegisteredReplica::snapshot`] sets.
    pub replica: Replica,
    /// When the newest heartbeat was received, here or at another control node.
    last_heartbeat_at: Instant,
    /// When the warm-up ends.
    warmed_up_at: Instant,
    /// When the replica ended, if it has.
    ended_at: Option<Instant>,
}

impl RegisteredReplica {
    /// Returns the state of the replica, with ages as of now.
    pub fn snapshot(&self, now: Instant) -> Replica {
        Replica {
            age_ms: saturating_millis(now.since(self.last_heartbeat_at)),
            warmup_ms: saturating_millis(self.warmed_up_at.since(now)),
            ..self.replica.clone()
        }
    }

    /// Reports whether the replica drains or has ended. A majority must know this before the replica is told that it
    /// may stop.
    pub(crate) fn is_draining_or_ended(&self) -> bool {
        self.replica.draining || self.replica.ended
    }

    /// Reports whether the replica is known to be present only from this node's disk, or from before it was out of contact.
    fn is_unconfirmed(&self) -> bool {
        self.replica.unconfirmed && !self.is_draining_or_ended()
    }

    /// Returns when the replica ended, or timed out while it drained; `None` if neither.
    fn gone_since(&self, timeout: Duration) -> Option<Instant> {
        let drained = self.replica.draining && self.replica.timed_out_or_ended;
        self.ended_at
            .or_else(|| drained.then(|| self.last_heartbeat_at + timeout))
    }

    /// Returns a replica of which nothing but the id is known.
    fn unknown(now: Instant, id: &str) -> RegisteredReplica {
        RegisteredReplica {
            replica: Replica {
                id: id.to_owned(),
                ..Replica::default()
            },
            last_heartbeat_at: now,
            warmed_up_at: now,
            ended_at: None,
        }
    }

    /// Reports whether nothing but the departure of the replica is known.
    fn is_unknown_departure(&self) -> bool {
        self.replica.ended && self.replica.address.is_empty()
    }

    fn end(&mut self, now: Instant) {
        self.replica.ended = true;
        self.replica.timed_out_or_ended = true;
        self.ended_at = Some(now);
    }

    /// Merges a report of the same replica.
    fn merge(&mut self, now: Instant, report: &Replica) -> HeartbeatOutcome {
        self.replica.unconfirmed &= report.unconfirmed;
        if self.replica.ended {
            return HeartbeatOutcome::Stale;
        }
        if report.ended {
            self.end(now);
            return HeartbeatOutcome::Changed;
        }
        if report.call_count < self.replica.call_count {
            return HeartbeatOutcome::Stale;
        }
        self.last_heartbeat_at = self.last_heartbeat_at.max(reported_at(now, report));
        if report.call_count == self.replica.call_count {
            return HeartbeatOutcome::Stale;
        }
        let changed = self.replica.timed_out_or_ended != report.timed_out_or_ended
            || self.replica.draining != report.draining
            || self.replica.address != report.address
            || self.replica.backend != report.backend
            || self.replica.capacity != report.capacity
            || self.replica.zone != report.zone;
        self.replica = Replica {
            // Set by `snapshot`. `warmed_up_at` keeps its value from the first report: later reports count down the
            // same warm-up, and those forwarded by another control node arrive later than they were made.
            age_ms: 0,
            warmup_ms: 0,
            ..report.clone()
        };
        if changed {
            HeartbeatOutcome::Changed
        } else {
            HeartbeatOutcome::Refreshed
        }
    }
}

fn saturating_millis(duration: Duration) -> u32 {
    u32::try_from(whole_millis(duration)).unwrap_or(u32::MAX)
}

/// Returns when the heartbeat behind a report was received.
fn reported_at(now: Instant, report: &Replica) -> Instant {
    now.saturating_sub(Duration::from_millis(u64::from(report.age_ms)))
}

/// The change that a report of a replica made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The report is not newer than the known state.
    Stale,
    /// The replica is still running. Ingress nodes need not be notified.
    Refreshed,
    /// The state changed, and ingress nodes must be notified.
    Changed,
}

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

    /// Restores the replicas from disk; later ones prevail. They are not logged as changes, since nobody has been sent an
    /// offset of this log yet. See [`ReplicaRegistry::confirm`].
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

    /// Removes the unconfirmed replicas that the complete registry of another node does not list. They may have departed,
    /// and the other node may have known that and have forgotten it by now. A replica that is running sends its next
    /// heartbeat soon.
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
        let is_unconfirmed = report.unconfirmed && !report.draining && !report.ended;
        if is_unconfirmed && !self.replicas.contains_key(&report.id) {
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
        let mut new = RegisteredReplica {
            replica: Replica {
                age_ms: 0,
                warmup_ms: 0,
                timed_out_or_ended: report.ended || report.timed_out_or_ended,
                ..report.clone()
            },
            last_heartbeat_at: reported_at(now, report),
            warmed_up_at: now + Duration::from_millis(u64::from(report.warmup_ms)),
            ended_at: report.ended.then_some(now),
        };
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

    /// Records that a replica announced its end; returns whether it had not ended before. An unknown replica is recorded,
    /// too: its first heartbeat may still be on the way.
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
