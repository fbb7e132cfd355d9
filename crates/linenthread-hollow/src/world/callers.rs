//! Calls of replicas and of the operator.

use std::time::Duration;

use linenthread_time::Instant;

use super::state::{Caller, Change, Event, World};
use crate::configuration::document;
use crate::control::Input;
use crate::cost::Work;
use crate::replica::request_bytes;
use crate::zones::Zone;

/// How long a replica that is restarted drains.
const DRAIN: Duration = Duration::from_millis(300);
/// How long after the start of its drain it is back.
const RETURN: Duration = Duration::from_millis(500);

// --- replicas ---

impl World {
    pub(super) fn step_replica(&mut self, index: usize) {
        let next = self.now + self.scale.heartbeat_interval;
        self.events.push(next, Event::ReplicaHeartbeat(index));
        self.send_replica_heartbeat(index);
    }

    /// A replica starts to drain, and comes back later.
    pub(super) fn restart_replica(&mut self, index: usize) {
        self.replicas[index].draining = true;
        self.send_replica_heartbeat(index);
        self.events
            .push(self.now + DRAIN, Event::ReplicaDeparts(index));
        self.events
            .push(self.now + RETURN, Event::ReplicaReturns(index));
    }

    pub(super) fn return_replica(&mut self, index: usize) {
        self.replicas[index].restart();
        self.send_replica_heartbeat(index);
    }

    fn send_replica_heartbeat(&mut self, index: usize) {
        if self.replicas[index].departed {
            return;
        }
        if self.control[self.replicas[index].control].process.is_none() {
            self.replicas[index].control = self.any_control();
        }
        let replica = &mut self.replicas[index];
        let (control, ident, body) = (replica.control, replica.ident(), replica.next_heartbeat());
        let bytes = request_bytes(&format!("/Replicas.Heartbeat/{ident}"), body.len());
        self.count_replica_request(control, bytes);
        let call = self.add_call(Caller::Replica(index));
        self.run_control(control, Input::ReplicaHeartbeat { call, ident, body });
    }

    pub(super) fn depart_replica(&mut self, index: usize) {
        let replica = &mut self.replicas[index];
        replica.departed = true;
        let (control, ident) = (replica.control, replica.ident());
        let bytes = request_bytes(&format!("/Replicas.Departure/{ident}"), 0);
        self.count_replica_request(control, bytes);
        let call = self.add_call(Caller::Replica(index));
        self.run_control(control, Input::ReplicaDeparture { call, ident });
    }

    fn count_replica_request(&mut self, control: usize, bytes: usize) {
        self.replica_cost.send(Work::ReplicaHeartbeats, bytes);
        self.control[control]
            .cost
            .receive(Work::ReplicaHeartbeats, bytes);
    }
}

// --- the operator ---

impl World {
    /// Sends a change with this revision at this time.
    pub(crate) fn schedule_change(&mut self, sent_at: Instant, revision: u64) {
        let change = Change { revision, sent_at };
        self.events.push(sent_at, Event::Change(change));
    }

    /// Sends a change to any control node.
    pub(super) fn send_change(&mut self, change: Change) {
        let Change { revision, sent_at } = change;
        let control = self.any_control();
        let document = document(revision, self.scale.document_bytes);
        if sent_at == self.now {
            self.newest_change = Some(change);
        }
        let machine = &mut self.control[control];
        machine.cost.receive(Work::Configuration, document.len());
        let at = self.now + Zone::OPERATOR.latency_to(machine.zone);
        let call = self.add_call(Caller::Operator(change));
        let input = Input::Replace {
            call,
            base: revision - 1,
            revision,
            document,
        };
        self.push_input(at, control, input);
    }
}
