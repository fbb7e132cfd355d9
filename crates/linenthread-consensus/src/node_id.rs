//! Identities of nodes.

use std::fmt;

use linenthread_hash::fnv1a_64;
use linenthread_messages::Voter;

/// Identity of a control node. It is stored on the node's disk: a node whose disk was replaced has a new identity
/// (*new-disk-new-identity*).
///
/// Messages and records contain it as a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

impl NodeId {
    /// Returns the identity of the node at an address on the first start of a cluster. It is derived from the
    /// address, since all nodes must know each other's identities before they communicate. Never 0.
    pub fn genesis(address: &str) -> NodeId {
        NodeId(fnv1a_64(format!("first {address}").as_bytes()) | 1)
    }
}

impl From<&Voter> for NodeId {
    fn from(voter: &Voter) -> NodeId {
        NodeId(voter.id)
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
