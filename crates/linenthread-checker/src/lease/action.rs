//! What may happen next to the leader lease.

use crate::node_index::NodeIndex;

/// One thing that may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// The message at this index of the network is delivered.
    Deliver(usize),
    /// Time passes on all clocks.
    AdvanceTime,
    /// A node requests the lease, or its renewal.
    Request(NodeIndex),
    /// A node restarts.
    Crash(NodeIndex),
    /// A node releases the lease.
    Release(NodeIndex),
}
