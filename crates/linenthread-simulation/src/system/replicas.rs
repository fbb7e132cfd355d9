//! Replicas that send heartbeats; some of them drain or depart, and heartbeats may arrive after the departure.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use linenthread_control::ReplicaHeartbeat;
use linenthread_time::{Instant, whole_millis};

use super::event::START;
use super::random::Random;

const REPLICA_COUNT: u64 = 12;
/// Number of backends, and of zones.
const GROUP_COUNT: u64 = 3;
/// One heartbeat in this many starts to drain its replica.
const DRAIN_ONE_IN: u64 = 10;
/// One call in this many is a departure.
const DEPART_ONE_IN: u64 = 15;
/// One call of a departed replica in this many repeats the departure; the others are late heartbeats.
const REPEAT_DEPARTURE_ONE_IN: u64 = 2;
/// Time after which a replica is replaced by one with a new id.
const REPLICA_LIFETIME: Duration = Duration::from_millis(9_000);

/// A call of a replica.
pub(super) enum ReplicaCall {
    Heartbeat {
        heartbeat: ReplicaHeartbeat,
        is_draining: bool,
    },
    Departure,
}

/// A call of a replica, with the replica's id.
pub(super) struct DrawnCall {
    pub(super) replica_id: String,
    pub(super) call: ReplicaCall,
}

#[derive(Default)]
pub(super) struct Replicas {
    heartbeats: BTreeMap<String, u64>,
    /// The number of each replica's last heartbeat before it began to drain.
    last_available: BTreeMap<String, u64>,
    draining: BTreeSet<String>,
    departed: BTreeSet<String>,
    /// When each replica was first told that its drain or departure is recorded.
    acknowledged_at: BTreeMap<String, Instant>,
}

impl Replicas {
    /// Draws a replica and returns its next call.
    pub(super) fn draw_call(&mut self, random: &mut Random, now: Instant) -> DrawnCall {
        let replica = random.below(REPLICA_COUNT);
        let generation = whole_millis(now.since(START)) / whole_millis(REPLICA_LIFETIME);
        let replica_id = format!("i-{replica}-{generation}");
        let departs = random.one_in(DEPART_ONE_IN);
        let call = if self.departed.contains(&replica_id) {
            self.draw_call_of_departed(random, replica, &replica_id)
        } else if departs {
            self.departed.insert(replica_id.clone());
            ReplicaCall::Departure
        } else {
            self.draw_heartbeat(random, replica, &replica_id)
        };
        DrawnCall { replica_id, call }
    }

    fn draw_heartbeat(
        &mut self,
        random: &mut Random,
        replica: u64,
        replica_id: &str,
    ) -> ReplicaCall {
        // A draining replica never becomes available again.
        if random.one_in(DRAIN_ONE_IN) {
            self.draining.insert(replica_id.to_owned());
        }
        let is_draining = self.draining.contains(replica_id);
        let count = self.heartbeats.entry(replica_id.to_owned()).or_default();
        *count += 1;
        if !is_draining {
            self.last_available.insert(replica_id.to_owned(), *count);
        }
        ReplicaCall::Heartbeat {
            heartbeat: heartbeat(replica, is_draining, *count),
            is_draining,
        }
    }

    /// A heartbeat that was sent before the departure may arrive after it, even if no other one has arrived.
    fn draw_call_of_departed(
        &self,
        random: &mut Random,
        replica: u64,
        replica_id: &str,
    ) -> ReplicaCall {
        let was_never_available = self.heartbeats.contains_key(replica_id)
            && !self.last_available.contains_key(replica_id);
        if was_never_available || random.one_in(REPEAT_DEPARTURE_ONE_IN) {
            return ReplicaCall::Departure;
        }
        let last = self.last_available.get(replica_id).copied().unwrap_or(1);
        ReplicaCall::Heartbeat {
            heartbeat: heartbeat(replica, false, last),
            is_draining: false,
        }
    }

    /// Records that a replica was told that its drain or departure is recorded; returns whether it is the first time.
    pub(super) fn on_drain_acknowledged(&mut self, replica_id: &str, now: Instant) -> bool {
        let is_first = !self.acknowledged_at.contains_key(replica_id);
        if is_first {
            self.acknowledged_at.insert(replica_id.to_owned(), now);
        }
        is_first
    }

    /// Returns when a replica was first told that its drain or departure is recorded.
    pub(super) fn acknowledged_at(&self, replica_id: &str) -> Option<Instant> {
        self.acknowledged_at.get(replica_id).copied()
    }
}

fn heartbeat(replica: u64, is_draining: bool, call_count: u64) -> ReplicaHeartbeat {
    let phase = if is_draining { "draining" } else { "available" };
    let group = replica % GROUP_COUNT;
    let text = format!(
        "{{\"backend\":\"b{group}\",\"address\":\"10.9.0.{replica}:1\",\"zone\":\"z{group}\",\
         \"phase\":\"{phase}\",\"call_count\":{call_count}}}"
    );
    serde_json::from_str(&text).expect("a valid heartbeat")
}
