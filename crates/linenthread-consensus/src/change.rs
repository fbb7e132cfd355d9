//! Changes that a caller can propose.

use linenthread_messages::{DocumentDigest, UsageReport, Voter};
use linenthread_time::WindowNumber;
use sha2::{Digest, Sha256};

use crate::epoch::Epoch;
use crate::revision::Revision;
use crate::value_number::ValueNumber;

/// An operator's request to replace the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// The revision that the order replaces. The order can only be decided while this is the newest one.
    pub base: Revision,
    /// Revision of the new configuration, greater than `base`.
    pub revision: Revision,
    /// The configuration document.
    pub document: Vec<u8>,
}

/// A proposed change of the replicated value.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// A new configuration.
    Order(Order),
    /// A new set of voters.
    Voters {
        /// Number of the value that the change is based on. It can only be decided as the value that follows.
        base_number: ValueNumber,
        /// The voters that decide the subsequent values.
        voters: Vec<Voter>,
        /// The epoch of the leader lease under which it is proposed.
        epoch: Epoch,
    },
    /// A usage report for the window that follows the newest reported one, or for any window if none is reported yet.
    Usage {
        /// The report. Once decided it never changes (*one-report-per-window*).
        report: UsageReport,
        /// The newest window whose report was delivered to the platform. The new value omits this report and all
        /// earlier ones.
        delivered_window: Option<WindowNumber>,
    },
}

/// Returns the digest that identifies a document: the first 128 bits of its SHA-256.
pub fn document_digest(document: &[u8]) -> DocumentDigest {
    let hash = Sha256::digest(document);
    let big_endian = |bytes: &[u8]| {
        bytes
            .iter()
            .fold(0, |sum: u64, byte| sum << 8 | u64::from(*byte))
    };
    DocumentDigest {
        high: big_endian(&hash[..8]),
        low: big_endian(&hash[8..16]),
    }
}
