//! Sends the calls of replicas to control nodes.

use std::time::Duration;

use linenthread_control::ReplicaHeartbeat;

use super::event::Event;
use super::replicas::{DrawnCall, ReplicaCall};
use super::requests::Request;
use super::world::World;

impl World {
    /// Sends a call of a replica to any node, and schedules the next one.
    pub(super) fn step_replica(&mut self) {
        let wait = Duration::from_millis(40) + self.random.millis_below(100);
        self.push_in(wait, Event::ReplicaHeartbeat);
        let node = self.random_machine();
        if self.is_running(node) {
            self.send_replica_call(node);
        }
    }

    pub(super) fn send_replica_call(&mut self, node: usize) {
        let now = self.now();
        let DrawnCall { replica_id, call } = self.replicas.draw_call(&mut self.random, now);
        match call {
            ReplicaCall::Heartbeat {
                heartbeat,
                is_draining,
            } => self.send_replica_heartbeat(node, &replica_id, heartbeat, is_draining),
            ReplicaCall::Departure => self.send_departure(node, &replica_id),
        }
    }

    fn send_replica_heartbeat(
        &mut self,
        node: usize,
        replica_id: &str,
        heartbeat: ReplicaHeartbeat,
        is_draining: bool,
    ) {
        let request = if is_draining {
            Request::Drain {
                replica_id: replica_id.to_owned(),
            }
        } else {
            Request::Heartbeat
        };
        if let Some(call) = self.add_call(node, request) {
            self.run(node, |control, now, effects| {
                control.on_replica_heartbeat(now, call, replica_id, heartbeat, effects);
            });
        }
    }

    fn send_departure(&mut self, node: usize, replica_id: &str) {
        let request = Request::Drain {
            replica_id: replica_id.to_owned(),
        };
        if let Some(call) = self.add_call(node, request) {
            self.trace(&format!("{replica_id} departs at {node}"));
            self.run(node, |control, now, effects| {
                control.on_replica_departure(now, call, replica_id, effects);
            });
        }
    }
}
