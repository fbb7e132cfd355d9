//! Replicas that send heartbeats; some of them drain.

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
/// Time after which a replica is replaced by one with a new id.
const REPLICA_LIFETIME: Duration = Duration::from_millis(9_000);

/// A heartbeat of a replica.
pub(super) struct DrawnHeartbeat {
    pub(super) replica_id: String,
    pub(super) heartbeat: ReplicaHeartbeat,
    pub(super) is_draining: bool,
}

#[derive(Default)]
pub(super) struct Replicas {
    heartbeats: BTreeMap<String, u64>,
    draining: BTreeSet<String>,
}

impl Replicas {
    /// Draws a replica and returns its next heartbeat.
    pub(super) fn draw_heartbeat(&mut self, random: &mut Random, now: Instant) -> DrawnHeartbeat {
        let replica = random.below(REPLICA_COUNT);
        let starts_to_drain = random.one_in(DRAIN_ONE_IN);
        let generation = whole_millis(now.since(START)) / whole_millis(REPLICA_LIFETIME);
        let replica_id = format!("i-{replica}-{generation}");
        // A draining replica never becomes available again.
        if starts_to_drain {
            self.draining.insert(replica_id.clone());
        }
        let is_draining = self.draining.contains(&replica_id);
        let count = self.heartbeats.entry(replica_id.clone()).or_default();
        *count += 1;
        let phase = if is_draining { "draining" } else { "available" };
        let group = replica % GROUP_COUNT;
        let text = format!(
            "{{\"backend\":\"b{group}\",\"address\":\"10.9.0.{replica}:1\",\"zone\":\"z{group}\",\
             \"phase\":\"{phase}\",\"call_count\":{count}}}"
        );
        let heartbeat = serde_json::from_str(&text).expect("a valid heartbeat");
        DrawnHeartbeat {
            replica_id,
            heartbeat,
            is_draining,
        }
    }
}
