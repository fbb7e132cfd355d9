//! Incarnations of processes.

use std::fmt;

/// One run of a process, told apart from all other runs of any process: drawn at random when the process starts, and
/// never raised.
///
/// It makes the ballots of a proposer unique (*one-value-per-number*), keeps a restarted node from using what it was
/// granted before (*one-lease-holder-per-epoch*), and tells peers that earlier sessions of a node are over. A node's identity
/// on disk, which outlasts its runs, is [`NodeId`](crate::NodeId).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(u64);

impl Incarnation {
    /// The incarnation that was drawn, or that a message carries.
    pub const fn new(number: u64) -> Incarnation {
        Incarnation(number)
    }

    /// The number that messages carry.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
