//! Incarnations of processes.

use std::fmt;

/// Unique identity of one run of a process: drawn at random when the process starts, and constant until it ends.
///
/// It makes the ballots of a proposer unique (*one-value-per-number*), prevents a restarted node from using lease
/// grants from before the restart (*one-lease-holder-per-epoch*), and lets peers detect that earlier sessions of a
/// node have ended. The identity of a node that survives restarts is [`NodeId`](crate::NodeId).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates an incarnation from a random number or from the number in a message.
    pub const fn new(number: u64) -> Incarnation {
        Incarnation(number)
    }

    /// Returns the number used in messages.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
