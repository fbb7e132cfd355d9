//! The state of one replica.

use super::{DecayingSums, WindowCounter, decay_factor};
use crate::interface::{MembershipEntry, Phase, TenthMillis};

/// Response times and failures of one replica, or of all replicas of a zone.
#[derive(Clone, Default)]
pub(crate) struct Observations {
    /// Logarithms of response times, in tenths of a millisecond. Response times are approximately log-normal, so the
    /// mean of the logarithms is the logarithm of the median.
    pub log_latencies: DecayingSums,
    /// 1 for each failure, 0 for each response.
    pub failures: DecayingSums,
}

/// An outage of a replica whose connections fail or were lost. Nothing is sent to the replica until a probe or an
/// attempt succeeds, or until the outage has lasted long enough for a trial attempt (`policy::send_guard`).
#[derive(Clone, Copy)]
pub(crate) struct Outage {
    pub started_at: TenthMillis,
    /// When the next probe is due; where probes are not permitted, when the next trial attempt is due.
    pub retry_at: TenthMillis,
}

/// One replica.
///
/// Attempts and probes, which may end in any order, determine independently whether the replica is up and whether its
/// process crashed. Therefore `outage`, `suspected_crash` and `crashed` do not exclude each other:
///
/// | `outage` | `suspected_crash` | `crashed` | meaning |
/// | --- | --- | --- | --- |
/// | | | | up |
/// | set | | | connections fail; there is no sign that the process is gone |
/// | set | set | | a connection was lost during an attempt; the probe to determine the cause has not ended |
/// | set | | set | a probe found that the process is gone |
/// | set | set | set | the same, and another query lost a connection since |
/// | | set | | the replica responded, or is listed with a new process, before the probe ended |
/// | | | set | it is listed with a new process that has not responded yet, or it responded before the probe failed |
/// | | set | set | the same, and another query lost a connection before that |
///
/// The first response after `crashed` clears it and sets `restarted_at`, which is cleared when service discovery next
/// reports a start. Without probes, `suspected_crash`, `crashed` and `restarted_at` are never set.
#[derive(Default)]
pub(crate) struct Replica {
    /// The replica as listed by service discovery.
    pub entry: MembershipEntry,
    /// Until when sub-requests may be sent to the replica although it is draining.
    pub last_resort_until: TenthMillis,
    pub observations: Observations,
    /// Number of attempts in flight.
    pub in_flight: u32,
    /// Number of attempts in flight that have stalled, so that no response is expected any more.
    pub stalled: u32,
    /// Set while the replica is down.
    pub outage: Option<Outage>,
    /// A connection was lost during an attempt, and no probe has ended since.
    pub suspected_crash: bool,
    /// A probe found that the process is gone.
    pub crashed: bool,
    /// When a new process first responded after a crash.
    pub restarted_at: Option<TenthMillis>,
    /// When the replica last responded, or when an attempt was sent to it while none was in flight.
    pub last_response_at: TenthMillis,
    /// When an attempt at the replica was last sent or ended.
    pub last_used_at: TenthMillis,
    /// When a response or a probe last reported the replica's state.
    pub last_report_at: TenthMillis,
    /// The queue depth in the last report.
    pub reported_queue_depth: f64,
    /// When this queue depth was first reported: an unchanged report is not treated as newer.
    pub reported_since: TenthMillis,
    /// When the probe in flight was sent; `None` if there is none.
    pub probe_sent_at: Option<TenthMillis>,
    /// Lower is better.
    pub score: f64,
    /// The current median response time, in tenths of a millisecond.
    pub expected_latency: f64,
    /// Attempts sent during slow start.
    pub slow_start_sends: WindowCounter,
}

impl Replica {
    pub(crate) fn is_ready(&self) -> bool {
        self.entry.phase == Phase::Ready
    }

    /// Returns when the process started: the start listed by service discovery or the first response after a crash,
    /// whichever is later.
    pub(crate) fn started_at(&self) -> Option<TenthMillis> {
        self.entry.started_at.max(self.restarted_at)
    }

    /// Reports whether the replica is draining but may still be sent sub-requests.
    pub(crate) fn is_last_resort(&self, now: TenthMillis) -> bool {
        self.entry.phase == Phase::Draining && now < self.last_resort_until
    }

    /// Returns the number of attempts in flight that have not stalled.
    pub(crate) fn pending(&self) -> f64 {
        f64::from(self.in_flight.saturating_sub(self.stalled))
    }

    /// Estimates the current queue depth from the last report, assuming that one sub-request is served per
    /// `service_time`. The report also decays with `time_constant`.
    pub(crate) fn estimated_queue(
        &self,
        now: TenthMillis,
        time_constant: f64,
        service_time: f64,
    ) -> f64 {
        let served = (now - self.reported_since) as f64 / service_time;
        (self.reported_queue_depth - served).max(0.0)
            * decay_factor(self.reported_since, now, time_constant)
    }

    pub(crate) fn on_send(&mut self, now: TenthMillis) {
        self.last_used_at = now;
        // The time without a response counts from here if no attempt was in flight before.
        if self.in_flight == 0 {
            self.last_response_at = now;
        }
        self.in_flight += 1;
    }

    /// Records a report of the queue depth.
    pub(crate) fn on_report(&mut self, now: TenthMillis, queue_depth: f64) {
        if queue_depth != self.reported_queue_depth {
            self.reported_queue_depth = queue_depth;
            self.reported_since = now;
        }
        self.last_report_at = now;
    }

    /// Records a response to an attempt or a probe. A response without a queue depth leaves the reported depth
    /// unchanged.
    pub(crate) fn on_response(&mut self, now: TenthMillis, queue_depth: Option<f64>) {
        self.outage = None;
        if std::mem::take(&mut self.crashed) {
            self.restarted_at = Some(now);
        }
        self.on_report(now, queue_depth.unwrap_or(self.reported_queue_depth));
    }
}
