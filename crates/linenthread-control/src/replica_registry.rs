//! The registry of replicas: what is known of each, merged from heartbeats in whatever order they arrive, and the log
//! of its changes.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use linenthread_hash::fnv1a_64;
use linenthread_messages::Replica;
use linenthread_time::{Instant, whole_millis};
use serde::Deserialize;

use crate::ChangeLog;

/// An ended replica is remembered for so long, so that a late heartbeat does not bring it back.
const REMEMBER_ENDED: Duration = Duration::from_millis(60_000);

/// How many changes of replicas are remembered. An ingress node that lacks more is sent the whole registry.
const MAX_LOGGED_CHANGES: usize = 4_096;

/// What a replica says of itself with each heartbeat: the body of its call, in JSON.
#[derive(Clone, Debug, Deserialize)]
pub struct ReplicaHeartbeat {
    /// Name of the backend that it is a replica of.
    pub backend: String,
    /// `host:port` at which it serves requests.
    pub address: String,
    /// The failure domain that it runs in.
    pub zone: String,
    /// The revision of its software.
    #[serde(default)]
    pub revision: String,
    /// How many requests it processes at once; 0 if it does not say.
    #[serde(default)]
    pub capacity: u32,
    /// Whether it takes requests.
    pub phase: ReportedPhase,
    /// How much longer it warms up, in milliseconds. What the first heartbeat says counts.
    #[serde(default)]
    pub warmup_ms: u32,
    /// Its count of calls to control nodes, which orders them.
    pub call_count: u64,
}

impl ReplicaHeartbeat {
    /// The heartbeat as control nodes send it to each other.
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

/// Whether a replica takes requests, as it reports itself with each heartbeat.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum ReportedPhase {
    /// It takes requests.
    Available,
    /// It takes no new requests and is about to end.
    Draining,
}

/// One incarnation of a replica, as the registry knows it.
#[derive(Clone, Debug)]
pub struct RegisteredReplica {
    /// What is known of it, but for ages, which [`RegisteredReplica::snapshot`] fills in.
    pub replica: Replica,
    /// When its newest heartbeat was received, here or at another control node.
    last_heartbeat_at: Instant,
    /// When it is warm.
    warmed_up_at: Instant,
    /// When it ended for good, if it has.
    ended_at: Option<Instant>,
}

impl RegisteredReplica {
    /// What is known of the replica, with ages as of now.
    pub fn snapshot(&self, now: Instant) -> Replica {
        Replica {
            age_ms: saturating_millis(now.since(self.last_heartbeat_at)),
            warmup_ms: saturating_millis(self.warmed_up_at.since(now)),
            ..self.replica.clone()
        }
    }

    /// Whether it drains, or ended for good: a majority must know of that before the replica is told that it may stop.
    pub(crate) fn is_draining_or_ended(&self) -> bool {
        self.replica.draining || self.replica.ended
    }

    fn end(&mut self, now: Instant) {
        self.replica.ended = true;
        self.replica.timed_out_or_ended = true;
        self.ended_at = Some(now);
    }

    /// Takes in a report of the same replica.
    fn merge(&mut self, now: Instant, report: &Replica) -> HeartbeatOutcome {
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
        let changed = self.replica.timed_out_or_ended
            || self.replica.draining != report.draining
            || self.replica.address != report.address
            || self.replica.backend != report.backend
            || self.replica.capacity != report.capacity
            || self.replica.zone != report.zone;
        self.replica = Replica {
            // Filled in by `snapshot`. `warmed_up_at` stays as the first report set it: later ones count down the same
            // warm-up, and those by way of another control node arrive later than they were made.
            age_ms: 0,
            warmup_ms: 0,
            timed_out_or_ended: false,
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

/// When the heartbeat that a report rests on was received.
fn reported_at(now: Instant, report: &Replica) -> Instant {
    now.saturating_sub(Duration::from_millis(u64::from(report.age_ms)))
}

/// What a report of a replica changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// It is older than what is known.
    Stale,
    /// The replica still runs; nothing else is new.
    Refreshed,
    /// Ingress nodes must be notified.
    Changed,
}

/// What [`ReplicaRegistry::observe`] made of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// What the report changed of its replica.
    pub outcome: HeartbeatOutcome,
    /// The ids of other replicas that ended by it.
    pub superseded: Vec<String>,
}

/// The replicas of all backends, by id.
pub struct ReplicaRegistry {
    replicas: BTreeMap<String, RegisteredReplica>,
    changes: ChangeLog,
    /// Heartbeats were received for so long that a replica which is not here does not run.
    is_settled: bool,
    /// The last digest; `None` once what it covers has changed.
    digest: Cell<Option<u64>>,
}

impl Default for ReplicaRegistry {
    fn default() -> ReplicaRegistry {
        ReplicaRegistry {
            replicas: BTreeMap::new(),
            changes: ChangeLog::new(MAX_LOGGED_CHANGES),
            is_settled: false,
            digest: Cell::new(None),
        }
    }
}

impl ReplicaRegistry {
    /// The replica of an id, also if it has ended lately.
    pub fn get(&self, id: &str) -> Option<&RegisteredReplica> {
        self.replicas.get(id)
    }

    /// All replicas in the order of their ids, those that ended lately included.
    pub fn iter(&self) -> impl Iterator<Item = &RegisteredReplica> {
        self.replicas.values()
    }

    /// What is known of all replicas, with ages as of now.
    pub(crate) fn snapshot(&self, now: Instant) -> Vec<Replica> {
        self.iter().map(|known| known.snapshot(now)).collect()
    }

    /// How many replicas are known, those that ended lately included.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Whether no replica is known.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// The log of changes, for ingress nodes.
    pub fn changes(&self) -> &ChangeLog {
        &self.changes
    }

    /// Whether heartbeats were received for so long that a replica which is not here does not run.
    pub(crate) fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Notes whether the registry is settled; returns whether it is from now on and was not before.
    pub(crate) fn set_settled(&mut self, is_settled: bool) -> bool {
        let was_settled = std::mem::replace(&mut self.is_settled, is_settled);
        is_settled && !was_settled
    }

    /// Takes in the replicas that a disk holds. Nobody has been sent an offset of this log yet, so they are no changes.
    pub(crate) fn restore(&mut self, now: Instant, replicas: &[Replica]) {
        for replica in replicas {
            self.merge(now, replica);
        }
    }

    /// Takes in what a replica, or another control node, reports of it, and logs what that changed.
    pub fn observe(&mut self, now: Instant, report: &Replica) -> Observation {
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

    /// Adds a replica that was not known; returns the ids of others that ended by it.
    fn insert(&mut self, now: Instant, report: &Replica) -> Vec<String> {
        let mut superseded = Vec::new();
        let mut new = RegisteredReplica {
            replica: Replica {
                age_ms: 0,
                warmup_ms: 0,
                timed_out_or_ended: report.ended,
                ..report.clone()
            },
            last_heartbeat_at: reported_at(now, report),
            warmed_up_at: now + Duration::from_millis(u64::from(report.warmup_ms)),
            ended_at: report.ended.then_some(now),
        };
        // Of two incarnations at one address, the one with the newer heartbeat runs. One that has ended says nothing of
        // the others.
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

    /// A replica announced that it ends; true if it had not before.
    pub fn mark_departed(&mut self, now: Instant, id: &str) -> bool {
        match self.replicas.get_mut(id) {
            Some(known) if !known.replica.ended => {
                known.end(now);
                self.changes.append(id);
                self.digest.set(None);
                true
            }
            _ => false,
        }
    }

    /// Removes the replicas without a heartbeat for longer than `timeout`, and returns their ids; none if more than
    /// half time out at once, since then it is rather the heartbeats that do not arrive. Forgets what ended long ago.
    pub fn expire(&mut self, now: Instant, timeout: Duration) -> Vec<String> {
        self.replicas.retain(|_, known| {
            known
                .ended_at
                .is_none_or(|ended_at| now < ended_at + REMEMBER_ENDED)
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

    /// A checksum that is equal where the same replicas are known, whatever the order in which they were reported.
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
