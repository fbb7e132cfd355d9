//! The actions of the lease model.

use crate::node_index::NodeIndex;

/// A transition of the lease model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Delivers the message at this index of the network.
    Deliver(usize),
    /// Advances all clocks by the same amount.
    AdvanceTime,
    /// Requests the lease, or its renewal, for a node.
    Request(NodeIndex),
    /// Restarts a node.
    Crash(NodeIndex),
    /// Releases the lease of a node.
    Release(NodeIndex),
}
