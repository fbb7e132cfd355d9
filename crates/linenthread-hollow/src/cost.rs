//! What a machine spends: messages, bytes, processor time by kind of work, heap.

use std::collections::BTreeMap;
use std::time::Duration;

use cpu_time::ThreadTime;
use stats_alloc::{INSTRUMENTED_SYSTEM, Stats, StatsAlloc};

use crate::number::{count, signed};

/// The allocator that counts, so that heap can be measured machine by machine.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;

/// What work is done for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Work {
    /// Connections between control nodes, and their first messages.
    Sessions,
    /// An ingress node's first message and the snapshot that answers it.
    IngressJoins,
    /// Heartbeats between ingress nodes and control nodes.
    IngressHeartbeats,
    /// Heartbeats between control nodes.
    PeerHeartbeats,
    /// Changes of replicas, sent to ingress nodes.
    IngressUpdates,
    /// Heartbeats of replicas, sent on to the other control nodes.
    PeerReplicas,
    /// Sessions of ingress nodes, sent to the other control nodes.
    PeerSessions,
    /// Calls of replicas.
    ReplicaHeartbeats,
    /// Agreement on configurations and voters, and configurations on their way to ingress nodes.
    Configuration,
    /// The leader lease.
    Lease,
    /// Grants of the retry budget.
    RetryBudget,
    /// Timers: sessions and grants are written here.
    Timer,
}

impl Work {
    /// Its name in tables and in CSV, where recorded figures have it.
    pub fn name(self) -> &'static str {
        match self {
            Work::Sessions => "Sessions",
            Work::IngressJoins => "FrontJoins",
            Work::IngressHeartbeats => "FrontHeartbeats",
            Work::PeerHeartbeats => "PeerHeartbeats",
            Work::IngressUpdates => "FrontUpdates",
            Work::PeerReplicas => "PeerReplicas",
            Work::PeerSessions => "PeerSessions",
            Work::ReplicaHeartbeats => "ReplicaHeartbeats",
            Work::Configuration => "Configuration",
            Work::Lease => "Lease",
            Work::RetryBudget => "RetryBudget",
            Work::Timer => "Timer",
        }
    }
}

/// Messages and bytes of one machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Traffic {
    /// Messages that it received.
    pub(crate) messages_in: u64,
    /// Bytes of those.
    pub(crate) bytes_in: u64,
    /// Messages that it sent.
    pub(crate) messages_out: u64,
    /// Bytes of those.
    pub(crate) bytes_out: u64,
}

impl Traffic {
    fn add(&mut self, other: &Traffic) {
        self.messages_in += other.messages_in;
        self.bytes_in += other.bytes_in;
        self.messages_out += other.messages_out;
        self.bytes_out += other.bytes_out;
    }
}

/// What one machine has spent since it was last reset. Heap is never reset.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cost {
    /// Messages and bytes by what they are for.
    pub(crate) traffic: BTreeMap<Work, Traffic>,
    /// Processor time by what it was spent for.
    pub(crate) processor: BTreeMap<Work, Duration>,
    /// Bytes that were written to disk.
    pub(crate) disk_bytes: u64,
    /// Bytes that are allocated.
    pub(crate) heap: i64,
    /// The most that one call allocated on top of that until its messages were written.
    pub(crate) transient: i64,
}

impl Cost {
    /// Starts anew, but for the heap.
    pub(crate) fn reset(&mut self) {
        *self = Cost {
            heap: self.heap,
            ..Cost::default()
        };
    }

    /// Counts a message that was received.
    pub(crate) fn receive(&mut self, work: Work, bytes: usize) {
        let traffic = self.traffic.entry(work).or_default();
        traffic.messages_in += 1;
        traffic.bytes_in += count(bytes);
    }

    /// Counts a message that was sent.
    pub(crate) fn send(&mut self, work: Work, bytes: usize) {
        let traffic = self.traffic.entry(work).or_default();
        traffic.messages_out += 1;
        traffic.bytes_out += count(bytes);
    }

    /// Messages and bytes of all work.
    pub(crate) fn total_traffic(&self) -> Traffic {
        let mut total = Traffic::default();
        for traffic in self.traffic.values() {
            total.add(traffic);
        }
        total
    }

    /// Processor time of all work.
    pub(crate) fn total_processor(&self) -> Duration {
        self.processor.values().sum()
    }

    /// Adds what a meter has measured.
    pub(crate) fn charge(&mut self, work: Work, spent: &Spent) {
        *self.processor.entry(work).or_default() += spent.processor;
        self.heap += spent.heap;
    }
}

/// What a [`Meter`] has measured.
pub(crate) struct Spent {
    /// Processor time of the thread.
    pub(crate) processor: Duration,
    /// Bytes that were allocated and not freed.
    pub(crate) heap: i64,
}

/// Bytes that are allocated now, by all machines.
pub(crate) fn allocated() -> i64 {
    net_bytes(&ALLOCATOR.stats())
}

fn net_bytes(stats: &Stats) -> i64 {
    signed(stats.bytes_allocated) - signed(stats.bytes_deallocated)
}

/// Measures this thread's processor time and what it allocates.
pub(crate) struct Meter {
    started: ThreadTime,
    before: Stats,
}

impl Meter {
    /// Starts to measure.
    pub(crate) fn start() -> Meter {
        Meter {
            before: ALLOCATOR.stats(),
            started: ThreadTime::now(),
        }
    }

    /// What was spent since the start.
    pub(crate) fn spent(&self) -> Spent {
        let processor = self.started.elapsed();
        let since = ALLOCATOR.stats() - self.before;
        Spent {
            processor,
            heap: net_bytes(&since),
        }
    }
}
