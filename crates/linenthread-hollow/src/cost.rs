//! What a machine spends: messages, bytes, processor time by kind of work, heap.

use std::collections::BTreeMap;
use std::time::Duration;

use cpu_time::ThreadTime;
use stats_alloc::{INSTRUMENTED_SYSTEM, Stats, StatsAlloc};

/// The allocator that counts, so that heap can be told machine by machine.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;

/// What work is done for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Work {
    /// Connections between control nodes, and first words.
    Sessions,
    /// A front's first word and the snapshot that answers it.
    FrontJoins,
    FrontHeartbeats,
    PeerHeartbeats,
    /// Changes of replicas, told to fronts.
    FrontUpdates,
    /// Signs of life of replicas, told to the other control nodes.
    PeerReplicas,
    /// Sessions of fronts, told to the other control nodes.
    PeerSessions,
    /// Calls of replicas.
    ReplicaHeartbeats,
    /// Agreement on configurations and voters, and configurations on their way to fronts.
    Configuration,
    Lease,
    RetryBudget,
    /// What is due by time: sessions and grants are written here.
    Timer,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub messages_in: u64,
    pub bytes_in: u64,
    pub messages_out: u64,
    pub bytes_out: u64,
}

impl Traffic {
    pub fn bytes(&self) -> u64 {
        self.bytes_in + self.bytes_out
    }

    fn add(&mut self, other: &Traffic) {
        self.messages_in += other.messages_in;
        self.bytes_in += other.bytes_in;
        self.messages_out += other.messages_out;
        self.bytes_out += other.bytes_out;
    }
}

/// What one machine has spent since it was last reset. Heap is never reset.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    pub traffic: BTreeMap<Work, Traffic>,
    pub processor: BTreeMap<Work, Duration>,
    pub disk_bytes: u64,
    /// Bytes that are held.
    pub heap: i64,
    /// The most that one call held on top of that until its messages were written.
    pub transient: i64,
}

impl Cost {
    pub fn reset(&mut self) {
        *self = Cost {
            heap: self.heap,
            ..Cost::default()
        };
    }

    pub fn receive(&mut self, work: Work, bytes: usize) {
        let traffic = self.traffic.entry(work).or_default();
        traffic.messages_in += 1;
        traffic.bytes_in += bytes as u64;
    }

    pub fn send(&mut self, work: Work, bytes: usize) {
        let traffic = self.traffic.entry(work).or_default();
        traffic.messages_out += 1;
        traffic.bytes_out += bytes as u64;
    }

    pub fn total_traffic(&self) -> Traffic {
        let mut total = Traffic::default();
        self.traffic.values().for_each(|traffic| total.add(traffic));
        total
    }

    pub fn total_processor(&self) -> Duration {
        self.processor.values().sum()
    }

    /// Adds what a meter has seen since it was begun.
    pub fn charge(&mut self, work: Work, spent: &Spent) {
        *self.processor.entry(work).or_default() += spent.processor;
        self.heap += spent.heap;
    }
}

pub struct Spent {
    pub processor: Duration,
    pub heap: i64,
}

/// Bytes that are held now, by all.
pub(crate) fn held() -> i64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated as i64 - stats.bytes_deallocated as i64
}

/// Measures this thread's processor time and what it allocates.
pub struct Meter {
    began: ThreadTime,
    before: Stats,
}

impl Meter {
    pub fn begin() -> Meter {
        Meter {
            before: ALLOCATOR.stats(),
            began: ThreadTime::now(),
        }
    }

    pub fn spent(&self) -> Spent {
        let processor = self.began.elapsed();
        let since = ALLOCATOR.stats() - self.before;
        Spent {
            processor,
            heap: since.bytes_allocated as i64 - since.bytes_deallocated as i64,
        }
    }
}
