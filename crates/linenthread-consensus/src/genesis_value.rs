//! The value that a cluster starts with.

use linenthread_messages::{Value, Voter};

use crate::node_id::NodeId;

/// Value 0: the nodes at the bootstrap addresses vote, and there is no configuration.
///
/// All nodes of a cluster must start with the same value, since no round of the consensus decides it.
pub fn genesis_value(bootstrap: &[String]) -> Value {
    let voter = |address: &String| Voter {
        id: NodeId::genesis(address).0,
        address: address.clone(),
    };
    Value {
        voters: bootstrap.iter().map(voter).collect(),
        ..Value::default()
    }
}
