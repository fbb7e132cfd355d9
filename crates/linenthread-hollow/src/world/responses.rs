//! Responses of control nodes to replicas and to the operator.

use std::time::Duration;

use linenthread_control::{CallId, Response};
use linenthread_time::whole_millis;

use super::state::{Caller, Change, Event, TraceLine, World, control_name};
use crate::cost::Work;
use crate::replica::response_bytes;
use crate::zones::Zone;

/// The operator sends a change that was not acknowledged again after so long.
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl World {
    pub(super) fn on_response(&mut self, control: usize, call: CallId, response: &Response) {
        match self.calls.remove(&call) {
            Some(Caller::Replica(replica)) => {
                self.on_replica_response(control, replica, response);
            }
            Some(Caller::Operator(change)) => {
                self.on_operator_response(control, change, response);
            }
            None => {}
        }
    }

    /// A change that was committed counts as acknowledged; any other is sent again.
    fn on_operator_response(&mut self, control: usize, change: Change, response: &Response) {
        let Response::Committed(_) = response else {
            let retry = Event::Change(change);
            return self.events.push(self.now + RETRY_DELAY, retry);
        };
        let Change { revision, sent_at } = change;
        let received = self.now + Zone::OPERATOR.latency_to(self.control[control].zone);
        self.acknowledged
            .saturating_record(whole_millis(received.since(sent_at)));
        if let Some(trace) = &mut self.trace {
            trace.push(TraceLine {
                at: received,
                text: format!(
                    "operator: {revision} is acknowledged by {}",
                    control_name(control)
                ),
                is_acknowledgement: true,
            });
        }
    }

    /// The replica follows an address that it is given, and goes elsewhere after a failure.
    fn on_replica_response(&mut self, control: usize, replica: usize, response: &Response) {
        let address = if let Response::Acknowledged { report_to } = response {
            report_to.as_deref()
        } else {
            self.replicas[replica].control = self.any_control();
            None
        };
        let bytes = response_bytes(address.unwrap_or(""));
        self.replica_cost.receive(Work::ReplicaHeartbeats, bytes);
        self.control[control]
            .cost
            .send(Work::ReplicaHeartbeats, bytes);
        let named = |address: &str| {
            let mut machines = self.control.iter();
            machines.position(|machine| machine.address == address)
        };
        if let Some(next) = address.and_then(named) {
            self.replicas[replica].control = next;
        }
    }
}
