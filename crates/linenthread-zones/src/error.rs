//! Why a table or a report does not decode, and why a zone cannot be drained.

use linenthread_frames::DecodeError;
use snafu::Snafu;

use crate::ALL_KEYS;

/// Why bytes are no table, or no report.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FormatError {
    /// A field does not decode.
    #[snafu(transparent)]
    Field {
        /// What the decoder found.
        source: DecodeError,
    },
    /// A zone's number is over the limit.
    #[snafu(display("there is no zone {zone}"))]
    UnknownZone {
        /// The number.
        zone: u8,
    },
    /// A table has more zones than [`crate::MAX_ZONES`].
    #[snafu(display("{count} zones are too many"))]
    TooManyZones {
        /// How many.
        count: usize,
    },
    /// A reason is unknown.
    #[snafu(display("no reason is {code}"))]
    UnknownReason {
        /// The byte that stands for the reason.
        code: u8,
    },
    /// A share is over [`ALL_KEYS`].
    #[snafu(display("{share} of {ALL_KEYS} keys are too many"))]
    ShareTooLarge {
        /// The share, in thousandths.
        share: u16,
    },
    /// A report's counts contradict each other.
    #[snafu(display("a route's counts contradict each other"))]
    InconsistentCounts,
}

/// Why a zone cannot be drained.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DrainError {
    /// No zone has that name.
    #[snafu(display("there is no zone {zone}"))]
    NoSuchZone {
        /// The name.
        zone: String,
    },
    /// Some shards have replicas nowhere else.
    #[snafu(display("{percent:.0}% of parts would have no replica left"))]
    NoReplicaLeft {
        /// The share of sub-requests that would be rejected, in percent.
        percent: f64,
    },
}
