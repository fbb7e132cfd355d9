//! The actions of the lease model.

use crate::node_index::NodeIndex;

/// A transition of the lease model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Delivers the message at this index of the network.
    Deliver(usize),
    /// Advances all clocks by the same amount.
    AdvanceTime,
    /// A node requests or renews the lease.
    Request(NodeIndex),
    /// A node restarts.
    Crash(NodeIndex),
    /// A node releases the lease.
    Release(NodeIndex),
}
