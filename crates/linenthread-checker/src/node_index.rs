//! The nodes of a model.

use std::fmt;

use linenthread_consensus::NodeId;

/// Number of nodes in each model.
pub(crate) const NODE_COUNT: usize = 3;

/// A node of a model. The index does not change when the disk of the node, and with it its identity, is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeIndex(u8);

impl NodeIndex {
    /// The indexes of all nodes.
    pub const ALL: [NodeIndex; NODE_COUNT] = [NodeIndex(0), NodeIndex(1), NodeIndex(2)];

    /// Returns the node with this number, counted from 1 as on the command line; `None` if there is no such node.
    pub fn from_number(number: usize) -> Option<NodeIndex> {
        let index = number.checked_sub(1)?;
        NodeIndex::ALL.get(index).copied()
    }

    /// Returns the index into an array of all nodes.
    pub(crate) fn get(self) -> usize {
        usize::from(self.0)
    }
}

/// Uses the index, counted from 0, as the identity of a node that never loses its disk.
impl From<NodeIndex> for NodeId {
    fn from(index: NodeIndex) -> NodeId {
        NodeId(u64::from(index.0))
    }
}

/// Formats the number of the node, counted from 1.
impl fmt::Display for NodeIndex {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0 + 1)
    }
}
