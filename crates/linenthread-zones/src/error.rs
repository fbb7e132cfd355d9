//! Errors of decoding tables and reports, and of draining a zone.

use linenthread_frames::DecodeError;
use snafu::Snafu;

use crate::{ALL_KEYS, MAX_ZONES};

/// The error of decoding a table or a report.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FormatError {
    /// A field cannot be decoded.
    #[snafu(transparent)]
    Field {
        /// The decoder's error.
        source: DecodeError,
    },
    /// A zone's index is not below [`MAX_ZONES`].
    #[snafu(display("there is no zone {zone}"))]
    UnknownZone {
        /// The index.
        zone: u8,
    },
    /// A table has more zones than [`MAX_ZONES`].
    #[snafu(display("a table has {count} zones, more than {MAX_ZONES}"))]
    TooManyZones {
        /// The number of zones.
        count: usize,
    },
    /// A reason is unknown.
    #[snafu(display("a route has the unknown reason {code}"))]
    UnknownReason {
        /// The byte that encodes the reason.
        code: u8,
    },
    /// A share is greater than [`ALL_KEYS`].
    #[snafu(display("a route's share of {share} is more than {ALL_KEYS}"))]
    ShareTooLarge {
        /// The share, in thousandths.
        share: u16,
    },
    /// A report's counts contradict each other.
    #[snafu(display("a route's counts contradict each other"))]
    InconsistentCounts,
}

/// The reason why a zone cannot be drained.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DrainError {
    /// No zone has that name.
    #[snafu(display("there is no zone {zone}"))]
    NoSuchZone {
        /// The requested name.
        zone: String,
    },
    /// Some shards have replicas in no other undrained zone.
    #[snafu(display("{percent:.0}% of parts would have no replica left"))]
    NoReplicaLeft {
        /// The share of sub-requests that would be rejected, in percent.
        percent: f64,
    },
}
