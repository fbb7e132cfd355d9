//! Values, registers, instants and lease messages shared by several tests.

use linenthread_consensus::{DurableState, Epoch, Incarnation, NodeId, Register};
use linenthread_messages::{LeaseReply, LeaseRequest, Value, Voter};
use linenthread_time::Instant;

/// Returns the instant this many milliseconds after the start of the clock.
pub(crate) fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Returns the index of a node. Nodes are numbered from 1.
pub(crate) fn index(node: u64) -> usize {
    usize::try_from(node).expect("tests have few nodes") - 1
}

/// Returns a voter with a unique address.
pub(crate) fn voter(id: u64) -> Voter {
    Voter {
        id,
        address: format!("10.0.0.{id}:80"),
    }
}

/// Returns a value whose voters are the nodes 1, 2 and 3.
pub(crate) fn value(number: u64) -> Value {
    Value {
        number,
        voters: (1..=3).map(voter).collect(),
        ..Value::default()
    }
}

/// Returns a register with an empty disk that starts from value 0 of the nodes 1, 2 and 3.
pub(crate) fn register(id: u64, incarnation: u64) -> Register {
    Register::new(
        NodeId(id),
        DurableState::default(),
        Some(value(0)),
        Incarnation::new(incarnation),
    )
}

/// Returns a request for a lease of 2 s at value 0.
pub(crate) fn lease_request(
    incarnation: Incarnation,
    epoch: Epoch,
    request_id: u64,
) -> LeaseRequest {
    LeaseRequest {
        epoch: epoch.get(),
        request_id,
        lease_ms: 2_000,
        incarnation: incarnation.get(),
        value_number: 0,
    }
}

/// Returns a reply that grants a request.
pub(crate) fn granted(request: &LeaseRequest) -> LeaseReply {
    LeaseReply {
        epoch: request.epoch,
        request_id: request.request_id,
        granted: true,
    }
}
