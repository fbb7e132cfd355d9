//! Errors in decoding a frame.

use linenthread_frames::DecodeError;
use snafu::Snafu;

/// An error in decoding a frame. The connection that it was received on can no longer be used. A server sends the
/// text to its client in [`Frame::Refuse`](super::Frame::Refuse).
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum FrameError {
    /// A length or a field is invalid.
    #[snafu(transparent)]
    Field {
        /// The decoder's error.
        source: DecodeError,
    },
    /// The kind of frame is unknown.
    #[snafu(display("a frame cannot have the kind {kind}"))]
    UnknownKind {
        /// The byte that encodes the kind.
        kind: u8,
    },
    /// The outcome is unknown.
    #[snafu(display("an ending cannot be {code}"))]
    UnknownOutcome {
        /// The byte that encodes the outcome.
        code: u8,
    },
    /// The replica phase is unknown.
    #[snafu(display("a phase cannot be {code}"))]
    UnknownPhase {
        /// The byte that encodes the phase.
        code: u8,
    },
    /// The list has more than [`MAX_MEMBERS`](super::MAX_MEMBERS) replicas.
    #[snafu(display("a list cannot have {count} replicas"))]
    TooManyMembers {
        /// The number of replicas in the list.
        count: u16,
    },
}
