//! Replicas that send heartbeats, some of which drain.

use linenthread_control::{CallId, ReplicaHeartbeat};

use super::operators::Request;
use super::world::{Event, START, World};

impl World {
    pub(super) fn replica(&mut self) {
        let wait = 40 + self.up_to(100);
        self.push(self.now + wait, Event::Replica);
        let n = self.any_node();
        if self.is_running(n) {
            self.beat_at(n);
        }
    }

    /// A heartbeat of one of twelve replicas; each is followed by another of its kind after 9 s.
    pub(super) fn beat_at(&mut self, n: usize) {
        let r = self.up_to(12);
        let begins_to_drain = self.up_to(10) == 0;
        let ident = format!("i-{r}-{}", (self.now - START) / 9_000);
        // One that drains goes on draining.
        if begins_to_drain {
            self.draining.insert(ident.clone());
        }
        let drains = self.draining.contains(&ident);
        let count = self.heartbeats.entry(ident.clone()).or_default();
        *count += 1;
        let phase = if drains { "draining" } else { "available" };
        let (backend, zone) = (r % 3, r % 3);
        let text = format!(
            "{{\"backend\":\"b{backend}\",\"address\":\"10.9.0.{r}:1\",\"zone\":\"z{zone}\",\
             \"phase\":\"{phase}\",\"call_count\":{count}}}"
        );
        let beat: ReplicaHeartbeat =
            serde_json::from_str(&text).expect("a heartbeat in proper form");
        let request = if drains {
            Request::Drain(ident.clone())
        } else {
            Request::Beat
        };
        if let Some(token) = self.call(n, request) {
            self.at(n, |c, now, out| {
                c.on_replica_heartbeat(now, CallId(token), &ident, beat, out);
            });
        }
    }
}
