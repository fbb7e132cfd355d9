//! Why bytes cannot be a frame.

use linenthread_frames::DecodeError;
use snafu::Snafu;

/// Why bytes cannot be a frame; the connection that carried them cannot be used further. A server sends the text to
/// its client in [`Frame::Refuse`](super::Frame::Refuse).
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum FrameError {
    /// A length or a field is invalid.
    #[snafu(transparent)]
    Field {
        /// What is wrong with it.
        source: DecodeError,
    },
    /// There is no such kind of frame.
    #[snafu(display("a frame cannot have the kind {kind}"))]
    UnknownKind {
        /// The byte that stands for the kind.
        kind: u8,
    },
    /// There is no such outcome.
    #[snafu(display("an ending cannot be {code}"))]
    UnknownOutcome {
        /// The byte that stands for the outcome.
        code: u8,
    },
    /// There is no such phase of a replica.
    #[snafu(display("a phase cannot be {code}"))]
    UnknownPhase {
        /// The byte that stands for the phase.
        code: u8,
    },
    /// The list has more than [`MAX_MEMBERS`](super::MAX_MEMBERS) replicas.
    #[snafu(display("a list cannot have {count} replicas"))]
    TooManyMembers {
        /// How many it has.
        count: u16,
    },
}
