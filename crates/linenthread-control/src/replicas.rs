use std::cell::Cell;
use std::collections::BTreeMap;

use linenthread_messages::Replica;
use serde::Deserialize;

/// What a replica says of itself with each beat.
#[derive(Clone, Debug, Deserialize)]
pub struct Beat {
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
pub struct Known {
    pub told: Replica,
    pub heard: u64,
    pub warm_at: u64,
    ended_at: u64,
}

impl Known {
    pub fn tell(&self, now: u64) -> Replica {
        Replica {
            age_ms: now.saturating_sub(self.heard).min(u64::from(u32::MAX)) as u32,
            warmup_ms: self.warm_at.saturating_sub(now).min(u64::from(u32::MAX)) as u32,
            ..self.told.clone()
        }
    }
}

/// What a piece of news was worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Older than what is known.
    Late,
    /// Nothing but a sign of life.
    Alive,
    /// Fronts must know.
    Changed,
}

/// What has ended is remembered for so long, so that what comes late does not bring it back.
const REMEMBERED: u64 = 60_000;

/// The replicas of all cells, by ident.
#[derive(Default)]
pub struct ReplicaRegistry {
    known: BTreeMap<String, Known>,
    /// The last digest; none once what it sums up has changed.
    digest: Cell<Option<u64>>,
}

impl ReplicaRegistry {
    pub fn get(&self, ident: &str) -> Option<&Known> {
        self.known.get(ident)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Known> {
        self.known.values()
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Takes what a replica, or another hub, says of it; the idents that changed beside it go to `also`.
    pub fn observe(&mut self, now: u64, said: &Replica, also: &mut Vec<String>) -> Heard {
        let heard = self.take_in(now, said, also);
        if heard == Heard::Changed {
            self.digest.set(None);
        }
        heard
    }

    fn take_in(&mut self, now: u64, said: &Replica, also: &mut Vec<String>) -> Heard {
        let heard = now.saturating_sub(u64::from(said.age_ms));
        let warm_at = now + u64::from(said.warmup_ms);
        if let Some(known) = self.known.get_mut(&said.id) {
            if known.told.removed_for_good {
                return Heard::Late;
            }
            if said.removed_for_good {
                (
                    known.told.removed_for_good,
                    known.told.removed,
                    known.ended_at,
                ) = (true, true, now);
                return Heard::Changed;
            }
            if said.call_count < known.told.call_count {
                return Heard::Late;
            }
            let same = said.call_count == known.told.call_count;
            known.heard = known.heard.max(heard);
            if same {
                return Heard::Late;
            }
            let back = known.told.removed;
            let changed = back
                || known.told.draining != said.draining
                || known.told.address != said.address
                || known.told.backend != said.backend
                || known.told.capacity != said.capacity
                || known.told.zone != said.zone;
            known.told = Replica {
                age_ms: 0,
                warmup_ms: 0,
                removed: false,
                ..said.clone()
            };
            return if changed {
                Heard::Changed
            } else {
                Heard::Alive
            };
        }
        let mut new = Known {
            told: Replica {
                age_ms: 0,
                warmup_ms: 0,
                removed: said.removed_for_good,
                ..said.clone()
            },
            heard,
            warm_at,
            ended_at: now,
        };
        // Two lives at one address: the one heard of last is there.
        for other in self
            .known
            .values_mut()
            .filter(|k| !k.told.removed_for_good && k.told.address == said.address)
        {
            if new.told.removed_for_good {
                break;
            }
            let old = if other.heard > heard { &mut new } else { other };
            (old.told.removed_for_good, old.told.removed, old.ended_at) = (true, true, now);
            also.push(old.told.id.clone());
        }
        also.retain(|i| *i != said.id);
        self.known.insert(said.id.clone(), new);
        Heard::Changed
    }

    /// A departure; true if it was there.
    pub fn depart(&mut self, now: u64, ident: &str) -> bool {
        match self.known.get_mut(ident) {
            Some(known) if !known.told.removed_for_good => {
                (
                    known.told.removed_for_good,
                    known.told.removed,
                    known.ended_at,
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
            .retain(|_, k| !k.told.removed_for_good || now < k.ended_at + REMEMBERED);
        let here = self.known.values().filter(|k| !k.told.removed).count();
        let silent = |k: &Known| !k.told.removed && now > k.heard + silence;
        let all = self.known.values().filter(|k| silent(k)).count();
        if all * 2 > here {
            return Vec::new();
        }
        let mut gone = Vec::new();
        for known in self.known.values_mut().filter(|k| silent(k)) {
            known.told.removed = true;
            gone.push(known.told.id.clone());
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
        let one = |k: &Known| {
            let r = &k.told;
            linenthread_consensus::fnv1a_64(
                format!("{} {} {} {}", r.id, r.backend, r.address, r.draining).as_bytes(),
            )
        };
        self.known
            .values()
            .filter(|k| !k.told.removed_for_good)
            .map(one)
            .fold(0, u64::wrapping_add)
    }
}
