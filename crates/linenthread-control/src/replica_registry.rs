use std::cell::Cell;
use std::collections::BTreeMap;

use linenthread_messages::Replica;
use serde::Deserialize;

/// What a replica says of itself with each beat.
#[derive(Clone, Debug, Deserialize)]
pub struct ReplicaHeartbeat {
    pub backend: String,
    pub address: String,
    pub zone: String,
    #[serde(default)]
    pub revision: String,
    #[serde(default)]
    pub capacity: u32,
    pub phase: Phase,
    #[serde(default)]
    pub warmup_ms: u32,
    pub call_count: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Available,
    Draining,
}

/// One replica's life. What is told of it is in `told`, but for ages, which are made when it is told.
#[derive(Clone, Debug)]
pub struct KnownReplica {
    pub replica: Replica,
    pub last_heartbeat_at: u64,
    pub warmed_up_at: u64,
    removed_at: u64,
}

impl KnownReplica {
    pub fn snapshot(&self, now: u64) -> Replica {
        Replica {
            age_ms: now
                .saturating_sub(self.last_heartbeat_at)
                .min(u64::from(u32::MAX)) as u32,
            warmup_ms: self
                .warmed_up_at
                .saturating_sub(now)
                .min(u64::from(u32::MAX)) as u32,
            ..self.replica.clone()
        }
    }
}

/// What a piece of news was worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Older than what is known.
    Stale,
    /// Nothing but a sign of life.
    Refreshed,
    /// IngressNodes must know.
    Changed,
}

/// What has ended is remembered for so long, so that what comes late does not bring it back.
const REMEMBERED: u64 = 60_000;

/// The replicas of all cells, by ident.
#[derive(Default)]
pub struct ReplicaRegistry {
    known: BTreeMap<String, KnownReplica>,
    /// The last digest; none once what it sums up has changed.
    digest: Cell<Option<u64>>,
}

impl ReplicaRegistry {
    pub fn get(&self, ident: &str) -> Option<&KnownReplica> {
        self.known.get(ident)
    }

    pub fn iter(&self) -> impl Iterator<Item = &KnownReplica> {
        self.known.values()
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Takes what a replica, or another hub, says of it; the idents that changed beside it go to `also`.
    pub fn observe(
        &mut self,
        now: u64,
        said: &Replica,
        also: &mut Vec<String>,
    ) -> HeartbeatOutcome {
        let heard = self.take_in(now, said, also);
        if heard == HeartbeatOutcome::Changed {
            self.digest.set(None);
        }
        heard
    }

    fn take_in(&mut self, now: u64, said: &Replica, also: &mut Vec<String>) -> HeartbeatOutcome {
        let heard = now.saturating_sub(u64::from(said.age_ms));
        let warm_at = now + u64::from(said.warmup_ms);
        if let Some(known) = self.known.get_mut(&said.id) {
            if known.replica.removed_for_good {
                return HeartbeatOutcome::Stale;
            }
            if said.removed_for_good {
                (
                    known.replica.removed_for_good,
                    known.replica.removed,
                    known.removed_at,
                ) = (true, true, now);
                return HeartbeatOutcome::Changed;
            }
            if said.call_count < known.replica.call_count {
                return HeartbeatOutcome::Stale;
            }
            let same = said.call_count == known.replica.call_count;
            known.last_heartbeat_at = known.last_heartbeat_at.max(heard);
            if same {
                return HeartbeatOutcome::Stale;
            }
            let back = known.replica.removed;
            let changed = back
                || known.replica.draining != said.draining
                || known.replica.address != said.address
                || known.replica.backend != said.backend
                || known.replica.capacity != said.capacity
                || known.replica.zone != said.zone;
            known.replica = Replica {
                age_ms: 0,
                warmup_ms: 0,
                removed: false,
                ..said.clone()
            };
            return if changed {
                HeartbeatOutcome::Changed
            } else {
                HeartbeatOutcome::Refreshed
            };
        }
        let mut new = KnownReplica {
            replica: Replica {
                age_ms: 0,
                warmup_ms: 0,
                removed: said.removed_for_good,
                ..said.clone()
            },
            last_heartbeat_at: heard,
            warmed_up_at: warm_at,
            removed_at: now,
        };
        // Two lives at one address: the one heard of last is there.
        for other in self
            .known
            .values_mut()
            .filter(|k| !k.replica.removed_for_good && k.replica.address == said.address)
        {
            if new.replica.removed_for_good {
                break;
            }
            let old = if other.last_heartbeat_at > heard {
                &mut new
            } else {
                other
            };
            (
                old.replica.removed_for_good,
                old.replica.removed,
                old.removed_at,
            ) = (true, true, now);
            also.push(old.replica.id.clone());
        }
        also.retain(|i| *i != said.id);
        self.known.insert(said.id.clone(), new);
        HeartbeatOutcome::Changed
    }

    /// A departure; true if it was there.
    pub fn depart(&mut self, now: u64, ident: &str) -> bool {
        match self.known.get_mut(ident) {
            Some(known) if !known.replica.removed_for_good => {
                (
                    known.replica.removed_for_good,
                    known.replica.removed,
                    known.removed_at,
                ) = (true, true, now);
                self.digest.set(None);
                true
            }
            _ => false,
        }
    }

    /// Replicas that were silent for too long are gone from now on, unless most are silent at once: then it
    /// is the news that does not come. What ended long ago is forgotten.
    pub fn expire(&mut self, now: u64, silence: u64) -> Vec<String> {
        self.known
            .retain(|_, k| !k.replica.removed_for_good || now < k.removed_at + REMEMBERED);
        let here = self.known.values().filter(|k| !k.replica.removed).count();
        let silent = |k: &KnownReplica| !k.replica.removed && now > k.last_heartbeat_at + silence;
        let all = self.known.values().filter(|k| silent(k)).count();
        if all * 2 > here {
            return Vec::new();
        }
        let mut gone = Vec::new();
        for known in self.known.values_mut().filter(|k| silent(k)) {
            known.replica.removed = true;
            gone.push(known.replica.id.clone());
        }
        gone
    }

    /// A sum that is the same where the same is known, in any order.
    pub fn digest(&self) -> u64 {
        if let Some(digest) = self.digest.get() {
            return digest;
        }
        let digest = self.sum();
        self.digest.set(Some(digest));
        digest
    }

    fn sum(&self) -> u64 {
        let one = |k: &KnownReplica| {
            let r = &k.replica;
            linenthread_consensus::fnv1a_64(
                format!("{} {} {} {}", r.id, r.backend, r.address, r.draining).as_bytes(),
            )
        };
        self.known
            .values()
            .filter(|k| !k.replica.removed_for_good)
            .map(one)
            .fold(0, u64::wrapping_add)
    }
}
