//! Status calls of operators. They report this node's local view, which no other node has confirmed. The JSON keys are
//! part of the control API.

use linenthread_consensus::{Epoch, Revision};
use linenthread_messages::{IngressSession, Replica, ReplicaState};
use linenthread_time::{Instant, whole_millis};
use serde_json::{Value as Json, json};

use crate::ControlNode;
use crate::control_peer::ControlPeer;

impl ControlNode {
    /// Returns this node's view of the control nodes and ingress nodes, as a JSON object.
    pub fn members_status(&self, now: Instant) -> Json {
        let decided = self.register.decided();
        let voters = self.register.voters();
        json!({
            "name": self.config.name,
            "zone": self.config.zone,
            "whole": self.has_quorum(now),
            "leaving": self.is_shutting_down(),
            "duty_epoch": self.lease_epoch(now).map(Epoch::get),
            "value": self.value_number().get(),
            "revision": decided.map_or(Revision::NONE, Revision::of).get(),
            "counted": voters.iter().map(|voter| &voter.address).collect::<Vec<_>>(),
            "hubs": self.membership.newest_sessions().map(|peer| control_node(now, peer)).collect::<Vec<_>>(),
            "fronts": self.ingress_nodes.all_sessions().values().map(ingress_node).collect::<Vec<_>>(),
        })
    }

    /// Returns this node's view of the replicas, as a JSON array.
    pub fn replicas_status(&self, now: Instant) -> Json {
        Json::Array(self.registry.snapshot(now).iter().map(replica).collect())
    }
}

fn ingress_node(session: &IngressSession) -> Json {
    json!({"name": session.name, "zone": session.zone, "revision": session.revision})
}

fn control_node(now: Instant, peer: &ControlPeer) -> Json {
    json!({
        "name": peer.hello().name,
        "zone": peer.hello().zone,
        "control": peer.hello().control_address,
        "whole": peer.has_quorum(),
        "value": peer.value_number().get(),
        "leaving": peer.is_shutting_down(),
        "heard_ms": whole_millis(now.since(peer.last_received_at())),
    })
}

fn replica(replica: &Replica) -> Json {
    let phase = match replica.state() {
        ReplicaState::Available => "available",
        ReplicaState::Draining => "draining",
        ReplicaState::TimedOut => "silent",
        ReplicaState::Ended => "ended",
    };
    json!({
        "ident": replica.id,
        "backend": replica.backend,
        "address": replica.address,
        "zone": replica.zone,
        "phase": phase,
        "heard_ms": replica.age_ms,
    })
}
