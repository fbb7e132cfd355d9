//! Calls to the platform's API, which are made by the control node that holds the leader lease.

use std::fmt;

use linenthread_consensus::Epoch;
use linenthread_messages::UsageReport;
use linenthread_time::Instant;

/// Number of a call to the platform, counted from 1 within an incarnation of the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlatformCallId(u64);

impl PlatformCallId {
    /// Returns the number of the next call.
    #[must_use]
    pub const fn next(self) -> PlatformCallId {
        PlatformCallId(self.0 + 1)
    }

    /// Returns the number as it is logged.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// A call that sends the usage report of a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformCall {
    /// Identifies the call when its outcome is known.
    pub id: PlatformCallId,
    /// The fencing token: the epoch of the leader lease under which the call is made.
    pub fence: Epoch,
    /// The report. It has been decided by consensus, so every leader sends the same bytes.
    pub report: UsageReport,
    /// No byte of the call may be written at or after this instant: another node may hold the lease by then.
    pub not_after: Instant,
}

/// The outcome of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformOutcome {
    /// 2xx: the platform has the report.
    Accepted,
    /// 409: the platform has seen a higher fencing token. The token of the call must not be used again.
    FenceTooLow,
    /// 429 or 5xx: the platform is overloaded or failing.
    Busy,
    /// Another status: the platform rejected the call as invalid.
    Rejected,
    /// No byte was written: there was no connection, or [`PlatformCall::not_after`] had passed.
    NotSent,
    /// Bytes were written, but no complete response was received: the platform may have the report.
    Unknown,
}

/// Writes the outcome as one word, for the log.
impl fmt::Display for PlatformOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            PlatformOutcome::Accepted => "accepted",
            PlatformOutcome::FenceTooLow => "fence_too_low",
            PlatformOutcome::Busy => "busy",
            PlatformOutcome::Rejected => "rejected",
            PlatformOutcome::NotSent => "not_sent",
            PlatformOutcome::Unknown => "unknown",
        })
    }
}
