//! The leader's duty to report usage to the platform: which node may make calls, under which fencing token, and which
//! call is next.
//!
//! The holder of the leader lease has the duty, under the epoch of its lease: `docs/usage-design.md`. This module
//! decides for one node; it neither keeps counts nor makes calls.

use std::time::Duration;

use linenthread_consensus::Epoch;
use linenthread_hash::fnv1a_64;
use linenthread_messages::UsageReport;
use linenthread_time::{Instant, WindowNumber, whole_millis};

use crate::platform_call::{PlatformCall, PlatformCallId, PlatformOutcome};

/// The upper limit of the backoff after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// The upper limit of the backoff after many failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);
/// The minimum rate of calls. The interval of a lower rate would be too long to represent or to wait for.
const MIN_CALLS_PER_SECOND: f64 = 1e-3;
/// A report is abandoned after this many rejections by the platform, so that later reports don't wait for it forever.
const MAX_REJECTIONS: u32 = 8;

/// The leader lease under which calls are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveLease {
    /// The epoch of the leader lease.
    pub epoch: Epoch,
    /// When the lease expires, unless it is renewed.
    pub expires_at: Instant,
}

/// What this node must do after a call has completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallConsequence {
    /// The platform has the report, or the report was abandoned.
    ReportClosed {
        /// The window of the report.
        window: WindowNumber,
        /// The outcome of the call.
        outcome: PlatformOutcome,
    },
    /// The report is sent again after a backoff, with the same bytes.
    Retry {
        /// The window of the report.
        window: WindowNumber,
        /// The outcome of the call.
        outcome: PlatformOutcome,
    },
    /// Another node has made a call under a higher fencing token: this node releases the lease and never uses its epoch
    /// again.
    StepDown {
        /// The refused epoch.
        epoch: Epoch,
    },
}

/// A call that has not completed.
#[derive(Clone, Copy, Debug)]
struct CallInFlight {
    id: PlatformCallId,
    epoch: Epoch,
    window: WindowNumber,
}

/// The state of the duty at one node.
///
/// It follows these rules:
/// - *one-sender-per-fence*: calls are made only under an epoch of the leader lease, which at most one incarnation of
///   one node holds, and only before that lease expires;
/// - *no-return-within-lease*: under an epoch in which this node has not made a call yet, it waits for the lease time
///   passed to [`UsageDuty::new`] before the first one. The wait starts at the end of its last call under an earlier
///   epoch, or at its own start, since an earlier incarnation may have made a call just before. Calls of this node that
///   have calls of other nodes in between are therefore at least that far apart;
/// - *refused-is-refused*: no call is made under an epoch that the platform has refused, or a lower one;
/// - *same-bytes*: the bytes of a report are decided before it is sent, so every node that sends it sends the same
///   bytes.
#[derive(Debug)]
pub struct UsageDuty {
    /// The minimum time between two calls of this node that may have calls of another node in between.
    lease: Duration,
    /// The minimum time between two calls.
    call_interval: Duration,
    /// Seed of the backoff jitter, which differs between nodes.
    seed: u64,
    /// When this node last started or completed a call. Initially its start, since an earlier incarnation may have made
    /// a call until then.
    last_call_at: Instant,
    /// The epoch of the latest call.
    last_call_epoch: Option<Epoch>,
    /// The greatest epoch that the platform has refused.
    refused_epoch: Epoch,
    in_flight: Option<CallInFlight>,
    last_call_id: PlatformCallId,
    /// The newest window whose report the platform is known to have, or whose report was abandoned.
    delivered_window: Option<WindowNumber>,
    next_call_at: Instant,
    /// Number of consecutive failed calls.
    failures: u32,
    /// Number of consecutive rejections.
    rejections: u32,
}

impl UsageDuty {
    /// Creates the state of a node that starts at `now`. `lease` is the time within which the platform must not receive
    /// calls from this node, from another one and from this one again; `calls_per_second` is the rate that the platform
    /// accepts from all nodes together; `seed` varies the backoff between nodes.
    pub fn new(now: Instant, lease: Duration, calls_per_second: f64, seed: u64) -> UsageDuty {
        UsageDuty {
            lease,
            call_interval: Duration::from_secs_f64(
                1.0 / calls_per_second.max(MIN_CALLS_PER_SECOND),
            ),
            seed,
            last_call_at: now,
            last_call_epoch: None,
            refused_epoch: Epoch::NONE,
            in_flight: None,
            last_call_id: PlatformCallId::default(),
            delivered_window: None,
            next_call_at: Instant::START,
            failures: 0,
            rejections: 0,
        }
    }

    /// Returns the newest window whose report the platform is known to have, or whose report was abandoned.
    pub fn delivered_window(&self) -> Option<WindowNumber> {
        self.delivered_window
    }

    /// Returns the decided reports in `reports` (oldest first) that the platform is not known to have, without abandoned
    /// ones.
    pub fn undelivered_reports<'a>(
        &self,
        reports: &'a [UsageReport],
    ) -> impl Iterator<Item = &'a UsageReport> + use<'a> {
        let delivered = self.delivered_window;
        reports
            .iter()
            .filter(move |report| Some(WindowNumber::new(report.window)) > delivered)
    }

    /// Returns the epoch under which this node last made a call.
    pub fn last_call_epoch(&self) -> Option<Epoch> {
        self.last_call_epoch
    }

    /// Reports whether the platform has refused this epoch or a higher one.
    pub fn is_refused(&self, epoch: Epoch) -> bool {
        epoch <= self.refused_epoch
    }

    fn may_call(&self, now: Instant, epoch: Epoch) -> bool {
        let has_called = self.last_call_epoch == Some(epoch);
        !self.is_refused(epoch) && (has_called || now >= self.last_call_at + self.lease)
    }

    /// Returns the next call, if one is due. It sends the oldest of [`UsageDuty::undelivered_reports`].
    pub fn next_call(
        &mut self,
        now: Instant,
        current_lease: ActiveLease,
        reports: &[UsageReport],
    ) -> Option<PlatformCall> {
        let is_due = self.in_flight.is_none() && now >= self.next_call_at;
        if !is_due || now >= current_lease.expires_at || !self.may_call(now, current_lease.epoch) {
            return None;
        }
        let report = self.undelivered_reports(reports).next()?;
        self.last_call_id = self.last_call_id.next();
        self.in_flight = Some(CallInFlight {
            id: self.last_call_id,
            epoch: current_lease.epoch,
            window: WindowNumber::new(report.window),
        });
        self.last_call_epoch = Some(current_lease.epoch);
        self.last_call_at = now;
        Some(PlatformCall {
            id: self.last_call_id,
            fence: current_lease.epoch,
            report: report.clone(),
            not_after: current_lease.expires_at,
        })
    }

    /// Processes the outcome of a call; `None` if the call is not the one in flight.
    pub fn on_outcome(
        &mut self,
        now: Instant,
        id: PlatformCallId,
        outcome: PlatformOutcome,
    ) -> Option<CallConsequence> {
        let call = self.in_flight.take_if(|call| call.id == id)?;
        self.last_call_at = now;
        self.rejections = match outcome {
            PlatformOutcome::Rejected => self.rejections + 1,
            _ => 0,
        };
        let window = call.window;
        Some(match outcome {
            PlatformOutcome::FenceTooLow => {
                self.refused_epoch = self.refused_epoch.max(call.epoch);
                CallConsequence::StepDown { epoch: call.epoch }
            }
            PlatformOutcome::Accepted => self.close_report(now, window, outcome),
            PlatformOutcome::Rejected if self.rejections >= MAX_REJECTIONS => {
                self.close_report(now, window, outcome)
            }
            PlatformOutcome::Busy
            | PlatformOutcome::Rejected
            | PlatformOutcome::NotSent
            | PlatformOutcome::Unknown => {
                self.failures += 1;
                self.next_call_at = now + self.backoff();
                CallConsequence::Retry { window, outcome }
            }
        })
    }

    fn close_report(
        &mut self,
        now: Instant,
        window: WindowNumber,
        outcome: PlatformOutcome,
    ) -> CallConsequence {
        self.delivered_window = self.delivered_window.max(Some(window));
        (self.failures, self.rejections) = (0, 0);
        self.next_call_at = now + self.call_interval;
        CallConsequence::ReportClosed { window, outcome }
    }

    /// Returns the time to wait after a failed call: the limit doubles with each failure, and the result is a
    /// pseudo-random time between half the limit and the limit, so that the calls of two nodes do not coincide.
    fn backoff(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(u32::BITS - 1);
        let longest = INITIAL_BACKOFF
            .saturating_mul(1 << doublings)
            .min(MAX_BACKOFF)
            .max(self.call_interval);
        let longest = whole_millis(longest);
        let random = fnv1a_64(&(self.seed ^ self.last_call_id.get()).to_be_bytes());
        Duration::from_millis(longest / 2 + random % (longest / 2 + 1))
    }
}
