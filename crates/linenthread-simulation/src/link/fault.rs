//! The kinds of faults that are injected.

use linenthread_core::interface::TenthMillis;

/// A fault that is injected.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Fault {
    /// The connection is cut, and both ends are notified.
    Disconnect,
    /// Frames in the given directions are lost without either end being notified.
    SilentLoss {
        to_server: bool,
        to_client: bool,
    },
    /// The server restarts and has lost its state.
    Restart,
    None,
}

/// The number of values that [`Fault::from_draw`] distinguishes.
pub(super) const FAULT_KINDS: TenthMillis = 7;

impl Fault {
    /// Returns the fault for a drawn number below [`FAULT_KINDS`].
    pub(super) fn from_draw(number: TenthMillis) -> Fault {
        match number {
            0 | 1 => Fault::Disconnect,
            2..=4 => Fault::SilentLoss {
                to_server: number != 3,
                to_client: number != 2,
            },
            5 => Fault::Restart,
            _ => Fault::None,
        }
    }
}
