//! The initial value of a cluster.

use linenthread_messages::{Value, Voter};

use crate::node_id::NodeId;

/// Returns value 0: the nodes at the bootstrap addresses are the voters, and there is no configuration.
///
/// All nodes of a cluster must start with the same value, since it is not decided by consensus.
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
