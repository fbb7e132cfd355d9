//! The kinds of faults that are injected.

use linenthread_core::interface::TenthMillis;

/// Kinds of faults, as they are drawn.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Fault {
    /// The connection is cut, and both ends are notified.
    Disconnect,
    /// Frames are lost without notice, in the directions given.
    SilentLoss {
        to_server: bool,
        to_client: bool,
    },
    /// The server restarts and remembers nothing.
    Restart,
    None,
}

/// The number of draws that [`Fault::drawn`] distinguishes.
pub(super) const FAULT_KINDS: TenthMillis = 7;

impl Fault {
    /// The fault of a drawn number, below [`FAULT_KINDS`].
    pub(super) fn drawn(number: TenthMillis) -> Fault {
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
