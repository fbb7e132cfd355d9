//! What a voter asks its caller to do.

use crate::event::FleetEvent;
use crate::frame::Frame;
use crate::state_table::CommittedValue;

/// What the caller has to do, in order.
#[derive(Debug)]
pub enum VoterAction {
    /// Send a frame to another voter.
    Send {
        /// The voter's name.
        to: String,
        /// The frame.
        frame: Frame,
    },
    /// A value was committed.
    Committed(CommittedValue),
    /// Write to the log.
    Log(FleetEvent),
}
