//! The log of a fake platform: accepted reports, violations of its rules, and ends of connections.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A usage report that the platform has accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedReport {
    /// The reporting window that it covers.
    pub window: u64,
    /// The lease holder that sent it first.
    pub owner: String,
    /// The fencing token with which it was sent first.
    pub fence: u64,
    /// The number of requests of each tenant.
    pub tallies: BTreeMap<String, u64>,
    /// The body as it was sent.
    pub body: String,
    /// When it was accepted, as the time since the Unix epoch.
    pub accepted_at: Duration,
    /// How long after the end of its window it was accepted; `None` if the window had not ended.
    pub after_window_end: Option<Duration>,
}

/// A violation of the platform's rules for calls.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlatformViolation {
    /// Two holders sent the same fencing token.
    SharedFence {
        /// The token.
        fence: u64,
        /// The holder that sent it first.
        first: String,
        /// The holder that sent it later.
        second: String,
    },
    /// Within one lease, a holder made calls both before and after another holder made one.
    AlternatingHolders {
        /// The holder that made calls before and after.
        outer: String,
        /// The holder that made a call in between.
        inner: String,
    },
    /// Two different reports on the same window were accepted.
    DifferentReports {
        /// The window.
        window: u64,
    },
    /// A holder kept using a refused token: it made too many calls more than a lease after the first refusal.
    RefusedFence {
        /// The holder.
        owner: String,
        /// The token.
        fence: u64,
    },
    /// A request was not a valid call.
    InvalidCall {
        /// What is wrong with it.
        reason: String,
    },
}

impl fmt::Display for PlatformViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformViolation::SharedFence {
                fence,
                first,
                second,
            } => write!(
                formatter,
                "{first} and {second} both sent the fencing token {fence}"
            ),
            PlatformViolation::AlternatingHolders { outer, inner } => {
                write!(
                    formatter,
                    "{outer}, {inner} and {outer} made calls within one lease"
                )
            }
            PlatformViolation::DifferentReports { window } => {
                write!(formatter, "two different reports on the window {window}")
            }
            PlatformViolation::RefusedFence { owner, fence } => {
                write!(
                    formatter,
                    "{owner} kept using the refused fencing token {fence}"
                )
            }
            PlatformViolation::InvalidCall { reason } => {
                write!(formatter, "invalid call: {reason}")
            }
        }
    }
}

/// How the caller ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It closed the connection.
    Closed,
    /// It reset the connection.
    Reset,
}

/// The log of everything that a fake platform has received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformLog {
    /// The number of complete requests that arrived, valid or not.
    pub received_requests: usize,
    /// The number of calls refused because a higher fencing token had been received.
    pub refused_calls: usize,
    /// The number of calls that exceeded the rate limit.
    pub rate_limited_calls: usize,
    /// The number of exact repeats of accepted reports.
    pub duplicate_reports: usize,
    /// Accepted reports, in the order in which they were accepted.
    pub reports: Vec<AcceptedReport>,
    /// Violations of the rules, in the order in which they were detected.
    pub violations: Vec<PlatformViolation>,
    /// How callers ended their connections.
    pub connection_ends: Vec<ConnectionEnd>,
}

impl PlatformLog {
    /// Returns the first accepted report on a window.
    pub fn report(&self, window: u64) -> Option<&AcceptedReport> {
        self.reports.iter().find(|report| report.window == window)
    }
}
