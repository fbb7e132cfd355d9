//! The actions that a voter requests from its caller.

use crate::event::FleetEvent;
use crate::frame::Frame;
use crate::state_table::CommittedValue;

/// An action for the caller, or a notification; they must be handled in order.
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
    /// Log an event.
    Log(FleetEvent),
}
