//! What a control node tells operators of machines and replicas: its own view, not confirmed by others.

use linenthread_messages::{IngressSession, Replica};
use linenthread_time::Instant;
use serde_json::{Value as Json, json};

use crate::ControlNode;
use crate::membership::ControlPeer;

impl ControlNode {
    /// What this node knows of machines.
    pub fn members(&self, now: u64) -> Json {
        let front =
            |s: &IngressSession| json!({"name": s.name, "zone": s.zone, "revision": s.revision});
        let decided = self.register.decided();
        json!({
            "name": self.local.name,
            "zone": self.local.zone,
            "whole": self.in_contact(now),
            "leaving": self.leaving.is_some(),
            "duty_epoch": self.lease.held_epoch(Instant::from_millis(now)),
            "value": self.value_number(),
            "revision": decided.map_or(0, |value| value.revision),
            "counted": self.register.voters().iter().map(|voter| &voter.address).collect::<Vec<_>>(),
            "hubs": self.members.iter().map(|(_, peer)| control_node(now, peer)).collect::<Vec<_>>(),
            "fronts": self.fronts.all().values().map(front).collect::<Vec<_>>(),
        })
    }

    /// What this node knows of replicas.
    pub fn replicas(&self, now: u64) -> Json {
        Json::Array(
            self.registry
                .iter()
                .map(|known| replica(known.snapshot(now)))
                .collect(),
        )
    }
}

fn control_node(now: u64, peer: &ControlPeer) -> Json {
    json!({"name": peer.hello.name, "zone": peer.hello.zone, "control": peer.hello.control_address,
        "whole": peer.has_quorum, "value": peer.value, "leaving": peer.leaving,
        "heard_ms": now.saturating_sub(peer.heard)})
}

fn replica(replica: Replica) -> Json {
    let phase = match (replica.removed_for_good, replica.removed, replica.draining) {
        (true, _, _) => "ended",
        (_, true, _) => "silent",
        (_, _, true) => "draining",
        _ => "available",
    };
    json!({"ident": replica.id, "backend": replica.backend, "address": replica.address, "zone": replica.zone,
        "phase": phase, "heard_ms": replica.age_ms})
}
